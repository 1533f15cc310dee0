use {
    super::{candidate::Candidate, pool_member::PoolMember, pool_view::PoolView, rendezvous::rank},
    mango_wire::{ChatKey, EndpointKey, peer::AcquireMode},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{collections::VecDeque, sync::Arc, time::Instant},
};

/// Least loaded engines, by gossip, that are tried besides the home and the second choice.
const LEAST_LOADED_TRIES: usize = 2;

/// Engines in the order in which the entry router asks their owners for a permit.
///
/// A chat's home is the engine that rendezvous hashing ranks first for it, and its second
/// choice the engine ranked next. The least loaded engines are looked up only when the steps
/// before them were refused.
#[derive(Debug)]
pub(crate) struct CandidatePlan {
    pool: Arc<PoolView>,
    steps: VecDeque<Candidate>,
    /// Engines that the search for the least loaded ones skips.
    tried: Vec<EndpointKey>,
    /// Engines whose queues are still to be tried when all other steps were refused; empty for
    /// baseline policies.
    queue_targets: VecDeque<EndpointKey>,
    /// Home and second choice.
    preferred: Vec<EndpointKey>,
    /// Whether the least loaded engines have been looked up.
    searched: bool,
    /// Engines that already have an `IfWarm` step.
    warm_tried: Vec<EndpointKey>,
    /// Engine that the home's owner has on record as running the chat.
    recorded_engine: Option<EndpointKey>,
    is_chat: bool,
    rng: SmallRng,
}

impl CandidatePlan {
    /// Creates the plan of the policy `owner`. `is_returning` is set if the chat has
    /// earlier turns.
    pub(crate) fn new(pool: Arc<PoolView>, chat: ChatKey, is_returning: bool, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        // key 0 means no chat; a random subject spreads such requests over the engines
        let subject = if chat == 0 { rng.random() } else { chat };
        let ranked = rank(subject, pool.members.iter().map(|m| (m.key, m.weight)));
        let tried: Vec<_> = ranked.into_iter().take(2).collect();
        let mut steps = VecDeque::with_capacity(4);
        if is_returning && chat != 0 {
            steps.extend(tried.iter().map(|e| step(*e, AcquireMode::IfWarm)));
        }
        steps.extend(tried.iter().map(|e| step(*e, AcquireMode::IfRoom)));
        let preferred = tried.clone();
        Self {
            pool,
            steps,
            warm_tried: tried.clone(),
            tried,
            queue_targets: preferred.iter().copied().collect(),
            preferred,
            searched: false,
            recorded_engine: None,
            is_chat: chat != 0,
            rng,
        }
    }

    /// Creates the plan of a baseline policy: one engine, whatever its load.
    pub(crate) fn single(pool: Arc<PoolView>, endpoint: Option<EndpointKey>, seed: u64) -> Self {
        let steps = endpoint.map(|e| step(e, AcquireMode::Queue)).into_iter().collect();
        let rng = SmallRng::seed_from_u64(seed);
        Self {
            pool,
            steps,
            warm_tried: Vec::new(),
            tried: Vec::new(),
            queue_targets: VecDeque::new(),
            preferred: Vec::new(),
            searched: true,
            recorded_engine: None,
            is_chat: false,
            rng,
        }
    }

    /// Continues the plan after an owner refused a queued request with `at_cap`: looks
    /// the least loaded engines up again, then queues again.
    pub(crate) fn restart_search(&mut self) {
        self.tried.clear();
        self.searched = false;
        self.queue_targets = self.preferred.iter().copied().collect();
    }

    /// Records the answer of the owner of `asked` that the chat ran on engine `to`,
    /// and tries that engine next.
    pub(crate) fn record_chat_move(&mut self, asked: EndpointKey, to: Option<EndpointKey>) {
        let Some(to) = to else { return };
        if Some(asked) == self.home() {
            self.recorded_engine = Some(to);
        }
        if !self.warm_tried.contains(&to) {
            self.warm_tried.push(to);
            self.steps.push_front(step(to, AcquireMode::IfWarm));
        }
    }

    /// Home of the chat, if its owner must be notified that the chat runs on `granted`.
    pub(crate) fn home_to_notify(&self, granted: EndpointKey) -> Option<EndpointKey> {
        let is_unrecorded = self.is_chat && self.recorded_engine != Some(granted);
        self.home().filter(|home| is_unrecorded && *home != granted)
    }

    fn home(&self) -> Option<EndpointKey> {
        self.preferred.first().copied()
    }

    /// Adds a step for each of the least loaded engines that were not tried yet.
    fn add_least_loaded(&mut self) {
        self.searched = true;
        let now = Instant::now();
        let mut found = Vec::new();
        for member in &self.pool.members {
            if !self.tried.contains(&member.key)
                && let Some(load) = load_with_request(member, now)
            {
                // ties are common; a random order keeps routers from all choosing one engine
                found.push((load, self.rng.random::<u32>(), member.key));
            }
        }
        found.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, _, key) in found.into_iter().take(LEAST_LOADED_TRIES) {
            self.tried.push(key);
            self.steps.push_back(step(key, AcquireMode::IfRoom));
        }
    }

    /// Returns the next engine to queue at: the home, then the second choice in case the
    /// wait at the home is too long. A degraded engine comes after a healthy one.
    fn next_queue_step(&mut self) -> Option<Candidate> {
        let degraded = self.pool.degraded(Instant::now());
        let healthy = self.queue_targets.iter().position(|e| !degraded.contains(e));
        let endpoint = self.queue_targets.remove(healthy.unwrap_or(0))?;
        Some(step(endpoint, AcquireMode::Queue))
    }
}

impl Iterator for CandidatePlan {
    type Item = Candidate;

    fn next(&mut self) -> Option<Candidate> {
        if let Some(step) = self.steps.pop_front() {
            return Some(step);
        }
        if !self.searched {
            self.add_least_loaded();
        }
        self.steps.pop_front().or_else(|| self.next_queue_step())
    }
}

fn step(endpoint: EndpointKey, mode: AcquireMode) -> Candidate {
    Candidate { endpoint, mode }
}

/// Returns the load per unit of effective weight that the engine would have with one
/// more request, or `None` if its last report shows no free slot or a queue.
fn load_with_request(member: &PoolMember, now: Instant) -> Option<f64> {
    let load = member.cell.last()?;
    if !load.is_free(member.slots, now) || member.weight <= 0.0 {
        return None;
    }
    let health_factor = f64::from(load.weight_permille.max(1)) / 1000.0;
    Some(f64::from(load.in_flight + 1) / (member.weight * health_factor))
}
