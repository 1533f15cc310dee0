use {
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    strum::{Display, EnumIter, IntoEnumIterator},
};

/// Fault that is injected into a run.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Fault {
    /// A router is killed and later restarted.
    Crash,
    /// A router's process is suspended and later resumed.
    Pause,
    /// The log performs all appends, but some of its answers to them are lost.
    LostAppendAnswers,
    /// The log refuses all requests.
    LogOutage,
    /// The traffic between one router and the log is held back.
    LogCut,
    /// The other routers cannot reach one router, which the host list no longer
    /// contains. The host list is served with a delay.
    SplitHosts,
    /// An engine and the service crash and restart.
    EndpointFlap,
    /// The traffic of all endpoints is held back, so that answers come late, possibly after
    /// the deadlines of the requests.
    LateAnswers,
    /// An engine leaves: it refuses new requests and completes those in flight.
    EndpointLeave,
    /// A router is stopped by SIGTERM.
    PlannedStop,
    /// An operator stops a router through `/drain`.
    OperatorDrain,
    /// Two operators make conflicting changes to the configuration.
    RacingChanges,
}

impl Fault {
    /// Whether a run with a planned stop may also have this fault. As such a run must
    /// not cut off requests, it has no fault that interrupts them.
    fn is_allowed_with_stop(self) -> bool {
        matches!(self, Self::EndpointLeave | Self::RacingChanges)
    }

    fn is_stop(self) -> bool {
        matches!(self, Self::PlannedStop | Self::OperatorDrain)
    }
}

/// A fault, the router that it affects, and its time, relative to the start of the run.
#[derive(Clone, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) fault: Fault,
    /// Index of the affected router's host; unused by faults that affect no single router.
    pub(crate) host: usize,
    pub(crate) begins_ms: u64,
    pub(crate) lasts_ms: u64,
}

/// Plan of a run, which its seed determines.
#[derive(Clone, Debug)]
pub(crate) struct RunPlan {
    pub(crate) seed: u64,
    pub(crate) routers: usize,
    pub(crate) callers: usize,
    pub(crate) faults: Vec<PlannedFault>,
    pub(crate) run_ms: u64,
}

impl RunPlan {
    /// Draws the plan of a seed. The first fault follows from the seed alone, so that
    /// consecutive seeds cover all faults; up to two more faults are drawn.
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
                // early enough that callers still send requests after the grace
                // period of the leave
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
