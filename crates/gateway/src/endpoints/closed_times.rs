//! Until when endpoints want no requests from this host.
//!
//! Load pattern: a service with few endpoints is overloaded, and each of them turns requests away for
//! a while. Hosts that all came back when that time ends would turn the return into the next
//! overload, so each host adds a random part of the time.

use {
    super::endpoint_record::{EndpointId, EndpointRecord},
    rand::RngExt,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Longest time for which an endpoint can close itself to this host.
const MAX_CLOSED_TIME: Duration = Duration::from_secs(3_600);
/// Largest part of the time that a host adds.
const MAX_ADDED_FRACTION: f64 = 0.25;
/// Longest time that a host adds.
const MAX_ADDED_TIME: Duration = Duration::from_secs(1);

/// Shortest and longest time over which refused callers come back after the endpoints.
const MIN_RETURN_SPREAD: Duration = Duration::from_millis(500);
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(5);

/// A time in which an endpoint wants no requests from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClosedTime {
    pub(crate) since: Instant,
    pub(crate) until: Instant,
}

impl ClosedTime {
    /// When a caller that is refused now is to come back: some time after the endpoint, since the
    /// callers of the whole time come back together. They spread over as long a time.
    pub(crate) fn caller_retry_after(&self, now: Instant) -> Duration {
        let spread = self.until.saturating_duration_since(self.since);
        let spread = spread.clamp(MIN_RETURN_SPREAD, MAX_RETURN_SPREAD);
        let left = self.until.saturating_duration_since(now);
        left + spread.mul_f64(rand::rng().random())
    }
}

/// Endpoints that want no requests, by ID. A new start of an endpoint ends its time.
#[derive(Debug, Default)]
pub(super) struct ClosedTimes {
    by_id: HashMap<EndpointId, ClosedProcess>,
}

/// A process that wants no requests, by its start in Unix milliseconds.
#[derive(Debug)]
struct ClosedProcess {
    started_at_unix_ms: u64,
    time: ClosedTime,
}

impl ClosedTimes {
    /// Records that an endpoint wants no requests for this time. Returns the end of the time, with
    /// what this host adds.
    pub(super) fn record(
        &mut self,
        endpoint: &EndpointRecord,
        time: Duration,
        now: Instant,
    ) -> Instant {
        self.by_id.retain(|_, closed| now < closed.time.until);
        let time = time.min(MAX_CLOSED_TIME);
        let added = time.mul_f64(rand::rng().random_range(0.0..MAX_ADDED_FRACTION));
        let until = now + time + added.min(MAX_ADDED_TIME);
        let time = self.get(endpoint, now).map_or(ClosedTime { since: now, until }, |known| {
            ClosedTime { until: known.until.max(until), ..known }
        });
        let started_at_unix_ms = endpoint.started_at_unix_ms;
        self.by_id.insert(endpoint.id.clone(), ClosedProcess { started_at_unix_ms, time });
        time.until
    }

    /// The time in which the endpoint wants no requests; `None` if it takes them.
    pub(super) fn get(&self, endpoint: &EndpointRecord, now: Instant) -> Option<ClosedTime> {
        let closed = self.by_id.get(&endpoint.id)?;
        let is_closed =
            now < closed.time.until && endpoint.started_at_unix_ms <= closed.started_at_unix_ms;
        is_closed.then_some(closed.time)
    }
}
