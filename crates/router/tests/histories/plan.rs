use {
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    strum::{Display, EnumIter, IntoEnumIterator},
};

/// Faults that a run is made under.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Fault {
    /// A router is killed and later started again.
    Crash,
    /// A router's execution is stopped and continued.
    Pause,
    /// Appends take effect, but their answers are lost.
    LostAppendAnswers,
    /// The log refuses all requests.
    LogOutage,
    /// One router cannot reach the log.
    LogCut,
    /// Nobody can reach some of the routers, and the host list lags.
    SplitHosts,
    /// Endpoints crash and restart.
    EndpointFlap,
    /// Answers of endpoints come after the requests' deadlines.
    LateAnswers,
    /// An engine leaves.
    EndpointLeave,
    /// A router is stopped by a signal.
    PlannedStop,
    /// A router is drained by an operator.
    OperatorDrain,
    /// Operators make conflicting changes.
    RacingChanges,
}

impl Fault {
    /// Whether it may be combined with a planned stop, during which no request
    /// may be cut off.
    fn is_allowed_with_stop(self) -> bool {
        matches!(self, Self::EndpointLeave | Self::RacingChanges)
    }

    fn is_stop(self) -> bool {
        matches!(self, Self::PlannedStop | Self::OperatorDrain)
    }
}

/// A fault with its time and the router that it concerns.
#[derive(Clone, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) fault: Fault,
    pub(crate) host: usize,
    pub(crate) begins_ms: u64,
    pub(crate) lasts_ms: u64,
}

/// All of a run that its seed decides.
#[derive(Clone, Debug)]
pub(crate) struct RunPlan {
    pub(crate) seed: u64,
    pub(crate) routers: usize,
    pub(crate) callers: usize,
    pub(crate) faults: Vec<PlannedFault>,
    pub(crate) run_ms: u64,
}

impl RunPlan {
    /// Plan of a seed. Seeds in a row go through all faults.
    pub(crate) fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let all: Vec<Fault> = Fault::iter().collect();
        let first = all[(seed % all.len() as u64) as usize];
        let mut chosen = vec![first];
        for _ in 0..random.random_range(0..=2) {
            let Some(next) = all.choose(&mut random).copied() else { continue };
            let fits = !next.is_stop() && (!first.is_stop() || next.is_allowed_with_stop());
            if fits && !chosen.contains(&next) {
                chosen.push(next);
            }
        }
        let routers = random.random_range(3..=4);
        let faults = chosen
            .into_iter()
            .map(|fault| PlannedFault {
                fault,
                host: random.random_range(0..routers),
                // new work is looked for some time after a leave
                begins_ms: match fault {
                    Fault::EndpointLeave => random.random_range(20..100),
                    _ => random.random_range(50..400),
                },
                lasts_ms: random.random_range(150..450),
            })
            .collect();
        Self { seed, routers, callers: 4, faults, run_ms: 1000 }
    }

    pub(crate) fn has(&self, fault: Fault) -> bool {
        self.faults.iter().any(|planned| planned.fault == fault)
    }
}
