use {
    super::{
        free_engine::FreeEngine, load_table::LoadTable, pool_latency::PoolLatency,
        pool_load::PoolLoad, pool_member::PoolMember, pool_spec::PoolSpec, topology::Topology,
        total_estimate::TotalEstimate,
    },
    mango_wire::{EndpointKey, PoolKey},
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Latencies older than this are left out of the median.
const LATENCY_MAX_AGE: Duration = Duration::from_secs(30);
/// Time for which a median is reused: sorting the latencies of all engines for each request
/// would cost too much.
const MEDIAN_TTL: Duration = Duration::from_millis(100);
/// Fewest engines for a median. With fewer, a slow engine would shift the median that it is
/// compared with.
const MEDIAN_MIN_ENGINES: usize = 3;

/// The engines of a pool, with direct access to their loads.
#[derive(Debug)]
pub(crate) struct PoolView {
    pub(crate) key: PoolKey,
    pub(crate) cap_multiple: f64,
    pub(crate) members: Vec<PoolMember>,
    /// Sum of the engines' configured weights.
    weight_sum: f64,
    max_degraded: usize,
    /// Number of requests started so far on engines that this host owns, shared with the load
    /// table.
    local_starts: Arc<AtomicU64>,
    /// Median latencies and when they were computed.
    median: Mutex<Option<(Instant, PoolLatency)>>,
}

impl PoolView {
    /// Creates the views of all pools. `max_degraded_share` is the largest share of
    /// a pool's engines whose weight may be reduced.
    pub(crate) fn build(
        topology: &Topology,
        table: &LoadTable,
        max_degraded_share: f64,
    ) -> HashMap<PoolKey, Arc<PoolView>> {
        let specs: HashMap<_, _> = topology.engines.iter().map(|e| (e.key, e)).collect();
        let member = |key: &EndpointKey| {
            let spec = specs.get(key)?;
            let (slots, weight) = (spec.slots, spec.weight.max(0.0));
            Some(PoolMember { key: *key, slots, weight, cell: table.cell(*key) })
        };
        let view = |pool: &PoolSpec| {
            let members: Vec<_> = pool.engines.iter().filter_map(member).collect();
            PoolView {
                key: pool.key,
                cap_multiple: pool.cap_multiple,
                weight_sum: members.iter().map(|m| m.weight).sum(),
                max_degraded: max_degraded(members.len(), max_degraded_share),
                members,
                local_starts: table.local_starts(),
                median: Mutex::new(None),
            }
        };
        topology.pools.iter().map(|pool| (pool.key, Arc::new(view(pool)))).collect()
    }

    /// Requests in flight on all engines. An unknown or too old count is taken as 0.
    pub(crate) fn total(&self, now: Instant) -> u32 {
        self.members.iter().map(|m| m.counts_and_health(now).0).sum()
    }

    /// Returns the load of the pool for the owner of the engine `own`, which passes that
    /// engine's exact count and health factor.
    pub(crate) fn load_for(
        &self,
        own: EndpointKey,
        own_in_flight: u32,
        own_permille: u16,
        now: Instant,
    ) -> PoolLoad {
        let mut pool_load = PoolLoad {
            in_flight: 0,
            weight_sum: self.weight_sum,
            configured_weight: 0.0,
            effective_weight: 0.0,
        };
        // the counts are read one after the other; requests that start on this host's
        // engines in the meantime are subtracted below
        let starts_before = self.local_starts.load(Ordering::SeqCst);
        let mut total = TotalEstimate::default();
        let mut slow = Vec::new();
        for member in &self.members {
            let is_own = member.key == own;
            let own_count = (own_in_flight, own_in_flight, own_permille);
            let (mut latest, mut previous, permille) =
                if is_own { own_count } else { member.counts_and_health(now) };
            if !is_own {
                (latest, previous) = member.counts_for_estimate(now);
            }
            total.add(latest, previous);
            if is_own {
                pool_load.configured_weight = member.weight;
                pool_load.effective_weight = member.weight;
            }
            if permille < 1000 {
                slow.push((permille, member.key, member.weight));
            }
        }
        let started = self.local_starts.load(Ordering::SeqCst) - starts_before;
        let started = u32::try_from(started).unwrap_or(u32::MAX);
        pool_load.in_flight = total.conservative().saturating_sub(started);
        for (permille, key, weight) in self.limit_degraded(slow) {
            let reduced = weight * f64::from(permille) / 1000.0;
            pool_load.weight_sum -= weight - reduced;
            if key == own {
                pool_load.effective_weight = reduced;
            }
        }
        pool_load
    }

    /// Engines that are treated as degraded by their latest reports.
    pub(crate) fn degraded(&self, now: Instant) -> Vec<EndpointKey> {
        let permille = |m: &PoolMember| (m.counts_and_health(now).2, m.key, m.weight);
        let slow = self.members.iter().map(permille).filter(|(p, ..)| *p < 1000).collect();
        self.limit_degraded(slow).into_iter().map(|(_, key, _)| key).collect()
    }

    /// Engines other than `own` with free capacity by their latest reports. The capacity of
    /// each is divided by the number of engines with a queue, whose owners all redirect
    /// requests to it.
    pub(crate) fn free_engines(&self, own: EndpointKey, now: Instant) -> Vec<FreeEngine> {
        let pool_load = self.load_for(own, 0, 1000, now);
        let own_in_flight =
            self.members.iter().find(|m| m.key == own).map_or(0, |m| m.counts_and_health(now).0);
        let pool_load = PoolLoad { in_flight: pool_load.in_flight + own_in_flight, ..pool_load };
        let has_queue = |m: &&PoolMember| m.cell.fresh(now).is_some_and(|load| load.queued > 0);
        let queueing_engines = self.members.iter().filter(has_queue).count().max(1) as u32;
        let free = |member: &PoolMember| {
            let load = member.cell.last()?;
            let weight = member.weight * f64::from(load.weight_permille) / 1000.0;
            let cap = pool_load.cap(self.cap_multiple, weight).min(member.slots);
            if member.key == own || !load.is_free(cap, now) {
                return None;
            }
            let max_redirects = ((cap - load.in_flight) / queueing_engines).max(1);
            Some(FreeEngine {
                key: member.key,
                epoch: load.epoch,
                version: load.version,
                max_redirects,
            })
        };
        self.members.iter().filter_map(free).collect()
    }

    /// Keeps only the slowest engines if more are slow than may be degraded. All owners
    /// sort the reported health factors in the same way, so they agree without messages.
    fn limit_degraded(
        &self,
        mut slow: Vec<(u16, EndpointKey, f64)>,
    ) -> Vec<(u16, EndpointKey, f64)> {
        if slow.len() > self.max_degraded {
            slow.sort_unstable_by_key(|(permille, key, _)| (*permille, *key));
            slow.truncate(self.max_degraded);
        }
        slow
    }

    /// Median latencies of the pool's engines, at most `MEDIAN_TTL` old.
    pub(crate) fn latency(&self, now: Instant) -> PoolLatency {
        let mut median = self.median.lock();
        if let Some((at, latency)) = *median
            && now.saturating_duration_since(at) < MEDIAN_TTL
        {
            return latency;
        }
        let latencies: Vec<_> =
            self.members.iter().filter_map(|m| m.cell.latency(LATENCY_MAX_AGE, now)).collect();
        let latency = PoolLatency {
            first_token_ms: median_of(latencies.iter().map(|l| l.first_token_ms)),
            gap_us: median_of(latencies.iter().map(|l| l.gap_us)),
        };
        *median = Some((now, latency));
        latency
    }
}

/// Number of engines that may be degraded at the same time. At least 1 in a pool of two or
/// more: by the share alone, a pool of three could not avoid its slow engine.
fn max_degraded(engines: usize, share: f64) -> usize {
    if engines < 2 || share <= 0.0 {
        return 0;
    }
    ((engines as f64 * share) as usize).max(1)
}

fn median_of(times: impl Iterator<Item = f64>) -> Option<f64> {
    let mut times: Vec<f64> = times.filter(|t| *t > 0.0).collect();
    if times.len() < MEDIAN_MIN_ENGINES {
        return None;
    }
    times.sort_unstable_by(f64::total_cmp);
    Some(times[times.len() / 2])
}
