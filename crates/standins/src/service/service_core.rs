use {
    crate::service::{ServiceExecution, ServiceOptions},
    parking_lot::{Condvar, Mutex},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Decision on a new request.
pub(crate) enum Admission {
    /// Holds the index of the execution.
    Admitted(usize),
    Leaving,
    Full,
    /// The service crashed after the connection was accepted.
    Crashed,
}

/// Result of an execution.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(crate) enum Outcome {
    Answered,
    /// The connection is closed without a response.
    Dropped,
}

pub(crate) struct ServiceState {
    pub(crate) identity: String,
    /// Number of crashes and restarts so far. A handler with a lower number belongs to
    /// an earlier start, which has crashed.
    pub(crate) generation: u64,
    /// Whether new requests are refused while those in flight continue.
    pub(crate) leaving: bool,
    /// Duration of executions that start from now on.
    pub(crate) service_time: Duration,
    pub(crate) in_flight: usize,
    pub(crate) executions: Vec<ServiceExecution>,
    pub(crate) refused_leaving: Vec<Instant>,
    /// How many of the next executions end without a response.
    pub(crate) next_failures: u32,
    failure_probability: f64,
    random: SmallRng,
}

/// State of a stand-in service, shared by its connections.
pub(crate) struct ServiceCore {
    options: ServiceOptions,
    state: Mutex<ServiceState>,
    crashed: Condvar,
}

impl ServiceCore {
    pub(crate) fn new(options: ServiceOptions) -> Self {
        let state = ServiceState {
            identity: new_identity(),
            generation: 0,
            leaving: false,
            service_time: Duration::from_millis(options.service_ms),
            in_flight: 0,
            executions: Vec::new(),
            refused_leaving: Vec::new(),
            next_failures: 0,
            failure_probability: 0.0,
            random: SmallRng::seed_from_u64(0),
        };
        Self { options, state: Mutex::new(state), crashed: Condvar::new() }
    }

    pub(crate) fn with<R>(&self, change: impl FnOnce(&mut ServiceState) -> R) -> R {
        change(&mut self.state.lock())
    }

    pub(crate) fn crash(&self) {
        let mut state = self.state.lock();
        state.generation += 1;
        state.in_flight = 0;
        self.crashed.notify_all();
    }

    pub(crate) fn restart(&self) {
        let mut state = self.state.lock();
        state.generation += 1;
        state.identity = new_identity();
        state.leaving = false;
    }

    pub(crate) fn set_failure_probability(&self, probability: f64, seed: u64) {
        let mut state = self.state.lock();
        state.failure_probability = probability;
        state.random = SmallRng::seed_from_u64(seed);
    }

    /// Decides on a request. An admitted execution gets the identity and the start time,
    /// and is recorded, which makes it take effect.
    pub(crate) fn admit(&self, generation: u64, mut execution: ServiceExecution) -> Admission {
        let mut state = self.state.lock();
        if state.generation != generation {
            return Admission::Crashed;
        }
        if state.leaving {
            state.refused_leaving.push(Instant::now());
            return Admission::Leaving;
        }
        if state.in_flight >= self.options.max_in_flight {
            return Admission::Full;
        }
        state.in_flight += 1;
        execution.identity.clone_from(&state.identity);
        execution.started = Instant::now();
        state.executions.push(execution);
        Admission::Admitted(state.executions.len() - 1)
    }

    /// Waits for the service time, then ends the execution. A crash ends it at once.
    pub(crate) fn execute(&self, generation: u64, index: usize) -> Outcome {
        let mut state = self.state.lock();
        let deadline = Instant::now() + state.service_time;
        while state.generation == generation && Instant::now() < deadline {
            self.crashed.wait_until(&mut state, deadline);
        }
        if state.generation != generation {
            state.executions[index].dropped = true;
            return Outcome::Dropped;
        }
        state.in_flight -= 1;
        let outcome = state.outcome();
        let execution = &mut state.executions[index];
        execution.ended = Some(Instant::now());
        execution.dropped = outcome == Outcome::Dropped;
        outcome
    }
}

impl ServiceState {
    fn outcome(&mut self) -> Outcome {
        let fails = self.next_failures > 0;
        self.next_failures = self.next_failures.saturating_sub(1);
        if fails || self.random.random_bool(self.failure_probability) {
            return Outcome::Dropped;
        }
        Outcome::Answered
    }
}

fn new_identity() -> String {
    uuid::Uuid::new_v4().to_string()
}
