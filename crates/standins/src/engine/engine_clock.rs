use std::time::{Duration, Instant};

// Limit of `real_duration`, and the value for waits that overflow `Duration`.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Clock of the engine time in milliseconds. It runs at the rate of real time divided by
/// the time scale and the slow-down factor. Work is planned in engine time, so that a
/// change of the factor also applies to work in progress.
pub(crate) struct EngineClock {
    time_scale: f64,
    slowdown: f64,
    // time of the last change of the slow-down factor, in real time and in engine time
    base: Instant,
    base_ms: f64,
}

impl EngineClock {
    pub(crate) fn new(time_scale: f64) -> Self {
        Self { time_scale, slowdown: 1.0, base: Instant::now(), base_ms: 0.0 }
    }

    pub(crate) fn set_slowdown(&mut self, factor: f64, now: Instant) {
        self.base_ms = self.time_ms(now);
        self.base = now;
        self.slowdown = factor;
    }

    /// Engine time at an instant.
    pub(crate) fn time_ms(&self, now: Instant) -> f64 {
        let elapsed = now.duration_since(self.base).as_secs_f64() * 1e3;
        self.base_ms + elapsed / (self.time_scale * self.slowdown)
    }

    /// Instant at which the engine time is `at_ms`.
    pub(crate) fn instant(&self, at_ms: f64) -> Instant {
        let real_ms = (at_ms - self.base_ms).max(0.0) * self.time_scale * self.slowdown;
        let wait = Duration::try_from_secs_f64(real_ms / 1e3).unwrap_or(MAX_WAIT);
        self.base + wait
    }

    /// Real duration of a span of engine time, at most `MAX_WAIT`.
    pub(crate) fn real_duration(&self, span_ms: f64) -> Duration {
        let real_ms = span_ms.max(0.0) * self.time_scale * self.slowdown;
        Duration::try_from_secs_f64(real_ms / 1e3).unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }
}
