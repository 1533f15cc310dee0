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

/// Speeds measured longer ago say nothing about the present median.
const LATENCY_MAX_AGE: Duration = Duration::from_secs(30);
/// The median is sorted from all engines, too much work for each request.
const MEDIAN_REUSE: Duration = Duration::from_millis(100);
/// A median of fewer engines would be moved by the slow engine itself.
const MEDIAN_MIN_ENGINES: usize = 3;

/// A pool's engines with direct access to their loads.
#[derive(Debug)]
pub(crate) struct PoolView {
    pub(crate) key: PoolKey,
    pub(crate) cap_multiple: f64,
    pub(crate) members: Vec<PoolMember>,
    weight_sum: f64,
    max_degraded: usize,
    local_starts: Arc<AtomicU64>,
    median: Mutex<Option<(Instant, PoolLatency)>>,
}

impl PoolView {
    /// Creates the views of all pools. `max_degraded_share` is the largest share of
    /// a pool's engines that may have a reduced weight.
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

    /// Requests in flight; unknown and too old counts are 0.
    pub(crate) fn total(&self, now: Instant) -> u32 {
        self.members.iter().map(|m| m.count(now).0).sum()
    }

    /// Surveys the pool for the engine `own`, whose count and health are exact.
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
        let starts = self.local_starts.load(Ordering::SeqCst);
        let mut total = TotalEstimate::default();
        let mut slow = Vec::new();
        for member in &self.members {
            let is_own = member.key == own;
            let own_count = (own_in_flight, own_in_flight, own_permille);
            let (mut newest, mut earlier, permille) =
                if is_own { own_count } else { member.count(now) };
            if !is_own {
                (newest, earlier) = member.estimate(now);
            }
            total.add(newest, earlier);
            if is_own {
                pool_load.configured_weight = member.weight;
                pool_load.effective_weight = member.weight;
            }
            if permille < 1000 {
                slow.push((permille, member.key, member.weight));
            }
        }
        let started = self.local_starts.load(Ordering::SeqCst) - starts;
        let started = u32::try_from(started).unwrap_or(u32::MAX);
        pool_load.in_flight = total.cautious().saturating_sub(started);
        for (permille, key, weight) in self.limit_degraded(slow) {
            let reduced = weight * f64::from(permille) / 1000.0;
            pool_load.weight_sum -= weight - reduced;
            if key == own {
                pool_load.effective_weight = reduced;
            }
        }
        pool_load
    }

    /// Engines that are treated as degraded, by gossip.
    pub(crate) fn degraded(&self, now: Instant) -> Vec<EndpointKey> {
        let permille = |m: &PoolMember| (m.count(now).2, m.key, m.weight);
        let slow = self.members.iter().map(permille).filter(|(p, ..)| *p < 1000).collect();
        self.limit_degraded(slow).into_iter().map(|(_, key, _)| key).collect()
    }

    /// Other engines with room by gossip. Their room is divided by the number of
    /// engines with a queue.
    pub(crate) fn free_engines(&self, own: EndpointKey, now: Instant) -> Vec<FreeEngine> {
        let pool_load = self.load_for(own, 0, 1000, now);
        let own_in_flight =
            self.members.iter().find(|m| m.key == own).map_or(0, |m| m.count(now).0);
        let pool_load = PoolLoad { in_flight: pool_load.in_flight + own_in_flight, ..pool_load };
        let queueing = |m: &&PoolMember| m.cell.fresh(now).is_some_and(|load| load.queued > 0);
        let queueing = self.members.iter().filter(queueing).count().max(1) as u32;
        let free = |member: &PoolMember| {
            let load = member.cell.last()?;
            let weight = member.weight * f64::from(load.weight_permille) / 1000.0;
            let cap = pool_load.cap(self.cap_multiple, weight).min(member.slots);
            if member.key == own || !load.is_free(cap, now) {
                return None;
            }
            let room = ((cap - load.in_flight) / queueing).max(1);
            Some(FreeEngine { key: member.key, epoch: load.epoch, version: load.version, room })
        };
        self.members.iter().filter_map(free).collect()
    }

    /// Keeps the slowest engines up to the allowed number. All owners apply the same
    /// order to the measured factors, so they agree without a message.
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

    /// Median latency of the pool's engines, at most `MEDIAN_REUSE` old.
    pub(crate) fn latency(&self, now: Instant) -> PoolLatency {
        let mut median = self.median.lock();
        if let Some((at, latency)) = *median
            && now.saturating_duration_since(at) < MEDIAN_REUSE
        {
            return latency;
        }
        let speeds: Vec<_> =
            self.members.iter().filter_map(|m| m.cell.latency(LATENCY_MAX_AGE, now)).collect();
        let latency = PoolLatency {
            first_token_ms: median_of(speeds.iter().map(|s| s.first_token_ms)),
            gap_us: median_of(speeds.iter().map(|s| s.gap_us)),
        };
        *median = Some((now, latency));
        latency
    }
}

/// At least one engine may be degraded in a pool of two or more: the share alone
/// would never let a pool of three avoid its slow engine.
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
