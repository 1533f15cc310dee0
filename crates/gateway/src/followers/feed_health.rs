use {
    super::record_feed::FeedError,
    crate::{
        clock::BootInstant,
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
    /// Last time at which the store answered or a relay confirmed the log.
    confirmed_at: Option<BootInstant>,
    /// Consecutive failed calls.
    failures: u32,
}

impl FeedHealth {
    pub(super) fn new(name: &'static str, metrics: Rc<GatewayMetrics>) -> FeedHealth {
        FeedHealth { name, metrics, confirmed_at: None, failures: 0 }
    }

    /// Records that a relay confirmed the log up to this time.
    pub(super) fn record_relay_confirmation(&mut self, at: BootInstant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records a successful call. After failed calls, returns the time since the store last
    /// answered or a relay last confirmed the log, if either happened before.
    pub(super) fn record_success(&mut self) -> Option<Duration> {
        let now = BootInstant::now();
        self.metrics.count_store_call(self.name, "ok");
        let failures = std::mem::take(&mut self.failures);
        let last = self.confirmed_at.replace(now);
        if failures == 0 {
            return None;
        }
        let outage = last.map(|at| now.saturating_duration_since(at));
        let shown_outage = OptionalMillis(outage);
        event!("store_regained", "feed={} failures={failures} away_ms={shown_outage}", self.name);
        outage
    }

    /// Records a failed call. Returns the pause before the next call.
    pub(super) fn record_failure(&mut self, error: &FeedError) -> Duration {
        self.metrics.count_store_call(self.name, "error");
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
