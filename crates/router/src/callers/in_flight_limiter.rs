use {
    mango_wire::TeamKey,
    parking_lot::Mutex,
    std::{collections::HashMap, sync::Arc},
};

#[derive(Default)]
struct Counts {
    total: u32,
    teams: HashMap<TeamKey, u32>,
}

/// Limits the requests in flight, in total and per team.
#[derive(Clone, Default)]
pub(crate) struct InFlightLimiter {
    counts: Arc<Mutex<Counts>>,
}

/// Which limit a request would exceed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LimitReached {
    Total,
    Team,
}

/// Guard that counts one request as in flight until it is dropped.
pub(crate) struct InFlightGuard {
    limiter: InFlightLimiter,
    team: TeamKey,
}

impl InFlightLimiter {
    /// Counts a request as in flight, unless a limit is reached.
    pub(crate) fn try_acquire(
        &self,
        team: TeamKey,
        max_total: u32,
        max_team: u32,
    ) -> Result<InFlightGuard, LimitReached> {
        let mut counts = self.counts.lock();
        if counts.total >= max_total {
            return Err(LimitReached::Total);
        }
        let team_count = counts.teams.entry(team).or_insert(0);
        if *team_count >= max_team {
            return Err(LimitReached::Team);
        }
        *team_count += 1;
        counts.total += 1;
        Ok(InFlightGuard { limiter: self.clone(), team })
    }

    /// Number of requests in flight.
    pub(crate) fn total(&self) -> u32 {
        self.counts.lock().total
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.limiter.counts.lock();
        counts.total -= 1;
        let remaining = counts.teams.get_mut(&self.team).map_or(0, |count| {
            *count -= 1;
            *count
        });
        if remaining == 0 {
            counts.teams.remove(&self.team);
        }
    }
}
