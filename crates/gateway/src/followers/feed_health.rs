use {
    super::record_feed::FeedError,
    crate::{
        clock::BootInstant,
        telemetry::{GatewayMetrics, event},
    },
    rand::RngExt,
    std::{rc::Rc, time::Duration},
};

/// First pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause after failed calls in a row; short enough to be back within
/// a second of the store's return.
const MAX_BACKOFF: Duration = Duration::from_millis(700);

/// Tracks whether the store answers a follower, and logs when that changes.
pub(super) struct FeedHealth {
    name: &'static str,
    metrics: Rc<GatewayMetrics>,
    last_success: Option<BootInstant>,
    failures: u32,
}

impl FeedHealth {
    pub(super) fn new(name: &'static str, metrics: Rc<GatewayMetrics>) -> FeedHealth {
        FeedHealth { name, metrics, last_success: None, failures: 0 }
    }

    /// Records a success. Returns how long the store was away, if calls had failed and
    /// the store had answered before.
    pub(super) fn succeeded(&mut self) -> Option<Duration> {
        let now = BootInstant::now();
        self.metrics.feed_called(self.name, "ok");
        let failures = std::mem::take(&mut self.failures);
        let last = self.last_success.replace(now);
        if failures == 0 {
            return None;
        }
        let away = last.map(|at| now.saturating_duration_since(at));
        let away_ms = away.map(|away| away.as_millis());
        event!("store_regained", "feed={} failures={failures} away_ms={away_ms:?}", self.name);
        away
    }

    /// Records a failure. Returns the pause before the next call.
    pub(super) fn failed(&mut self, error: &FeedError) -> Duration {
        self.metrics.feed_called(self.name, "error");
        if self.failures == 0 {
            event!("store_lost", "feed={} reason={:?}", self.name, error.to_string());
        }
        self.failures += 1;
        let pause = MIN_BACKOFF.saturating_mul(1 << (self.failures - 1).min(4)).min(MAX_BACKOFF);
        pause.mul_f64(rand::rng().random_range(0.6..1.0))
    }

    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }
}
