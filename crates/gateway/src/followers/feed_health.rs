use {
    super::record_feed::FeedError,
    crate::{
        clock::BootInstant,
        telemetry::{GatewayMetrics, ShownMs, event},
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
    /// Last time at which the log was known to its end, from the store or from a relay.
    known_at: Option<BootInstant>,
    failures: u32,
}

impl FeedHealth {
    pub(super) fn new(name: &'static str, metrics: Rc<GatewayMetrics>) -> FeedHealth {
        FeedHealth { name, metrics, known_at: None, failures: 0 }
    }

    /// Records that a relay confirmed the log up to this time.
    pub(super) fn confirmed_by_relay(&mut self, at: BootInstant) {
        self.known_at = self.known_at.max(Some(at));
    }

    /// Records a success. Returns for how long the log was not known, if calls had failed
    /// and it had been known before.
    pub(super) fn succeeded(&mut self) -> Option<Duration> {
        let now = BootInstant::now();
        self.metrics.feed_called(self.name, "ok");
        let failures = std::mem::take(&mut self.failures);
        let last = self.known_at.replace(now);
        if failures == 0 {
            return None;
        }
        let away = last.map(|at| now.saturating_duration_since(at));
        let shown = ShownMs(away);
        event!("store_regained", "feed={} failures={failures} away_ms={shown}", self.name);
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
