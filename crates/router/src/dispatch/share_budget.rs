use {
    mango_wire::TeamKey,
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

const WINDOW: Duration = Duration::from_secs(10);
const MAX_TEAMS: usize = 32_768;

struct Window {
    ends: Instant,
    requests: f64,
    extra: f64,
}

/// Limits extra calls (retries or hedges) to a share of a team's requests.
pub(crate) struct ShareBudget {
    share: f64,
    min_extra: f64,
    teams: Mutex<HashMap<TeamKey, Window>>,
}

impl ShareBudget {
    /// `share` is the number of extra calls allowed per request, `min_extra` the
    /// number that a quiet team may always make within one window.
    pub(crate) fn new(share: f64, min_extra: f64) -> Self {
        Self { share, min_extra, teams: Mutex::default() }
    }

    /// Counts a request of the team.
    pub(crate) fn count_request(&self, team: TeamKey) {
        let now = Instant::now();
        let mut teams = self.teams.lock();
        if teams.len() >= MAX_TEAMS {
            teams.retain(|_, window| window.ends > now);
        }
        current(&mut teams, team, now).requests += 1.0;
    }

    /// Takes one extra call from the budget; `false` if it is used up.
    pub(crate) fn take(&self, team: TeamKey) -> bool {
        self.take_cost(team, 1.0)
    }

    /// Takes a part of an extra call from the budget; `false` if it is used up.
    pub(crate) fn take_cost(&self, team: TeamKey, cost: f64) -> bool {
        let mut teams = self.teams.lock();
        let window = current(&mut teams, team, Instant::now());
        let allowed = (window.requests * self.share).max(self.min_extra);
        if window.extra + cost > allowed {
            return false;
        }
        window.extra += cost;
        true
    }
}

fn current(teams: &mut HashMap<TeamKey, Window>, team: TeamKey, now: Instant) -> &mut Window {
    let fresh = || Window { ends: now + WINDOW, requests: 0.0, extra: 0.0 };
    let window = teams.entry(team).or_insert_with(fresh);
    if window.ends <= now {
        // keeps a tenth, so that the budget does not start from zero at each window
        window.requests *= 0.1;
        window.extra *= 0.1;
        window.ends = now + WINDOW;
    }
    window
}
