use std::time::{Duration, Instant};

// Stands for waits too long for a Duration.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// Engine time in milliseconds. It runs slower than real time by the time
/// scale and the slow-down factor, so a change of the factor also applies to
/// work in progress.
pub(crate) struct EngineClock {
    time_scale: f64,
    slowdown: f64,
    base: Instant,
    base_ms: f64,
}

impl EngineClock {
    pub(crate) fn new(time_scale: f64) -> Self {
        Self { time_scale, slowdown: 1.0, base: Instant::now(), base_ms: 0.0 }
    }

    pub(crate) fn set_slowdown(&mut self, factor: f64, now: Instant) {
        self.base_ms = self.at(now);
        self.base = now;
        self.slowdown = factor;
    }

    pub(crate) fn at(&self, now: Instant) -> f64 {
        let elapsed = now.duration_since(self.base).as_secs_f64() * 1e3;
        self.base_ms + elapsed / (self.time_scale * self.slowdown)
    }

    /// Instant of an engine time.
    pub(crate) fn instant(&self, at_ms: f64) -> Instant {
        let real_ms = (at_ms - self.base_ms).max(0.0) * self.time_scale * self.slowdown;
        let wait = Duration::try_from_secs_f64(real_ms / 1e3).unwrap_or(MAX_WAIT);
        self.base + wait
    }

    /// Real time of a span of engine time.
    pub(crate) fn real(&self, span_ms: f64) -> Duration {
        let real_ms = span_ms.max(0.0) * self.time_scale * self.slowdown;
        Duration::try_from_secs_f64(real_ms / 1e3).unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }
}
