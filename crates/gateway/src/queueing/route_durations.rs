use {
    crate::statistics::{HeldMaximum, MovingMean},
    std::time::{Duration, Instant},
};

/// How long the slowest request of a route counts.
const SLOWEST_HOLD_TIME: Duration = Duration::from_secs(20);

/// Times from the start of a route's requests to their complete responses.
#[derive(Debug)]
pub(super) struct RouteDurations {
    mean: MovingMean,
    slowest: HeldMaximum<Duration>,
}

impl Default for RouteDurations {
    fn default() -> RouteDurations {
        RouteDurations { mean: MovingMean::default(), slowest: HeldMaximum::new(SLOWEST_HOLD_TIME) }
    }
}

impl RouteDurations {
    pub(super) fn record(&mut self, duration: Duration, now: Instant) {
        self.mean.record(duration);
        self.slowest.record(duration, now);
    }

    /// `None` before the first request is complete.
    pub(super) fn mean(&self) -> Option<Duration> {
        self.mean.get()
    }

    /// The longest duration lately.
    pub(super) fn slowest(&self) -> Duration {
        self.slowest.value()
    }
}
