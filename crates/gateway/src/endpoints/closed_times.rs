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

/// Endpoints that want no requests, by ID. A new start of an endpoint ends its time.
#[derive(Debug, Default)]
pub(super) struct ClosedTimes {
    by_id: HashMap<EndpointId, ClosedTime>,
}

#[derive(Debug)]
struct ClosedTime {
    /// Start of the process that asked for it, in Unix milliseconds.
    started_at_unix_ms: u64,
    until: Instant,
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
        self.by_id.retain(|_, closed| now < closed.until);
        let time = time.min(MAX_CLOSED_TIME);
        let added = time.mul_f64(rand::rng().random_range(0.0..MAX_ADDED_FRACTION));
        let until = now + time + added.min(MAX_ADDED_TIME);
        let known = self.until(endpoint, now);
        let until = known.map_or(until, |known| known.max(until));
        let closed = ClosedTime { started_at_unix_ms: endpoint.started_at_unix_ms, until };
        self.by_id.insert(endpoint.id.clone(), closed);
        until
    }

    /// Until when the endpoint wants no requests; `None` if it takes them.
    pub(super) fn until(&self, endpoint: &EndpointRecord, now: Instant) -> Option<Instant> {
        let closed = self.by_id.get(&endpoint.id)?;
        let is_closed =
            now < closed.until && endpoint.started_at_unix_ms <= closed.started_at_unix_ms;
        is_closed.then_some(closed.until)
    }
}
