//! Chooses an endpoint for one request from what this router knows alone.
//!
//! Load pattern: many routers see a part of the traffic each, a prefix gets a large
//! share of it for seconds (hot key), some endpoints are slow or fail a part of
//! their requests. Requests with one prefix go to the first endpoint of the prefix's
//! order that is neither overloaded nor unhealthy, so that its cache is reused and a
//! hot prefix spreads to as many endpoints as its load needs.
//!
//! What other routers report is some hundred milliseconds old. For short work that is
//! longer than the work itself: the endpoint that was free is no longer, and all routers
//! would send to it together. Differences between endpoints therefore count only as far
//! as work of their usual length still lasts.

use {
    super::candidate::{Candidate, Placement, PlacementRequest},
    std::time::Duration,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// An endpoint takes requests of its prefixes up to this multiple of the mean load,
const MAX_LOAD_FACTOR: f64 = 1.3;
/// plus this many requests, which lets small loads stay together.
const LOAD_ALLOWANCE: f64 = 2.0;
/// Endpoints that fail more of their requests than this are used last.
const MAX_FAILURE_SHARE: f64 = 0.2;
/// A cache is not fetched from an endpoint that fails more of its requests than this.
const MAX_SOURCE_FAILURES: f64 = 0.6;
/// Endpoints slower than this multiple of the median are used last.
const MAX_SLOWNESS: f64 = 2.5;
/// Cost of a failed request, in requests that wait.
const FAILURE_COST: f64 = 12.0;
/// Cost of another availability zone, in requests that wait.
const ZONE_COST: f64 = 0.3;

/// Usual age of what other routers report: up to a round of 200 ms each to the relay and
/// back.
const REPORT_AGE: Duration = Duration::from_millis(250);

/// The endpoint to send to; nothing if no candidate may be used.
pub fn choose_endpoint(
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
) -> Option<Placement> {
    let usable: Vec<usize> = usable(candidates);
    let costs = Costs::new(candidates, &usable);
    let Some(prefix) = request.prefix_hash else {
        let target = cheapest(request, candidates, &usable, &costs)?;
        return Some(Placement { target, prefix_source: None });
    };
    let holders: Vec<usize> =
        usable.iter().copied().filter(|&index| candidates[index].holds_prefix).collect();
    if let Some(target) = first_with_room(prefix, candidates, &holders, &costs) {
        return Some(Placement { target, prefix_source: None });
    }
    let target = first_with_room(prefix, candidates, &usable, &costs)
        .or_else(|| cheapest(request, candidates, &usable, &costs))?;
    Some(Placement { target, prefix_source: prefix_source(prefix, candidates, target) })
}

fn cheapest(
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
    usable: &[usize],
    costs: &Costs,
) -> Option<usize> {
    usable
        .iter()
        .map(|&index| (costs.cost(&candidates[index], request.tie_breaker), index))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, index)| index)
}

/// The endpoint from which the target may fetch the cache of a prefix: one that is
/// known to hold it, or else the first of the prefix's order, or the second if the
/// target is first but has just joined.
fn prefix_source(prefix: u64, candidates: &[Candidate<'_>], target: usize) -> Option<usize> {
    if candidates[target].holds_prefix {
        return None;
    }
    let first_of = |accept: &dyn Fn(&Candidate<'_>) -> bool| {
        (0..candidates.len())
            .filter(|&index| {
                let candidate = &candidates[index];
                index != target
                    && !candidate.is_paused
                    && candidate.failure_share <= MAX_SOURCE_FAILURES
                    && accept(candidate)
            })
            .max_by_key(|&index| prefix_rank(prefix, &candidates[index]))
    };
    if let Some(holder) = first_of(&|candidate| candidate.holds_prefix) {
        return Some(holder);
    }
    let first = first_of(&|candidate| !candidate.is_recently_added)?;
    let target = &candidates[target];
    let is_first = prefix_rank(prefix, target) > prefix_rank(prefix, &candidates[first]);
    (!is_first || target.is_recently_added).then_some(first)
}

/// Place of an endpoint in a prefix's order; the highest comes first.
fn prefix_rank(prefix: u64, candidate: &Candidate<'_>) -> u64 {
    xxh3_64_with_seed(candidate.id.as_bytes(), prefix)
}

/// Untried endpoints first; a paused one only if there is no other.
fn usable(candidates: &[Candidate<'_>]) -> Vec<usize> {
    let select = |accept: &dyn Fn(&Candidate<'_>) -> bool| -> Vec<usize> {
        (0..candidates.len())
            .filter(|&index| {
                let candidate = &candidates[index];
                !candidate.is_leaving && !candidate.has_refused && accept(candidate)
            })
            .collect()
    };
    let fresh = select(&|c| !c.is_excluded && !c.is_paused);
    if !fresh.is_empty() {
        return fresh;
    }
    let untried = select(&|c| !c.is_excluded);
    if !untried.is_empty() {
        return untried;
    }
    select(&|c| !c.is_paused)
}

fn first_with_room(
    prefix: u64,
    candidates: &[Candidate<'_>],
    usable: &[usize],
    costs: &Costs,
) -> Option<usize> {
    usable
        .iter()
        .filter(|&&index| costs.has_room(&candidates[index]))
        .copied()
        .max_by_key(|&index| prefix_rank(prefix, &candidates[index]))
}

struct Costs {
    max_requests: f64,
    median_latency_ms: f64,
    mean_reported: f64,
    /// Part of the reported differences that still holds.
    lasting_share: f64,
}

impl Costs {
    fn new(candidates: &[Candidate<'_>], usable: &[usize]) -> Costs {
        let total: f64 = usable.iter().map(|&index| candidates[index].requests).sum();
        let mean = total / usable.len().max(1) as f64;
        let mut latencies: Vec<f64> = usable
            .iter()
            .map(|&index| candidates[index].latency_ms)
            .filter(|latency| *latency > 0.0)
            .collect();
        latencies.sort_by(f64::total_cmp);
        let median_latency_ms = latencies.get(latencies.len() / 2).copied().unwrap_or(0.0);
        let reported: f64 = usable.iter().map(|&index| candidates[index].reported_requests).sum();
        Costs {
            max_requests: mean * MAX_LOAD_FACTOR + LOAD_ALLOWANCE,
            median_latency_ms,
            mean_reported: reported / usable.len().max(1) as f64,
            lasting_share: lasting_share(median_latency_ms),
        }
    }

    /// Requests that are likely to be at an endpoint now.
    fn requests(&self, candidate: &Candidate<'_>) -> f64 {
        let difference = candidate.reported_requests - self.mean_reported;
        candidate.requests - difference * (1.0 - self.lasting_share)
    }

    /// How slow an endpoint is, by its own report and by its answers against the median.
    fn slowness(&self, candidate: &Candidate<'_>) -> f64 {
        let observed = if candidate.latency_ms > 0.0 && self.median_latency_ms > 0.0 {
            candidate.latency_ms / self.median_latency_ms
        } else {
            1.0
        };
        observed.max(candidate.slowness).clamp(0.5, 20.0)
    }

    fn has_room(&self, candidate: &Candidate<'_>) -> bool {
        self.requests(candidate) < self.max_requests.min(f64::from(candidate.slots))
            && candidate.waiting <= 1
            && candidate.failure_share <= MAX_FAILURE_SHARE
            && self.slowness(candidate) <= MAX_SLOWNESS
    }

    fn cost(&self, candidate: &Candidate<'_>, tie_breaker: u64) -> f64 {
        let load = self.requests(candidate) + f64::from(candidate.waiting) + 1.0;
        let zone = if candidate.is_same_zone { 0.0 } else { ZONE_COST };
        // below one request, so that it only orders endpoints of about the same load
        let tie = xxh3_64_with_seed(candidate.id.as_bytes(), tie_breaker) as f64 / u64::MAX as f64;
        load * self.slowness(candidate) + FAILURE_COST * candidate.failure_share + zone + 0.5 * tie
    }
}

/// Part of the work that was there when the others reported and has not ended since.
/// Without a known latency all of it counts.
fn lasting_share(latency_ms: f64) -> f64 {
    if latency_ms > 0.0 { (-(REPORT_AGE.as_millis() as f64) / latency_ms).exp() } else { 1.0 }
}
