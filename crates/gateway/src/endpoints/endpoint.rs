use {
    super::{
        endpoint_record::{EndpointRecord, EndpointState},
        health::Health,
        idle_connection::IdleConnection,
        load_estimate::LoadEstimate,
        overdue::{OverdueGuard, overdue_share},
        slow_start::{ColdLimit, SlowStart},
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// How long an endpoint counts as recently added. During this time, other endpoints may still
/// hold the cached prefixes that now rank it first.
const RECENTLY_ADDED_TIME: Duration = Duration::from_secs(30);
/// Most idle connections that are kept to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// An endpoint: its last record, and its state as this process has observed it.
pub(crate) struct Endpoint {
    pub(crate) record: RefCell<EndpointRecord>,
    /// Hash of the ID, which identifies the endpoint in messages between hosts.
    pub(crate) hash: u32,
    pub(crate) health: Cell<Health>,
    pub(crate) load: Cell<LoadEstimate>,
    slow_start: Cell<SlowStart>,
    in_flight: Cell<u32>,
    /// Requests of this process that wait here for much longer than usual.
    pub(super) overdue: Cell<u32>,
    is_leaving: Cell<bool>,
    /// When the endpoint was added; `None` if it was in the first listing.
    added_at: Option<Instant>,
    /// In the order in which they became idle.
    idle_connections: RefCell<Vec<IdleConnection>>,
}

impl Endpoint {
    pub(crate) fn new(record: EndpointRecord, added_at: Option<Instant>) -> Endpoint {
        let is_leaving = record.state == EndpointState::Draining;
        let cold_time = Duration::from_millis(record.cold_ms);
        let endpoint = Endpoint {
            hash: endpoint_hash(&record.id),
            record: RefCell::new(record),
            health: Cell::default(),
            load: Cell::default(),
            slow_start: Cell::default(),
            in_flight: Cell::new(0),
            overdue: Cell::new(0),
            is_leaving: Cell::new(is_leaving),
            added_at,
            idle_connections: RefCell::default(),
        };
        endpoint.record_cold(cold_time, Instant::now());
        endpoint
    }

    /// Requests of this process at the endpoint.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Whether the endpoint accepts no new requests, since it is draining or gone.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    pub(crate) fn is_recently_added(&self, now: Instant) -> bool {
        self.added_at.is_some_and(|at| now.saturating_duration_since(at) < RECENTLY_ADDED_TIME)
    }

    /// Stops new requests to the endpoint and closes its idle connections.
    pub(crate) fn set_leaving(&self) {
        self.is_leaving.set(true);
        self.idle_connections.borrow_mut().clear();
    }

    /// Records that the endpoint is, or may be, cold for this time.
    pub(crate) fn record_cold(&self, time: Duration, now: Instant) {
        let mut slow_start = self.slow_start.get();
        slow_start.record_cold(now + time, now);
        self.slow_start.set(slow_start);
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.slow_start.get().is_cold(now)
    }

    /// Whether this host may send a request to the endpoint although it may be cold.
    pub(crate) fn may_send(&self, limit: &ColdLimit, now: Instant) -> bool {
        let phase = f64::from(self.hash) / f64::from(u32::MAX);
        self.slow_start.get().may_send(limit, phase, now)
    }

    /// Records that this host sends a request to the endpoint.
    pub(crate) fn record_send(&self, now: Instant) {
        let mut slow_start = self.slow_start.get();
        slow_start.record_send(now);
        self.slow_start.set(slow_start);
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn start_request(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard(self.clone())
    }

    /// Counts a request in flight as overdue until the guard is dropped.
    pub(crate) fn start_overdue(self: &Rc<Self>) -> OverdueGuard {
        OverdueGuard::new(self.clone())
    }

    /// Share of recent requests that failed, and of those in flight that are overdue.
    pub(crate) fn failure_share(&self, now: Instant) -> f64 {
        let failed = self.health.get().failure_share(now);
        let overdue = overdue_share(self.overdue.get(), self.in_flight());
        failed + overdue - failed * overdue
    }

    /// Takes the usable connection that was idle for the shortest time, unless that is longer
    /// than `max_idle`.
    pub(crate) fn take_idle_connection(
        &self,
        max_idle: Option<Duration>,
        now: Instant,
    ) -> Option<IdleConnection> {
        let mut idle = self.idle_connections.borrow_mut();
        while let Some(connection) = idle.pop() {
            if max_idle.is_some_and(|max_idle| connection.idle_time(now) > max_idle) {
                idle.push(connection);
                return None;
            }
            if connection.is_usable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for another request, unless the endpoint is leaving or enough are kept.
    pub(crate) fn put_idle_connection(&self, connection: IdleConnection) {
        let mut idle = self.idle_connections.borrow_mut();
        if !self.is_leaving() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Whether any idle connection is still open, which shows that the endpoint runs.
    pub(crate) fn has_open_idle_connection(&self) -> bool {
        self.idle_connections.borrow().iter().any(|idle| idle.connection.is_reusable())
    }

    pub(crate) fn idle_connection_count(&self) -> usize {
        self.idle_connections.borrow().len()
    }

    /// Closes idle connections that the endpoint has closed or is about to close.
    pub(crate) fn prune_idle_connections(&self, now: Instant) {
        self.idle_connections.borrow_mut().retain(|connection| connection.is_usable(now));
    }

    pub(crate) fn update_health(&self, update: impl FnOnce(&mut Health)) {
        let mut health = self.health.get();
        update(&mut health);
        self.health.set(health);
    }
}

/// The hash that identifies an endpoint in messages between hosts.
fn endpoint_hash(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}

/// Counts one request as in flight at an endpoint until it is dropped.
pub(crate) struct InFlightGuard(Rc<Endpoint>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
