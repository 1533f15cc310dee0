use {
    super::part_key::TeamHash,
    std::time::{Duration, Instant},
};

/// Reports of crashes of one endpoint within this time are of one crash: a crashed endpoint is
/// away for longer.
const SAME_CRASH_TIME: Duration = Duration::from_millis(1_500);
/// Crashes of several endpoints within this time may have one cause that no request has.
const COINCIDENCE_TIME: Duration = Duration::from_millis(60);

/// A crash of an endpoint that held a request of the team, before it began the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    pub(crate) endpoint: u32,
    pub(crate) team: TeamHash,
    pub(crate) at: Instant,
}

impl Crash {
    /// Whether both are reports of one crash.
    pub(super) fn is_same(&self, other: &Crash) -> bool {
        let apart = self.at.max(other.at) - self.at.min(other.at);
        self.endpoint == other.endpoint && apart < SAME_CRASH_TIME
    }
}

/// Crashes that cannot have the same cause but the part: one of several endpoints that crashed at
/// the same moment counts.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashEvents {
    /// First crash of each event, in order of time.
    firsts: Vec<Crash>,
    /// Teams whose requests were held in each event.
    teams: Vec<Vec<TeamHash>>,
}

impl CrashEvents {
    /// Groups crashes that are sorted by time.
    pub(super) fn group<'a>(crashes: impl Iterator<Item = &'a Crash>) -> CrashEvents {
        let mut events = CrashEvents::default();
        for crash in crashes {
            let known = events
                .firsts
                .iter()
                .position(|first| first.is_same(crash) || crash.at - first.at < COINCIDENCE_TIME);
            match known {
                Some(index) => events.teams[index].push(crash.team),
                None => {
                    events.firsts.push(*crash);
                    events.teams.push(vec![crash.team]);
                }
            }
        }
        events
    }

    /// When the event with this number, from zero, happened.
    pub(super) fn time_of(&self, number: usize) -> Option<Instant> {
        self.firsts.get(number).map(|first| first.at)
    }

    /// Whether all events can be due to the requests of one team alone.
    pub(super) fn all_have(&self, team: TeamHash) -> bool {
        self.teams.iter().all(|teams| teams.contains(&team))
    }

    /// The team, if all events can be due to the requests of one team alone.
    pub(super) fn only_team(&self) -> Option<TeamHash> {
        self.teams.first()?.iter().copied().find(|team| self.all_have(*team))
    }
}
