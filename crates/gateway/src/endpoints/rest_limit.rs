//! Decides how long a connection to an endpoint may have rested before it is used again.
//!
//! Load pattern: endpoints forget connections that rested for some hundred milliseconds
//! without closing them. What is sent next is reset, so a request that must not run twice
//! is lost, and the repeats of the others use up the retry budget.

use std::time::{Duration, Instant};

/// Breaks after a shorter rest say nothing about rests.
const MIN_REST: Duration = Duration::from_millis(100);
/// Part of the rest after which a connection was broken that is still trusted.
const TRUSTED_SHARE: f64 = 0.5;
/// How long after the last break the limit binds requests that may run again. They then
/// find out whether it still holds.
const RERUNNABLE_LIFETIME: Duration = Duration::from_secs(5);
/// How long after the last break the limit binds requests that must not run twice.
const ONCE_LIFETIME: Duration = Duration::from_secs(10);

/// Longest rest that connections to the endpoints of a service survive, as far as this
/// process has seen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RestLimit {
    found: Option<Found>,
}

#[derive(Clone, Copy, Debug)]
struct Found {
    max_rest: Duration,
    found_at: Instant,
}

impl RestLimit {
    /// Records that a connection was found broken when it was used after a rest.
    pub(crate) fn record_break(&mut self, rest: Duration, now: Instant) {
        if rest < MIN_REST {
            return;
        }
        let trusted = rest.mul_f64(TRUSTED_SHARE);
        let max_rest = match self.found {
            Some(found) if found.is_within(ONCE_LIFETIME, now) => found.max_rest.min(trusted),
            _ => trusted,
        };
        self.found = Some(Found { max_rest: max_rest.max(MIN_REST / 2), found_at: now });
    }

    /// Longest rest of a connection that may carry a request; None: any.
    pub(crate) fn max_rest(&self, may_rerun: bool, now: Instant) -> Option<Duration> {
        let lifetime = if may_rerun { RERUNNABLE_LIFETIME } else { ONCE_LIFETIME };
        self.found.filter(|found| found.is_within(lifetime, now)).map(|found| found.max_rest)
    }
}

impl Found {
    fn is_within(&self, lifetime: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.found_at) < lifetime
    }
}
