use {
    super::{candidate::Candidate, pool_member::PoolMember, pool_view::PoolView, rendezvous::rank},
    mango_wire::{ChatKey, EndpointKey, peer::AcquireMode},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{collections::VecDeque, sync::Arc, time::Instant},
};

/// Engines tried by gossip besides the home and the second choice.
const LEAST_LOADED_TRIES: usize = 2;

/// Sequence in which the entry router asks owners for a permit. The least loaded
/// engines are looked up when their turn comes.
#[derive(Debug)]
pub(crate) struct CandidatePlan {
    pool: Arc<PoolView>,
    steps: VecDeque<Candidate>,
    /// Engines that are not looked up again as least loaded.
    tried: Vec<EndpointKey>,
    /// Where the request queues at last; empty for baselines.
    queue_at: VecDeque<EndpointKey>,
    /// Home and second choice.
    preferred: Vec<EndpointKey>,
    searched: bool,
    /// Engines asked whether the chat is warm there.
    asked_warm: Vec<EndpointKey>,
    /// Engine that the home's owner knows to run the chat.
    known_at: Option<EndpointKey>,
    is_chat: bool,
    rng: SmallRng,
}

impl CandidatePlan {
    /// Plan of the policy `owner`. `is_returning` says whether the chat has earlier turns.
    pub(crate) fn new(pool: Arc<PoolView>, chat: ChatKey, is_returning: bool, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        // requests without a chat would otherwise all have the same home
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
            asked_warm: tried.clone(),
            tried,
            queue_at: preferred.iter().copied().collect(),
            preferred,
            searched: false,
            known_at: None,
            is_chat: chat != 0,
            rng,
        }
    }

    /// Plan of a baseline: one engine, whatever its load.
    pub(crate) fn single(pool: Arc<PoolView>, endpoint: Option<EndpointKey>, seed: u64) -> Self {
        let steps = endpoint.map(|e| step(e, AcquireMode::Queue)).into_iter().collect();
        let rng = SmallRng::seed_from_u64(seed);
        Self {
            pool,
            steps,
            asked_warm: Vec::new(),
            tried: Vec::new(),
            queue_at: VecDeque::new(),
            preferred: Vec::new(),
            searched: true,
            known_at: None,
            is_chat: false,
            rng,
        }
    }

    /// Continues after a queue answered `at_cap`: the least loaded engines are
    /// looked up again, then the request queues again.
    pub(crate) fn restart_search(&mut self) {
        self.tried.clear();
        self.searched = false;
        self.queue_at = self.preferred.iter().copied().collect();
    }

    /// Takes an owner's answer that the chat ran on another engine, which is asked next.
    pub(crate) fn record_chat_move(&mut self, asked: EndpointKey, to: Option<EndpointKey>) {
        let Some(to) = to else { return };
        if Some(asked) == self.home() {
            self.known_at = Some(to);
        }
        if !self.asked_warm.contains(&to) {
            self.asked_warm.push(to);
            self.steps.push_front(step(to, AcquireMode::IfWarm));
        }
    }

    /// Home whose owner is to be told that the chat runs on `granted`.
    pub(crate) fn home_to_notify(&self, granted: EndpointKey) -> Option<EndpointKey> {
        let is_news = self.is_chat && self.known_at != Some(granted);
        self.home().filter(|home| is_news && *home != granted)
    }

    fn home(&self) -> Option<EndpointKey> {
        self.preferred.first().copied()
    }

    fn search(&mut self) {
        self.searched = true;
        let now = Instant::now();
        let mut found = Vec::new();
        for member in &self.pool.members {
            if !self.tried.contains(&member.key)
                && let Some(load) = free_load(member, now)
            {
                // ties are common; a random order spreads the routers over equal engines
                found.push((load, self.rng.random::<u32>(), member.key));
            }
        }
        found.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, _, key) in found.into_iter().take(LEAST_LOADED_TRIES) {
            self.tried.push(key);
            self.steps.push_back(step(key, AcquireMode::IfRoom));
        }
    }

    /// Queues at home, then at the second choice, in case the wait at home is too
    /// long; a degraded one of the two comes last.
    fn queue_step(&mut self) -> Option<Candidate> {
        let degraded = self.pool.degraded(Instant::now());
        let healthy = self.queue_at.iter().position(|e| !degraded.contains(e));
        let endpoint = self.queue_at.remove(healthy.unwrap_or(0))?;
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
            self.search();
        }
        self.steps.pop_front().or_else(|| self.queue_step())
    }
}

fn step(endpoint: EndpointKey, mode: AcquireMode) -> Candidate {
    Candidate { endpoint, mode }
}

/// Load per weight of an engine that has a free slot and no queue by gossip.
fn free_load(member: &PoolMember, now: Instant) -> Option<f64> {
    let load = member.cell.last()?;
    if !load.is_free(member.slots, now) || member.weight <= 0.0 {
        return None;
    }
    let factor = f64::from(load.weight_permille.max(1)) / 1000.0;
    Some(f64::from(load.in_flight + 1) / (member.weight * factor))
}
