use {
    super::permit::Permit,
    mango_wire::{ChatKey, PoolKey, TeamKey, WorkKey, config::WorkClass, peer::AcquireMode},
    std::time::{Duration, Instant},
};

/// A request that asks for a permit or waits for one.
#[derive(Debug)]
pub(crate) struct Queued<R> {
    pub(crate) reply: R,
    /// Hash of the entry router's host id.
    pub(crate) origin: u64,
    pub(crate) request: u64,
    pub(crate) mode: AcquireMode,
    pub(crate) team: TeamKey,
    pub(crate) team_weight: f64,
    pub(crate) work: WorkKey,
    pub(crate) class: WorkClass,
    pub(crate) pool: PoolKey,
    pub(crate) chat: ChatKey,
    pub(crate) long: bool,
    /// Expected length, the cost in the fair queue.
    pub(crate) expected_tokens: u32,
    /// Length by which the time of the answer is estimated.
    pub(crate) longest_tokens: u32,
    pub(crate) deadline: Instant,
    /// When it must have a slot at the latest, so that its answer ends in time.
    pub(crate) start_by: Instant,
    /// Wait that was predicted when it was queued, without correction.
    pub(crate) predicted_wait: Option<Duration>,
    pub(crate) arrived_at: Instant,
}

impl<R> Queued<R> {
    pub(crate) fn may_wait(&self) -> bool {
        self.class == WorkClass::MayWait
    }

    pub(crate) fn permit(&self, warm: bool, epoch: u64, now: Instant, free_at: Instant) -> Permit {
        Permit {
            origin: self.origin,
            request: self.request,
            team: self.team,
            work: self.work,
            class: self.class,
            pool: self.pool,
            chat: self.chat,
            warm,
            long: self.long,
            epoch,
            granted_at: now,
            free_at: Some(free_at),
            in_use: false,
            has_first_token: false,
            counted_late: false,
            reregistered_at: None,
        }
    }
}
