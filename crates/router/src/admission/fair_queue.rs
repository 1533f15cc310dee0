use {
    super::{deficit_round_robin::DeficitRoundRobin, pending_request::PendingRequest},
    mango_wire::TeamKey,
    std::{collections::BTreeMap, time::Instant},
};

/// Requests waiting for one engine. Work of the class `MayWait` has a queue of its
/// own, with its own limit and a guaranteed share of grants.
#[derive(Debug)]
pub(crate) struct FairQueue<R> {
    regular: DeficitRoundRobin<R>,
    may_wait: DeficitRoundRobin<R>,
    /// Grants that `MayWait` work is entitled to before regular work.
    may_wait_credit: f64,
    last_sequence: u64,
}

impl<R> FairQueue<R> {
    pub(crate) fn new() -> Self {
        Self {
            regular: DeficitRoundRobin::new(),
            may_wait: DeficitRoundRobin::new(),
            may_wait_credit: 0.0,
            last_sequence: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.regular.len() + self.may_wait.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request. Returns the request that is evicted if its queue is then
    /// longer than `max`.
    pub(crate) fn push(
        &mut self,
        pending: PendingRequest<R>,
        max: usize,
    ) -> Option<PendingRequest<R>> {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let queue = if pending.may_wait() { &mut self.may_wait } else { &mut self.regular };
        queue.push(sequence, pending);
        if queue.len() > max { queue.evict() } else { None }
    }

    /// Removes the next eligible request. `MayWait` work comes last, but gets at least
    /// `may_wait_share` of the grants made while it is queued.
    pub(crate) fn pop(
        &mut self,
        may_wait_share: f64,
        eligible: &impl Fn(&PendingRequest<R>) -> bool,
    ) -> Option<PendingRequest<R>> {
        if self.may_wait.len() == 0 {
            self.may_wait_credit = 0.0;
            return self.regular.pop(eligible);
        }
        self.may_wait_credit = (self.may_wait_credit + may_wait_share).min(1.0 + may_wait_share);
        if self.may_wait_credit >= 1.0
            && let Some(pending) = self.may_wait.pop(eligible)
        {
            self.may_wait_credit -= 1.0;
            return Some(pending);
        }
        self.regular.pop(eligible).or_else(|| self.may_wait.pop(eligible))
    }

    /// Removes the requests that can no longer end by their deadline.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<PendingRequest<R>> {
        self.extract(|pending| pending.latest_start <= now)
    }

    /// Removes the requests that `select` returns true for.
    pub(crate) fn extract(
        &mut self,
        select: impl Fn(&PendingRequest<R>) -> bool,
    ) -> Vec<PendingRequest<R>> {
        let mut out = self.regular.extract(&select);
        out.append(&mut self.may_wait.extract(&select));
        out
    }

    /// Estimated number of requests that run before a new one.
    pub(crate) fn estimate_ahead(&self, pending: &PendingRequest<R>, may_wait_share: f64) -> f64 {
        if !pending.may_wait() {
            return self.regular.estimate_ahead(pending);
        }
        let ahead = self.may_wait.estimate_ahead(pending);
        let by_share = (ahead + 1.0) / may_wait_share.max(1e-3);
        (self.regular.len() as f64 + ahead).min(by_share)
    }

    /// Whether a team has requests waiting.
    pub(crate) fn has_backlog(&self, team: TeamKey) -> bool {
        self.regular.has_backlog(team) || self.may_wait.has_backlog(team)
    }

    /// Number of waiting requests by team.
    pub(crate) fn team_lens(&self) -> BTreeMap<TeamKey, usize> {
        let mut lens = BTreeMap::new();
        for (team, len) in self.regular.team_lens().chain(self.may_wait.team_lens()) {
            *lens.entry(team).or_insert(0) += len;
        }
        lens
    }

    pub(crate) fn may_wait_len(&self) -> usize {
        self.may_wait.len()
    }
}
