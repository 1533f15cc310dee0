//! Limits the requests that a host sends to an endpoint that has just started.
//!
//! Load pattern: endpoints start empty while the others are full, or all endpoints of a zone return
//! at once. Every router then prefers them, and the sum of all routers crashes them again. A cold
//! endpoint bears a number of requests a second from all hosts together. The hosts divide it without
//! coordination: each may send one request in every so many seconds, at times that are spread by the
//! hosts' places in the order of their IDs. What a host does not use it cannot use later, so that
//! hosts that were idle do not all send at once.

use std::time::{Duration, Instant};

/// Fraction of the fleet's limit that the hosts use on average. They learn at different times that an
/// endpoint is cold, so more of them meet in some seconds.
const USED_FRACTION: f64 = 0.61;
/// How long a host may use a turn.
const TURN_TIME: Duration = Duration::from_millis(300);
/// A host whose process is younger than this may have sent requests before it restarted, and sends
/// none.
const MIN_PROCESS_AGE: Duration = Duration::from_secs(5);

/// The limit of the whole fleet for one cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ColdLimit {
    /// Requests per second of the whole fleet; `None` if there is no limit.
    pub(crate) requests_per_s: Option<f64>,
    /// Hosts among which the limit is divided; `None` if unknown.
    pub(crate) hosts: Option<u32>,
    /// Place of this host in the order of the hosts' IDs, from 0 to 1.
    pub(crate) host_place: f64,
    /// Time since the start of this process.
    pub(crate) process_age: Duration,
}

/// Whether an endpoint is cold, and the requests that this host sent to it since then.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowStart {
    cold: Option<Cold>,
}

#[derive(Clone, Copy, Debug)]
struct Cold {
    since: Instant,
    until: Instant,
    last_send_at: Option<Instant>,
}

impl SlowStart {
    /// Records that the endpoint is cold until a time.
    pub(crate) fn record_cold(&mut self, until: Instant, now: Instant) {
        match self.cold.as_mut().filter(|cold| now < cold.until) {
            Some(cold) => cold.until = cold.until.max(until),
            None if until > now => {
                self.cold = Some(Cold { since: now, until, last_send_at: None });
            }
            None => {}
        }
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.cold.is_some_and(|cold| now < cold.until)
    }

    /// Whether this host may send a request to the endpoint now. `endpoint_phase`, from 0 to 1,
    /// differs between endpoints, so that the same hosts are not first at all of them.
    pub(crate) fn may_send(&self, limit: &ColdLimit, endpoint_phase: f64, now: Instant) -> bool {
        let Some(cold) = self.cold.filter(|cold| now < cold.until) else { return true };
        let Some(requests_per_s) = limit.requests_per_s else { return true };
        let Some(hosts) = limit.hosts.filter(|_| limit.process_age >= MIN_PROCESS_AGE) else {
            return false;
        };
        let rate_per_s = requests_per_s * USED_FRACTION / f64::from(hosts.max(1));
        if rate_per_s <= 0.0 {
            return false;
        }
        let elapsed = now.saturating_duration_since(cold.since).as_secs_f64();
        let turns = elapsed * rate_per_s + (limit.host_place + endpoint_phase).fract();
        let turn_began_at =
            now.checked_sub(Duration::from_secs_f64(turns.fract() / rate_per_s)).unwrap_or(now);
        let is_unused = cold.last_send_at.is_none_or(|at| at < turn_began_at);
        turns >= 1.0 && is_unused && now.saturating_duration_since(turn_began_at) <= TURN_TIME
    }

    /// Records that this host sends a request to the endpoint.
    pub(crate) fn record_send(&mut self, now: Instant) {
        if let Some(cold) = &mut self.cold {
            cold.last_send_at = Some(now);
        }
    }
}
