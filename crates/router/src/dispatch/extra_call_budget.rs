use {
    mango_wire::TeamKey,
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time span over which requests and extra calls are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Number of stored teams at which those with an expired window are removed.
const TEAM_CLEANUP_THRESHOLD: usize = 32_768;

struct Window {
    ends_at: Instant,
    requests: f64,
    extra_calls: f64,
}

/// Limits extra calls (retries, hedges or moves) to a share of a team's requests.
pub(crate) struct ExtraCallBudget {
    share: f64,
    min_extra_calls: f64,
    teams: Mutex<HashMap<TeamKey, Window>>,
}

impl ExtraCallBudget {
    /// `share` is the number of extra calls allowed per request, `min_extra_calls` the number
    /// that is always allowed within one window, also for a team with few requests.
    pub(crate) fn new(share: f64, min_extra_calls: f64) -> Self {
        Self { share, min_extra_calls, teams: Mutex::default() }
    }

    /// Counts a request of the team.
    pub(crate) fn count_request(&self, team: TeamKey) {
        let now = Instant::now();
        let mut teams = self.teams.lock();
        if teams.len() >= TEAM_CLEANUP_THRESHOLD {
            teams.retain(|_, window| window.ends_at > now);
        }
        current_window(&mut teams, team, now).requests += 1.0;
    }

    /// Takes one extra call from the budget; `false` if less than that is left.
    pub(crate) fn take(&self, team: TeamKey) -> bool {
        self.take_cost(team, 1.0)
    }

    /// Takes `cost`, in extra calls, from the budget; `false` if less than that is left.
    pub(crate) fn take_cost(&self, team: TeamKey, cost: f64) -> bool {
        let mut teams = self.teams.lock();
        let window = current_window(&mut teams, team, Instant::now());
        let allowed = (window.requests * self.share).max(self.min_extra_calls);
        if window.extra_calls + cost > allowed {
            return false;
        }
        window.extra_calls += cost;
        true
    }
}

/// Window of the team at `now`; starts a new one if the last one has ended.
fn current_window(
    teams: &mut HashMap<TeamKey, Window>,
    team: TeamKey,
    now: Instant,
) -> &mut Window {
    let new_window = || Window { ends_at: now + WINDOW, requests: 0.0, extra_calls: 0.0 };
    let window = teams.entry(team).or_insert_with(new_window);
    if window.ends_at <= now {
        // a tenth is kept, so that a new window does not start with an empty budget
        window.requests *= 0.1;
        window.extra_calls *= 0.1;
        window.ends_at = now + WINDOW;
    }
    window
}
