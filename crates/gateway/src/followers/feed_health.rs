use {
    crate::{
        records::FeedError,
        telemetry::{GatewayMetrics, OptionalMillis, event},
    },
    rand::RngExt,
    std::{rc::Rc, time::Duration},
};

/// First pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause after consecutive failed calls; short enough to read the log again
/// within a second of the store's recovery.
const MAX_BACKOFF: Duration = Duration::from_millis(700);

/// Tracks whether the store answers a follower's calls, and logs when that changes.
pub(super) struct FeedHealth {
    name: &'static str,
    metrics: Rc<GatewayMetrics>,
    /// Consecutive failed calls.
    failures: u32,
    /// Whether a call failed since the last success or the last confirmation by a relay.
    has_failed: bool,
}

impl FeedHealth {
    pub(super) fn new(name: &'static str, metrics: Rc<GatewayMetrics>) -> FeedHealth {
        FeedHealth { name, metrics, failures: 0, has_failed: false }
    }

    pub(super) fn record_relay_confirmation(&mut self) {
        self.has_failed = false;
    }

    /// Records a successful call; `away` is the time since the log was last confirmed. Returns
    /// whether calls failed since then.
    pub(super) fn record_success(&mut self, away: Option<Duration>) -> bool {
        self.metrics.count_store_call(self.name, "ok");
        let failures = std::mem::take(&mut self.failures);
        if failures > 0 {
            let away = OptionalMillis(away);
            event!("store_regained", "feed={} failures={failures} away_ms={away}", self.name);
        }
        std::mem::take(&mut self.has_failed)
    }

    /// Records a failed call. Returns the pause before the next call.
    pub(super) fn record_failure(&mut self, error: &FeedError) -> Duration {
        self.metrics.count_store_call(self.name, "error");
        if self.failures == 0 {
            event!("store_lost", "feed={} reason={:?}", self.name, error.to_string());
        }
        self.failures += 1;
        self.has_failed = true;
        let pause = MIN_BACKOFF.saturating_mul(1 << (self.failures - 1).min(4)).min(MAX_BACKOFF);
        pause.mul_f64(rand::rng().random_range(0.6..1.0))
    }

    /// Whether the last call failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Whether a call failed since the last success or the last confirmation by a relay.
    pub(super) fn has_failed(&self) -> bool {
        self.has_failed
    }
}
