use {
    super::permit::Permit,
    mango_wire::{ChatKey, PoolKey, TeamKey, WorkKey, config::WorkClass, peer::AcquireMode},
    std::time::{Duration, Instant},
};

/// A request for a permit that has not been answered yet.
#[derive(Debug)]
pub(crate) struct PendingRequest<R> {
    pub(crate) reply: R,
    /// Hash of the host id of the entry router, which sent the request.
    pub(crate) origin: u64,
    /// Number that the entry router gave the request.
    pub(crate) request: u64,
    pub(crate) mode: AcquireMode,
    pub(crate) team: TeamKey,
    pub(crate) team_weight: f64,
    pub(crate) work: WorkKey,
    pub(crate) class: WorkClass,
    pub(crate) pool: PoolKey,
    pub(crate) chat: ChatKey,
    pub(crate) long: bool,
    /// Expected length, used as the cost in the fair queue.
    pub(crate) expected_tokens: u32,
    /// Length that few requests exceed, from which the time to answer is estimated.
    pub(crate) longest_tokens: u32,
    pub(crate) deadline: Instant,
    /// Latest time at which it must start, so that its answer ends by the deadline.
    pub(crate) latest_start: Instant,
    /// Wait predicted when it was queued, without correction.
    pub(crate) predicted_wait: Option<Duration>,
    pub(crate) arrived_at: Instant,
}

impl<R> PendingRequest<R> {
    /// Whether the request is of the class `MayWait`.
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
