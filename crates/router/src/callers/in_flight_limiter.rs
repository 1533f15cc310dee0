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

/// Counts requests in progress, in all and per team.
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

/// Counts one request until it is dropped.
pub(crate) struct InFlightGuard {
    in_flight: InFlightLimiter,
    team: TeamKey,
}

impl InFlightLimiter {
    /// Counts a request unless a limit is reached.
    pub(crate) fn enter(
        &self,
        team: TeamKey,
        max_total: u32,
        max_team: u32,
    ) -> Result<InFlightGuard, LimitReached> {
        let mut counts = self.counts.lock();
        if counts.total >= max_total {
            return Err(LimitReached::Total);
        }
        let of_team = counts.teams.entry(team).or_insert(0);
        if *of_team >= max_team {
            return Err(LimitReached::Team);
        }
        *of_team += 1;
        counts.total += 1;
        Ok(InFlightGuard { in_flight: self.clone(), team })
    }

    pub(crate) fn total(&self) -> u32 {
        self.counts.lock().total
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut counts = self.in_flight.counts.lock();
        counts.total -= 1;
        let left = counts.teams.get_mut(&self.team).map_or(0, |count| {
            *count -= 1;
            *count
        });
        if left == 0 {
            counts.teams.remove(&self.team);
        }
    }
}
