use {
    super::{engine_latency::EngineLatency, load::Load},
    mango_wire::EndpointKey,
    parking_lot::Mutex,
    std::time::{Duration, Instant},
};

/// Latest load and latency of one engine, shared by the load table and the pools of the
/// engine, so that computing the load of a pool needs no lookup by key.
#[derive(Debug)]
pub(crate) struct LoadCell {
    pub(crate) key: EndpointKey,
    load: Mutex<Option<Load>>,
    latency: Mutex<Option<EngineLatency>>,
}

impl LoadCell {
    pub(crate) fn new(key: EndpointKey) -> Self {
        Self { key, load: Mutex::new(None), latency: Mutex::new(None) }
    }

    /// Latest load, even if it is too old to be used.
    pub(crate) fn last(&self) -> Option<Load> {
        *self.load.lock()
    }

    /// Latest load, unless it is unknown or too old.
    pub(crate) fn fresh(&self, now: Instant) -> Option<Load> {
        self.last().filter(|load| load.is_fresh(now))
    }

    /// Stores a report if it is newer than the stored one, and returns whether it was.
    pub(crate) fn merge(&self, mut load: Load) -> bool {
        let mut current = self.load.lock();
        if current.is_some_and(|current| !load.supersedes(&current)) {
            return false;
        }
        // readers take an expired count as 0
        let previous = current.filter(|current| current.is_fresh(load.counted_at));
        load.previous_in_flight = previous.map_or(0, |previous| previous.in_flight);
        *current = Some(load);
        true
    }

    /// Stores the exact count of an engine that this host owns.
    pub(crate) fn set_local(&self, load: Load) {
        let mut current = self.load.lock();
        if current.is_none_or(|current| load.epoch >= current.epoch) {
            *current = Some(load);
        }
    }

    /// Marks the count as no longer local, so that newer reports replace it.
    pub(crate) fn clear_local(&self) {
        let mut current = self.load.lock();
        if let Some(load) = current.as_mut() {
            load.is_local = false;
        }
    }

    /// Latest latency, unless it is unknown or older than `max_age`.
    pub(crate) fn latency(&self, max_age: Duration, now: Instant) -> Option<EngineLatency> {
        let latency = *self.latency.lock();
        latency.filter(|l| now.saturating_duration_since(l.measured_at) < max_age)
    }

    pub(crate) fn set_latency(&self, latency: EngineLatency) {
        *self.latency.lock() = Some(latency);
    }

    /// Adds one measurement to the moving averages; `smoothing` is its weight. A time of 0
    /// means not measured.
    pub(crate) fn observe(&self, first_token_ms: f64, gap_us: f64, smoothing: f64, now: Instant) {
        let mut latency = self.latency.lock();
        let old =
            latency.unwrap_or(EngineLatency { first_token_ms: 0.0, gap_us: 0.0, measured_at: now });
        *latency = Some(EngineLatency {
            first_token_ms: smoothed(old.first_token_ms, first_token_ms, smoothing),
            gap_us: smoothed(old.gap_us, gap_us, smoothing),
            measured_at: now,
        });
    }
}

fn smoothed(old: f64, sample: f64, smoothing: f64) -> f64 {
    if sample <= 0.0 {
        return old;
    }
    if old <= 0.0 { sample } else { old + smoothing * (sample - old) }
}
