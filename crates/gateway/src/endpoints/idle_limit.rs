//! Limits how long a connection to an endpoint may have been idle before it is reused.
//!
//! Load pattern: endpoints drop connections that were idle for a few hundred milliseconds,
//! without closing them. The next request on such a connection is reset: a request that must
//! not run twice is then lost, and the retries of the others use up the retry budget.
//!
//! A broken connection shows only that endpoints drop connections at its idle time or sooner.
//! Requests that must not run twice therefore reuse a connection only if a longer idle time has
//! worked since then; the others find that time out.

use std::time::{Duration, Instant};

/// Connections that break after a shorter idle time set no limit, since the idle time is not
/// the likely cause.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);
/// The limit, as a share of the idle time after which a connection broke.
const LIMIT_SHARE: f64 = 0.5;
/// How long after the last broken connection the limit applies to requests that may run again.
/// After that, these requests test whether endpoints still drop idle connections.
const RERUNNABLE_LIMIT_LIFETIME: Duration = Duration::from_secs(5);
/// How long after the last broken connection the limit applies to requests that must not run
/// twice.
const RUN_ONCE_LIMIT_LIFETIME: Duration = Duration::from_secs(10);

/// Longest idle time after which connections to the endpoints of a service are reused, from
/// the broken connections that this process has observed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IdleLimit {
    observed: Option<ObservedLimit>,
    /// Longest idle time after which a connection still worked, since the last one that broke.
    longest_working: Duration,
}

/// A limit and the time of the last broken connection that it was set from.
#[derive(Clone, Copy, Debug)]
struct ObservedLimit {
    max_idle: Duration,
    observed_at: Instant,
}

impl IdleLimit {
    /// Records that a connection broke when it was reused after the given idle time.
    pub(crate) fn record_broken_connection(&mut self, idle_time: Duration, now: Instant) {
        if idle_time < MIN_IDLE_TIME {
            return;
        }
        let limit = idle_time.mul_f64(LIMIT_SHARE);
        let max_idle = match self.observed {
            Some(observed) if observed.is_within(RUN_ONCE_LIMIT_LIFETIME, now) => {
                observed.max_idle.min(limit)
            }
            _ => limit,
        };
        self.observed =
            Some(ObservedLimit { max_idle: max_idle.max(MIN_IDLE_TIME / 2), observed_at: now });
        self.longest_working = Duration::ZERO;
    }

    /// Records that a connection worked when it was reused after the given idle time.
    pub(crate) fn record_working_connection(&mut self, idle_time: Duration) {
        self.longest_working = self.longest_working.max(idle_time);
    }

    /// Longest idle time of a connection that may carry a request; `None` if there is no limit.
    pub(crate) fn max_idle(&self, may_rerun: bool, now: Instant) -> Option<Duration> {
        let lifetime = if may_rerun { RERUNNABLE_LIMIT_LIFETIME } else { RUN_ONCE_LIMIT_LIFETIME };
        let observed = self.observed.filter(|observed| observed.is_within(lifetime, now))?;
        let working = self.longest_working.max(MIN_IDLE_TIME / 2);
        Some(if may_rerun { observed.max_idle } else { observed.max_idle.min(working) })
    }
}

impl ObservedLimit {
    /// Whether the limit was observed less than `lifetime` ago.
    fn is_within(&self, lifetime: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.observed_at) < lifetime
    }
}
