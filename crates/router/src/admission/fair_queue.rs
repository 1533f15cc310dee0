use {
    super::{queued::Queued, team_round::TeamRound},
    mango_wire::TeamKey,
    std::{collections::BTreeMap, time::Instant},
};

/// Requests waiting for one engine. Work that may wait is kept apart, with its own
/// bound and a guaranteed share of grants.
#[derive(Debug)]
pub(crate) struct FairQueue<R> {
    regular: TeamRound<R>,
    may_wait: TeamRound<R>,
    /// Grants that waiting work is owed.
    may_wait_credit: f64,
    numbers: u64,
}

impl<R> FairQueue<R> {
    pub(crate) fn new() -> Self {
        Self {
            regular: TeamRound::new(),
            may_wait: TeamRound::new(),
            may_wait_credit: 0.0,
            numbers: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.regular.len() + self.may_wait.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request and returns the one that has to go if its part of the queue
    /// is longer than `max`.
    pub(crate) fn push(&mut self, queued: Queued<R>, max: usize) -> Option<Queued<R>> {
        self.numbers += 1;
        let number = self.numbers;
        let part = if queued.may_wait() { &mut self.may_wait } else { &mut self.regular };
        part.push(number, queued);
        if part.len() > max { part.evict() } else { None }
    }

    /// Takes the next request that `eligible` lets run. Work that may wait comes
    /// last, but gets at least `may_wait_share` of the grants made while it waits.
    pub(crate) fn pop(
        &mut self,
        may_wait_share: f64,
        eligible: &impl Fn(&Queued<R>) -> bool,
    ) -> Option<Queued<R>> {
        if self.may_wait.len() == 0 {
            self.may_wait_credit = 0.0;
            return self.regular.pop(eligible);
        }
        self.may_wait_credit = (self.may_wait_credit + may_wait_share).min(1.0 + may_wait_share);
        if self.may_wait_credit >= 1.0
            && let Some(queued) = self.may_wait.pop(eligible)
        {
            self.may_wait_credit -= 1.0;
            return Some(queued);
        }
        self.regular.pop(eligible).or_else(|| self.may_wait.pop(eligible))
    }

    /// Removes the requests that would not end in time any more.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Queued<R>> {
        self.extract(|queued| queued.start_by <= now)
    }

    /// Removes what `select` selects.
    pub(crate) fn extract(&mut self, select: impl Fn(&Queued<R>) -> bool) -> Vec<Queued<R>> {
        let mut out = self.regular.extract(&select);
        out.append(&mut self.may_wait.extract(&select));
        out
    }

    /// Estimated number of requests that run before a new one.
    pub(crate) fn ahead_of(&self, queued: &Queued<R>, may_wait_share: f64) -> f64 {
        if !queued.may_wait() {
            return self.regular.ahead_of(queued);
        }
        let ahead = self.may_wait.ahead_of(queued);
        let by_share = (ahead + 1.0) / may_wait_share.max(1e-3);
        (self.regular.len() as f64 + ahead).min(by_share)
    }

    /// Whether a team has requests waiting.
    pub(crate) fn has_backlog(&self, team: TeamKey) -> bool {
        self.regular.has_backlog(team) || self.may_wait.has_backlog(team)
    }

    /// Waiting requests by team.
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
