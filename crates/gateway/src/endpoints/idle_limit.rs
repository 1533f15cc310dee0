//! Decides how long a connection to an endpoint may have been idle before it is used again.
//!
//! Load pattern: endpoints forget connections after some hundred idle milliseconds
//! without closing them. What is sent next is reset, so a request that must not run twice
//! is lost, and the repeats of the others use up the retry budget.

use std::time::{Duration, Instant};

/// Breaks after a shorter idle time say nothing about it.
const MIN_IDLE: Duration = Duration::from_millis(100);
/// Part of the idle time after which a connection was broken that is still trusted.
const TRUSTED_SHARE: f64 = 0.5;
/// How long after the last break the limit binds requests that may run again. They then
/// find out whether it still holds.
const RERUNNABLE_LIFETIME: Duration = Duration::from_secs(5);
/// How long after the last break the limit binds requests that must not run twice.
const ONCE_LIFETIME: Duration = Duration::from_secs(10);

/// Longest idle time that connections to the endpoints of a service survive, as far as this
/// process has seen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IdleLimit {
    found: Option<Found>,
}

#[derive(Clone, Copy, Debug)]
struct Found {
    max_idle: Duration,
    found_at: Instant,
}

impl IdleLimit {
    /// Records that a connection was found broken when it was used after an idle time.
    pub(crate) fn record_break(&mut self, idle_time: Duration, now: Instant) {
        if idle_time < MIN_IDLE {
            return;
        }
        let trusted = idle_time.mul_f64(TRUSTED_SHARE);
        let max_idle = match self.found {
            Some(found) if found.is_within(ONCE_LIFETIME, now) => found.max_idle.min(trusted),
            _ => trusted,
        };
        self.found = Some(Found { max_idle: max_idle.max(MIN_IDLE / 2), found_at: now });
    }

    /// Longest idle time of a connection that may carry a request; None: any.
    pub(crate) fn max_idle(&self, may_rerun: bool, now: Instant) -> Option<Duration> {
        let lifetime = if may_rerun { RERUNNABLE_LIFETIME } else { ONCE_LIFETIME };
        self.found.filter(|found| found.is_within(lifetime, now)).map(|found| found.max_idle)
    }
}

impl Found {
    fn is_within(&self, lifetime: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.found_at) < lifetime
    }
}
