//! Limits the requests that a host has in progress at the endpoints of a service.
//!
//! Load pattern: many hosts send to few slots, and each knows the requests of the others only as
//! they were a few hundred milliseconds ago. Without a limit, endpoints reject a large share of
//! the requests, and engines begin more than they can finish before the deadlines: each further
//! request slows down all others. Each host always has its equal part of the capacity. It uses
//! more only while the service as a whole has capacity to spare.
//!
//! How many requests an endpoint can run well depends on its memory and on the prompts, so the
//! capacity is learned: it decreases while responses begin late, and increases again while they
//! begin in time.

/// Most requests that endpoints have in progress, as a multiple of their slots. A part of them
/// is on its way or queued, so that no slot is idle for want of a request.
const MAX_PER_SLOT: f64 = 1.5;
/// Fewest requests that endpoints have in progress, as a multiple of their slots.
const MIN_PER_SLOT: f64 = 0.4;
/// Factor by which a response that begins after its target latency lowers the capacity.
const DECREASE: f64 = 0.96;
/// Requests per slot by which a response that begins in time raises the capacity.
const INCREASE: f64 = 0.02;
/// Share of the capacity up to which any host may start requests beyond its equal part.
const FREE_SHARE: f64 = 0.5;

/// The requests in progress at a service and its slots, as this host knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ServiceLoad {
    /// Slots of the endpoints that accept requests; 0 if unknown.
    pub(crate) slots: u32,
    /// Requests of the other hosts; `None` if unknown.
    pub(crate) other_requests: Option<u32>,
    /// Hosts of the fleet, including this one; 0 if unknown.
    pub(crate) fleet_hosts: u32,
}

/// Limit that is learned from when responses begin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyLimit {
    requests_per_slot: f64,
}

impl Default for ConcurrencyLimit {
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit { requests_per_slot: MAX_PER_SLOT }
    }
}

impl ConcurrencyLimit {
    /// Records whether a response began later than its target latency after its request was sent.
    pub(crate) fn record_start(&mut self, is_late: bool) {
        let changed = match is_late {
            true => self.requests_per_slot * DECREASE,
            false => self.requests_per_slot + INCREASE,
        };
        self.requests_per_slot = changed.clamp(MIN_PER_SLOT, MAX_PER_SLOT);
    }

    pub(crate) fn requests_per_slot(&self) -> f64 {
        self.requests_per_slot
    }

    /// Whether a host with `own_requests` in progress may start another one. Without slots there
    /// is no limit. While the requests or the number of the other hosts are unknown, the whole
    /// capacity is the limit of this host.
    pub(crate) fn may_start(&self, load: &ServiceLoad, own_requests: u32) -> bool {
        let own = f64::from(own_requests);
        let capacity = f64::from(load.slots) * self.requests_per_slot;
        if load.slots == 0 {
            return true;
        }
        let (Some(others), 1..) = (load.other_requests, load.fleet_hosts) else {
            return own < capacity;
        };
        let hosts = f64::from(load.fleet_hosts);
        let equal_part = (capacity / hosts).max(1.0);
        // as many as could start at once if each host started one
        let margin = hosts.min(capacity * (1.0 - FREE_SHARE));
        own < equal_part || own + f64::from(others) + margin <= capacity
    }
}
