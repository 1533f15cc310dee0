use {
    super::{
        candidate_plan::CandidatePlan, load_table::LoadTable, pool_latency::PoolLatency,
        pool_member::PoolMember, pool_view::PoolView, rendezvous::rank, topology::Topology,
    },
    arc_swap::ArcSwap,
    mango_wire::{ChatKey, EndpointKey, PoolKey, digest, settings::Policy},
    parking_lot::RwLock,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Instant,
    },
};

/// Creates the candidate plans of an entry router by the configured policy. All policies but
/// `Owner` are baselines, which benchmarks compare it with.
pub(crate) struct Planner {
    policy: Policy,
    max_degraded_share: f64,
    table: Arc<LoadTable>,
    pools: ArcSwap<HashMap<PoolKey, Arc<PoolView>>>,
    /// Loads that the engines reported themselves, which lag behind; used by the baseline
    /// policies only.
    reported: RwLock<HashMap<EndpointKey, u32>>,
    seed: u64,
    /// Number of plans created, which gives each plan its own seed.
    plan_count: AtomicU64,
}

impl Planner {
    /// Creates a planner without pools. Planners with equal seeds make equal choices.
    pub(crate) fn new(
        policy: Policy,
        max_degraded_share: f64,
        table: Arc<LoadTable>,
        seed: u64,
    ) -> Self {
        Self {
            policy,
            max_degraded_share,
            table,
            pools: ArcSwap::default(),
            reported: RwLock::default(),
            seed,
            plan_count: AtomicU64::new(0),
        }
    }

    /// Replaces the pools by those of a new configuration.
    pub(crate) fn set_topology(&self, topology: &Topology) {
        let pools = PoolView::build(topology, &self.table, self.max_degraded_share);
        self.pools.store(Arc::new(pools));
        let mut reported = self.reported.write();
        reported.retain(|key, _| topology.engines.iter().any(|e| e.key == *key));
    }

    /// Stores the load that an engine reported about itself.
    pub(crate) fn set_reported_load(&self, endpoint: EndpointKey, load: u32) {
        self.reported.write().insert(endpoint, load);
    }

    /// Creates the plan of one request; `None` if the pool is unknown.
    pub(crate) fn plan(
        &self,
        pool: PoolKey,
        chat: ChatKey,
        is_returning: bool,
    ) -> Option<CandidatePlan> {
        let pool = self.pools.load().get(&pool)?.clone();
        let seed = self.next_seed();
        if self.policy == Policy::Owner {
            return Some(CandidatePlan::new(pool, chat, is_returning, seed));
        }
        let endpoint = self.choose(&pool.members, chat, seed);
        Some(CandidatePlan::single(pool, endpoint, seed))
    }

    /// Median latencies of a pool's engines; all `None` if the pool is unknown.
    pub(crate) fn pool_latency(&self, pool: PoolKey) -> PoolLatency {
        self.pools.load().get(&pool).map(|pool| pool.latency(Instant::now())).unwrap_or_default()
    }

    /// Whether an engine of the pool is treated as degraded now; always `false` for the
    /// baseline policies.
    pub(crate) fn has_degraded_engines(&self, pool: PoolKey) -> bool {
        let pools = self.pools.load();
        let degraded = |pool: &Arc<PoolView>| !pool.degraded(Instant::now()).is_empty();
        self.is_owner_policy() && pools.get(&pool).is_some_and(degraded)
    }

    pub(crate) fn is_owner_policy(&self) -> bool {
        self.policy == Policy::Owner
    }

    fn next_seed(&self) -> u64 {
        let plan = self.plan_count.fetch_add(1, Ordering::Relaxed);
        digest(&(self.seed ^ plan.rotate_left(32)).to_le_bytes())
    }

    /// Chooses the engine of a request by a baseline policy; `None` if there are no members.
    fn choose(&self, members: &[PoolMember], chat: ChatKey, seed: u64) -> Option<EndpointKey> {
        if members.is_empty() {
            return None;
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut random = || members[rng.random_range(0..members.len())].key;
        match self.policy {
            Policy::LeastReported => {
                let reported = self.reported.read();
                let load = |e: &EndpointKey| reported.get(e).copied().unwrap_or(0);
                let tie_offset = random();
                let order = |m: &&PoolMember| (load(&m.key), m.key.wrapping_sub(tie_offset));
                members.iter().min_by_key(order).map(|m| m.key)
            }
            Policy::TwoChoices => {
                let reported = self.reported.read();
                let load = |e: &EndpointKey| reported.get(e).copied().unwrap_or(0);
                let (a, b) = (random(), random());
                Some(if load(&b) < load(&a) { b } else { a })
            }
            Policy::Rendezvous => {
                let subject = if chat == 0 { seed } else { chat };
                rank(subject, members.iter().map(|m| (m.key, m.weight))).first().copied()
            }
            Policy::Random | Policy::Owner => Some(random()),
        }
    }
}
