use {
    crate::load::{EngineLoad, LoadSummary, RecentMaximum, TrackedEngine},
    parking_lot::Mutex,
    std::{sync::Arc, time::Instant},
};

struct EngineCounters {
    name: String,
    weight: f64,
    in_flight: usize,
    max_in_flight: usize,
    starts: u64,
    // time integral of `in_flight` from the last reset to `updated`
    request_seconds: f64,
    updated: Instant,
}

struct State {
    cap_multiple: f64,
    // time of creation or of the last reset
    since: Instant,
    // requests in flight on all engines together
    total: RecentMaximum,
    max_total: usize,
    samples: u64,
    over_cap: u64,
    max_excess: usize,
    engines: Vec<EngineCounters>,
}

/// Counts the requests in flight on several engines, and checks at each start of a
/// request whether the engine exceeds its cap. Clones share their state.
///
/// The cap is `cap_multiple` * the engine's share of all weights * (the largest total
/// in the preceding second + 1), rounded up and at least 1.
#[derive(Clone)]
pub struct LoadTracker {
    state: Arc<Mutex<State>>,
}

impl LoadTracker {
    /// Creates a tracker without engines.
    pub fn new(cap_multiple: f64) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                cap_multiple,
                since: Instant::now(),
                total: RecentMaximum::new(),
                max_total: 0,
                samples: 0,
                over_cap: 0,
                max_excess: 0,
                engines: Vec::new(),
            })),
        }
    }

    /// Changes the weight of the engines with this name. A crashed or dropped engine
    /// still counts in the sum of weights until its weight is set to 0.
    pub fn set_weight(&self, name: &str, weight: f64) {
        let mut state = self.state.lock();
        for engine in state.engines.iter_mut().filter(|e| e.name == name) {
            engine.weight = weight;
        }
    }

    /// Resets counts, maxima and means; requests in flight stay counted.
    pub fn reset(&self) {
        let mut state = self.state.lock();
        let now = Instant::now();
        state.since = now;
        state.max_total = state.total.value();
        (state.samples, state.over_cap, state.max_excess) = (0, 0, 0);
        for engine in &mut state.engines {
            engine.max_in_flight = engine.in_flight;
            engine.starts = 0;
            engine.request_seconds = 0.0;
            engine.updated = now;
        }
    }

    /// Counts, maxima and means since the tracker was created or reset.
    pub fn summary(&self) -> LoadSummary {
        let mut state = self.state.lock();
        let now = Instant::now();
        let seconds = now.duration_since(state.since).as_secs_f64();
        let engines = state.engines.iter_mut().map(|e| e.summary(now, seconds)).collect();
        LoadSummary {
            samples: state.samples,
            over_cap: state.over_cap,
            max_excess: state.max_excess,
            max_total: state.max_total,
            engines,
        }
    }

    pub(crate) fn register(&self, name: &str, weight: f64) -> TrackedEngine {
        let mut state = self.state.lock();
        state.engines.push(EngineCounters {
            name: name.to_owned(),
            weight,
            in_flight: 0,
            max_in_flight: 0,
            starts: 0,
            request_seconds: 0.0,
            updated: Instant::now(),
        });
        TrackedEngine::new(self.clone(), state.engines.len() - 1)
    }

    /// Counts the start of a request on an engine and checks the engine's cap.
    pub(crate) fn start(&self, index: usize) {
        let mut state = self.state.lock();
        let now = Instant::now();
        let recent_total = state.total.maximum(now);
        let weights: f64 = state.engines.iter().map(|e| e.weight).sum();
        let cap_multiple = state.cap_multiple;
        let engine = &mut state.engines[index];
        engine.set_in_flight(engine.in_flight + 1, now);
        engine.starts += 1;
        let share = if weights > 0.0 { engine.weight / weights } else { 0.0 };
        let cap = (cap_multiple * share * (recent_total + 1) as f64).ceil().max(1.0) as usize;
        let excess = engine.in_flight.saturating_sub(cap);
        state.samples += 1;
        state.over_cap += u64::from(excess > 0);
        state.max_excess = state.max_excess.max(excess);
        let total = state.total.value() + 1;
        state.total.set(total, now);
        state.max_total = state.max_total.max(total);
    }

    /// Counts the end of a request on an engine.
    pub(crate) fn end(&self, index: usize) {
        let mut state = self.state.lock();
        let now = Instant::now();
        let engine = &mut state.engines[index];
        engine.set_in_flight(engine.in_flight - 1, now);
        let total = state.total.value() - 1;
        state.total.set(total, now);
    }
}

impl EngineCounters {
    fn set_in_flight(&mut self, in_flight: usize, now: Instant) {
        self.integrate(now);
        self.in_flight = in_flight;
        self.max_in_flight = self.max_in_flight.max(in_flight);
    }

    /// Adds the time since the last update to the integral.
    fn integrate(&mut self, now: Instant) {
        let seconds = now.duration_since(self.updated).as_secs_f64();
        self.request_seconds += self.in_flight as f64 * seconds;
        self.updated = now;
    }

    fn summary(&mut self, now: Instant, seconds: f64) -> EngineLoad {
        self.integrate(now);
        EngineLoad {
            name: self.name.clone(),
            weight: self.weight,
            in_flight: self.in_flight,
            max_in_flight: self.max_in_flight,
            mean_in_flight: if seconds > 0.0 { self.request_seconds / seconds } else { 0.0 },
            starts: self.starts,
        }
    }
}
