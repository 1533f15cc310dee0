//! Chooses an endpoint for one request from local state, without a call to other hosts.
//!
//! Load pattern: each of many routers sees a part of the traffic, one prefix receives a
//! large share of it for seconds (a hot key), and some endpoints are slow or fail a part of
//! their requests. Each prefix ranks the endpoints by rendezvous hashing. A request goes to
//! the first endpoint in its prefix's ranking that is neither overloaded nor unhealthy, with
//! endpoints that hold the prefix before the others. Caches are then reused, and a hot prefix
//! spreads to as many endpoints as its load needs. While all endpoints are full, long prefixes
//! stay where they are: to read them again elsewhere would take the capacity that is missing.
//!
//! Load reports of other routers are a few hundred milliseconds old. Short requests end
//! sooner than that: an endpoint that was idle when the report was made may be busy by now,
//! and all routers would send to it at once. Differences in reported load are therefore
//! scaled down to the part of the reported requests that is probably still running.

use {
    super::candidate::{Candidate, Placement, PlacementRequest},
    std::time::Duration,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// An endpoint has capacity for its prefixes up to this multiple of the mean load, plus
/// `LOAD_ALLOWANCE`.
const MAX_LOAD_FACTOR: f64 = 1.3;
/// Requests allowed on top, so that a prefix is not spread over endpoints at low load.
const LOAD_ALLOWANCE: f64 = 2.0;
/// Tokens from which a shared prefix counts as long: to read it takes longer than a short wait.
const LONG_PREFIX_TOKENS: u32 = 4_000;
/// Bounds within which an endpoint has capacity for a prefix that is not long.
const SHORT_PREFIX_BOUNDS: FullBounds = FullBounds { requests_per_slot: 1.0, waiting: 1 };
/// Bounds within which an endpoint has capacity for a long prefix.
const LONG_PREFIX_BOUNDS: FullBounds = FullBounds { requests_per_slot: 2.5, waiting: 4 };
/// An endpoint with a higher share of failed requests counts as one without capacity.
const MAX_FAILURE_SHARE: f64 = 0.2;
/// Caches are not fetched from endpoints with a higher share of failed requests.
const MAX_SOURCE_FAILURE_SHARE: f64 = 0.6;
/// An endpoint slower than this multiple of the median counts as one without capacity.
const MAX_SLOWNESS: f64 = 2.5;
/// Cost of an endpoint that fails all requests, in queued requests; in proportion if it fails
/// a part of them.
const FAILURE_COST: f64 = 12.0;
/// Cost of an endpoint in another availability zone, in queued requests.
const CROSS_ZONE_COST: f64 = 0.3;

/// Cost of an endpoint to which a connection has to be opened, in queued requests. Hundreds of
/// routers that spread their requests evenly would hardly ever use a connection twice.
const NEW_CONNECTION_COST: f64 = 0.6;

/// Typical age of load reports from other routers: a report waits for up to one gossip round
/// of 200 ms at its sender, and for another one at the host that forwards it in the zone.
const TYPICAL_REPORT_AGE: Duration = Duration::from_millis(250);

/// Chooses the endpoint to send a request to; `None` if no candidate may be used.
pub fn choose_endpoint(
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
) -> Option<Placement> {
    let usable: Vec<usize> = usable(candidates);
    let costs = CostModel::new(candidates, &usable, FullBounds::of(request));
    let Some(prefix) = request.prefix_hash else {
        let target = lowest_cost(request, candidates, &usable, &costs)?;
        return Some(Placement { target, prefix_source: None });
    };
    let holders: Vec<usize> =
        usable.iter().copied().filter(|&index| candidates[index].holds_prefix).collect();
    if let Some(target) = first_with_capacity(prefix, candidates, &holders, &costs) {
        return Some(Placement { target, prefix_source: None });
    }
    let target = first_with_capacity(prefix, candidates, &usable, &costs)
        .or_else(|| lowest_cost(request, candidates, &usable, &costs))?;
    Some(Placement { target, prefix_source: prefix_source(prefix, candidates, target) })
}

/// The usable candidate with the lowest cost, regardless of cached prefixes.
fn lowest_cost(
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
    usable: &[usize],
    costs: &CostModel,
) -> Option<usize> {
    usable
        .iter()
        .map(|&index| (costs.cost(&candidates[index], request.tie_breaker), index))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, index)| index)
}

/// The endpoint from which the target may fetch the cache of a prefix: one that is known
/// to hold it, or else the first one in the prefix's ranking. If the target itself ranks
/// first, the second one is used, and only if the target was added recently.
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
                    && candidate.failure_share <= MAX_SOURCE_FAILURE_SHARE
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

/// Rendezvous hash of an endpoint for a prefix; the highest value ranks first.
fn prefix_rank(prefix: u64, candidate: &Candidate<'_>) -> u64 {
    xxh3_64_with_seed(candidate.id.as_bytes(), prefix)
}

/// The candidates that may receive the request: those that are neither tried nor paused; if
/// there are none, the untried ones, even if paused; else those that are not paused.
fn usable(candidates: &[Candidate<'_>]) -> Vec<usize> {
    let select = |accept: &dyn Fn(&Candidate<'_>) -> bool| -> Vec<usize> {
        (0..candidates.len())
            .filter(|&index| {
                let candidate = &candidates[index];
                !candidate.is_closed && !candidate.has_refused && accept(candidate)
            })
            .collect()
    };
    let preferred = select(&|c| !c.was_tried && !c.is_paused);
    if !preferred.is_empty() {
        return preferred;
    }
    let untried = select(&|c| !c.was_tried);
    if !untried.is_empty() {
        return untried;
    }
    select(&|c| !c.is_paused)
}

/// The candidate that ranks first for the prefix, among those of `indices` with capacity.
fn first_with_capacity(
    prefix: u64,
    candidates: &[Candidate<'_>],
    indices: &[usize],
    costs: &CostModel,
) -> Option<usize> {
    indices
        .iter()
        .filter(|&&index| costs.has_capacity(&candidates[index]))
        .copied()
        .max_by_key(|&index| prefix_rank(prefix, &candidates[index]))
}

/// The load at which an endpoint is full.
#[derive(Clone, Copy, Debug)]
struct FullBounds {
    requests_per_slot: f64,
    /// Most requests that are queued at the endpoint.
    waiting: u32,
}

impl FullBounds {
    fn of(request: &PlacementRequest) -> FullBounds {
        match request.shared_tokens >= LONG_PREFIX_TOKENS {
            true => LONG_PREFIX_BOUNDS,
            false => SHORT_PREFIX_BOUNDS,
        }
    }
}

/// Cost and capacity of candidates, relative to the usable ones.
struct CostModel {
    full: FullBounds,
    /// Endpoints with at least this many requests have no capacity.
    max_requests: f64,
    median_latency_ms: f64,
    mean_reported_requests: f64,
    /// Share of the reported requests that is probably still running.
    remaining_share: f64,
}

impl CostModel {
    fn new(candidates: &[Candidate<'_>], usable: &[usize], full: FullBounds) -> CostModel {
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
        CostModel {
            full,
            max_requests: mean * MAX_LOAD_FACTOR + LOAD_ALLOWANCE,
            median_latency_ms,
            mean_reported_requests: reported / usable.len().max(1) as f64,
            remaining_share: remaining_share(median_latency_ms),
        }
    }

    /// Estimated requests at an endpoint now. Its reported difference from the mean counts only
    /// as far as the reported requests are probably still running.
    fn estimated_requests(&self, candidate: &Candidate<'_>) -> f64 {
        let difference = candidate.reported_requests - self.mean_reported_requests;
        candidate.requests - difference * (1.0 - self.remaining_share)
    }

    /// The higher of an endpoint's reported slowness and its latency relative to the median.
    fn relative_slowness(&self, candidate: &Candidate<'_>) -> f64 {
        let observed = if candidate.latency_ms > 0.0 && self.median_latency_ms > 0.0 {
            candidate.latency_ms / self.median_latency_ms
        } else {
            1.0
        };
        observed.max(candidate.slowness).clamp(0.5, 20.0)
    }

    fn has_capacity(&self, candidate: &Candidate<'_>) -> bool {
        let max_requests = f64::from(candidate.slots) * self.full.requests_per_slot;
        self.estimated_requests(candidate) < self.max_requests.min(max_requests)
            && candidate.waiting <= self.full.waiting
            && candidate.failure_share <= MAX_FAILURE_SHARE
            && self.relative_slowness(candidate) <= MAX_SLOWNESS
    }

    /// Cost of sending a request to the candidate, in queued requests.
    fn cost(&self, candidate: &Candidate<'_>, tie_breaker: u64) -> f64 {
        let load = self.estimated_requests(candidate) + f64::from(candidate.waiting) + 1.0;
        let zone = if candidate.is_same_zone { 0.0 } else { CROSS_ZONE_COST };
        let connection = if candidate.has_idle_connection { 0.0 } else { NEW_CONNECTION_COST };
        // less than one request, so that it only orders endpoints with about the same load
        let tie = xxh3_64_with_seed(candidate.id.as_bytes(), tie_breaker) as f64 / u64::MAX as f64;
        load * self.relative_slowness(candidate)
            + FAILURE_COST * candidate.failure_share
            + zone
            + connection
            + 0.5 * tie
    }
}

/// Share of the reported requests that is still running after the typical age of a report,
/// if request durations are exponentially distributed; 1 if the latency is not known.
fn remaining_share(latency_ms: f64) -> f64 {
    if latency_ms > 0.0 {
        (-(TYPICAL_REPORT_AGE.as_millis() as f64) / latency_ms).exp()
    } else {
        1.0
    }
}
