use {
    super::{
        endpoint_record::{EndpointRecord, EndpointState},
        health::Health,
        idle_connection::IdleConnection,
        load_estimate::LoadEstimate,
    },
    crate::peers::endpoint_hash,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// How long other endpoints may hold what a new one is to cache.
const RECENTLY_ADDED: Duration = Duration::from_secs(30);
/// Idle connections kept to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// An endpoint with what this process knows of it.
pub(crate) struct Endpoint {
    pub(crate) record: RefCell<EndpointRecord>,
    /// Name of the endpoint between hosts.
    pub(crate) hash: u32,
    pub(crate) health: Cell<Health>,
    pub(crate) load: Cell<LoadEstimate>,
    in_flight: Cell<u32>,
    is_leaving: Cell<bool>,
    /// When the endpoint joined; None if it was in the first listing.
    joined_at: Option<Instant>,
    idle: RefCell<Vec<IdleConnection>>,
}

impl Endpoint {
    pub(crate) fn new(record: EndpointRecord, joined_at: Option<Instant>) -> Endpoint {
        let is_leaving = record.state == EndpointState::Draining;
        Endpoint {
            hash: endpoint_hash(&record.id),
            record: RefCell::new(record),
            health: Cell::default(),
            load: Cell::default(),
            in_flight: Cell::new(0),
            is_leaving: Cell::new(is_leaving),
            joined_at,
            idle: RefCell::default(),
        }
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Takes no new work: it drains or is gone.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    pub(crate) fn is_recently_added(&self, now: Instant) -> bool {
        self.joined_at.is_some_and(|at| now.saturating_duration_since(at) < RECENTLY_ADDED)
    }

    pub(crate) fn set_leaving(&self) {
        self.is_leaving.set(true);
        self.idle.borrow_mut().clear();
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn start_request(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(self.clone())
    }

    /// Takes the connection that was idle for the shortest time, if it is usable and was
    /// not idle for longer than `max_idle`.
    pub(crate) fn take_idle(
        &self,
        max_idle: Option<Duration>,
        now: Instant,
    ) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
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

    pub(crate) fn put_idle(&self, connection: IdleConnection) {
        let mut idle = self.idle.borrow_mut();
        if !self.is_leaving() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    pub(crate) fn idle_count(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Closes idle connections that the endpoint has closed or soon will.
    pub(crate) fn prune_idle(&self, now: Instant) {
        self.idle.borrow_mut().retain(|connection| connection.is_usable(now));
    }

    pub(crate) fn update_health(&self, update: impl FnOnce(&mut Health)) {
        let mut health = self.health.get();
        update(&mut health);
        self.health.set(health);
    }
}

/// Counts one request of an endpoint while it lives.
pub(crate) struct InFlight(Rc<Endpoint>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
