use {
    super::{
        closed_times::{ClosedTime, ClosedTimes},
        departures::Departures,
        endpoint::Endpoint,
        endpoint_record::{EndpointId, EndpointRecord, EndpointState},
    },
    crate::telemetry::event,
    mango_wire::gossip::{Departure, EndpointLoad},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet, HashMap},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// The endpoints that the store lists, by ID.
#[derive(Default)]
pub(crate) struct Directory {
    by_id: RefCell<BTreeMap<EndpointId, Rc<Endpoint>>>,
    /// Removal times of endpoints whose record disappeared while the store was unreachable.
    removal_times: RefCell<HashMap<EndpointId, Instant>>,
    departures: RefCell<Departures>,
    closed_times: RefCell<ClosedTimes>,
    /// Whether a complete listing was applied.
    has_listing: Cell<bool>,
}

impl Directory {
    /// Adds an endpoint, or replaces its record.
    pub(crate) fn upsert(&self, record: EndpointRecord) {
        if self.removal_times.borrow_mut().remove(&record.id).is_some() {
            event!("endpoint_returned", "endpoint={} sequence={}", record.id, record.sequence);
        }
        let mut by_id = self.by_id.borrow_mut();
        let Some(existing) = by_id.get(&record.id) else {
            event!(
                "endpoint_added",
                "endpoint={} service={} address={} zone={} state={} sequence={}",
                record.id,
                record.service,
                record.address,
                record.zone,
                record.state,
                record.sequence
            );
            by_id.insert(record.id.clone(), self.new_endpoint(record));
            return;
        };
        let is_replaced = {
            let current = existing.record.borrow();
            record.is_restart_of(&current)
                || record.address != current.address
                || record.service != current.service
        };
        if is_replaced {
            event!(
                "endpoint_restarted",
                "endpoint={} service={} address={} state={} sequence={}",
                record.id,
                record.service,
                record.address,
                record.state,
                record.sequence
            );
            existing.set_leaving();
            by_id.insert(record.id.clone(), self.new_endpoint(record));
            return;
        }
        existing.record_cold(Duration::from_millis(record.cold_ms), Instant::now());
        if record.state == EndpointState::Draining && !existing.is_leaving() {
            event!(
                "endpoint_draining",
                "endpoint={} service={} sequence={}",
                record.id,
                record.service,
                record.sequence
            );
            existing.set_leaving();
        }
        existing.record.replace(record);
    }

    /// Removes an endpoint whose record is gone. If `keep_until` is set and the endpoint is
    /// not leaving, it stays in use until then, since its record may have expired only because
    /// the store was unreachable.
    pub(crate) fn remove(&self, id: &str, keep_until: Option<Instant>) {
        if let Some(until) = keep_until
            && let Some((id, endpoint)) = self.by_id.borrow().get_key_value(id)
            && !endpoint.is_leaving()
        {
            self.removal_times.borrow_mut().entry(id.clone()).or_insert_with(|| {
                let kept_ms = until.saturating_duration_since(Instant::now()).as_millis();
                event!("endpoint_missing", "endpoint={id} kept_ms={kept_ms}");
                until
            });
            return;
        }
        self.removal_times.borrow_mut().remove(id);
        let Some(endpoint) = self.by_id.borrow_mut().remove(id) else { return };
        event!("endpoint_gone", "endpoint={id} service={}", endpoint.record.borrow().service);
        endpoint.set_leaving();
    }

    /// Replaces the contents of the directory with a complete listing. Endpoints that are not
    /// listed are removed as by `remove`.
    pub(crate) fn replace_all(&self, records: Vec<EndpointRecord>, keep_until: Option<Instant>) {
        let gone: Vec<EndpointId> = self
            .by_id
            .borrow()
            .keys()
            .filter(|id| !records.iter().any(|record| record.id == **id))
            .cloned()
            .collect();
        for id in gone {
            self.remove(&id, keep_until);
        }
        for record in records {
            self.upsert(record);
        }
        self.has_listing.set(true);
    }

    /// Keeps endpoints whose record is gone until this time at least.
    pub(crate) fn postpone_removals(&self, until: Instant) {
        for removed_at in self.removal_times.borrow_mut().values_mut() {
            *removed_at = until.max(*removed_at);
        }
    }

    /// Removes idle connections that are no longer usable.
    pub(crate) fn prune_idle_connections(&self, now: Instant) {
        for endpoint in self.by_id.borrow().values() {
            endpoint.prune_idle_connections(now);
        }
    }

    /// Removes endpoints whose removal time has passed, and idle connections that are no
    /// longer usable. Returns the next removal time.
    pub(crate) fn expire(&self, now: Instant) -> Option<Instant> {
        let expired: Vec<EndpointId> = self
            .removal_times
            .borrow()
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.remove(&id, None);
        }
        self.prune_idle_connections(now);
        self.removal_times.borrow().values().min().copied()
    }

    /// Records that an endpoint has said in an answer that it is about to stop. Whatever its records
    /// say, it gets no more requests until a later start. Returns the departure if it was not known.
    pub(crate) fn record_departure(&self, endpoint: &Endpoint) -> Option<Departure> {
        let is_new = self.set_departed(endpoint, "answer");
        let started_at_ms = endpoint.record.borrow().started_at_unix_ms;
        is_new.then_some(Departure { endpoint: endpoint.hash, started_at_ms })
    }

    /// The same for an endpoint that has told another host. Returns whether that was not known; a
    /// report on another start than the known one is ignored.
    pub(crate) fn record_reported_departure(&self, departure: &Departure) -> bool {
        let by_id = self.by_id.borrow();
        let endpoint = by_id.values().find(|endpoint| {
            endpoint.hash == departure.endpoint
                && endpoint.record.borrow().started_at_unix_ms == departure.started_at_ms
        });
        endpoint.is_some_and(|endpoint| self.set_departed(endpoint, "peer"))
    }

    /// Returns whether the departure was not known.
    fn set_departed(&self, endpoint: &Endpoint, source: &'static str) -> bool {
        let record = endpoint.record.borrow();
        let is_new = self.departures.borrow_mut().record(&record.id, record.started_at_unix_ms);
        if is_new {
            let EndpointRecord { id, service, .. } = &*record;
            event!("endpoint_leaving", "endpoint={id} service={service} source={source}");
        }
        endpoint.set_leaving();
        is_new
    }

    /// Records that an endpoint wants no requests from this host for a while.
    pub(crate) fn close_for(&self, endpoint: &Endpoint, time: Duration, now: Instant) {
        let record = endpoint.record.borrow();
        let until = self.closed_times.borrow_mut().record(&record, time, now);
        event!(
            "endpoint_closed",
            "endpoint={} service={} retry_after_ms={} closed_ms={}",
            record.id,
            record.service,
            time.as_millis(),
            until.saturating_duration_since(now).as_millis()
        );
    }

    /// The time in which an endpoint wants no requests from this host; `None` if it takes them.
    pub(crate) fn closed_time(
        &self,
        endpoint: &EndpointRecord,
        now: Instant,
    ) -> Option<ClosedTime> {
        self.closed_times.borrow().get(endpoint, now)
    }

    /// The time in which no endpoint of a service takes requests; `None` if one takes them now, or
    /// none ever will.
    pub(crate) fn closed_time_of_service(&self, service: &str, now: Instant) -> Option<ClosedTime> {
        let endpoints = self.of_service(service);
        let remaining = endpoints.iter().filter(|endpoint| !endpoint.is_leaving());
        let times: Option<Vec<ClosedTime>> =
            remaining.map(|endpoint| self.closed_time(&endpoint.record.borrow(), now)).collect();
        times?.into_iter().min_by_key(|time| time.until)
    }

    fn new_endpoint(&self, record: EndpointRecord) -> Rc<Endpoint> {
        let has_departed = self.departures.borrow().contains(&record.id, record.started_at_unix_ms);
        let endpoint = Endpoint::new(record, self.addition_time());
        if has_departed {
            endpoint.set_leaving();
        }
        Rc::new(endpoint)
    }

    /// Addition time of an endpoint that is added now; `None` during the first listing.
    fn addition_time(&self) -> Option<Instant> {
        self.has_listing.get().then(Instant::now)
    }

    /// Requests of this process that are in flight, for each endpoint that has any.
    pub(crate) fn loads(&self) -> Vec<EndpointLoad> {
        self.by_id
            .borrow()
            .values()
            .filter(|endpoint| endpoint.in_flight() > 0)
            .map(|endpoint| EndpointLoad {
                endpoint: endpoint.hash,
                requests: endpoint.in_flight(),
            })
            .collect()
    }

    /// Hashes of the endpoints of each service that accept requests.
    pub(crate) fn hashes_by_service(&self) -> Vec<Vec<u32>> {
        let mut by_service: HashMap<Rc<str>, Vec<u32>> = HashMap::new();
        for endpoint in self.by_id.borrow().values().filter(|endpoint| !endpoint.is_leaving()) {
            let service = endpoint.record.borrow().service.clone();
            by_service.entry(service).or_default().push(endpoint.hash);
        }
        by_service.into_values().collect()
    }

    /// The software versions of each service, including those of endpoints that accept no new requests.
    pub(crate) fn versions_by_service(&self) -> BTreeMap<Rc<str>, BTreeSet<Rc<str>>> {
        let mut by_service: BTreeMap<Rc<str>, BTreeSet<Rc<str>>> = BTreeMap::new();
        for endpoint in self.by_id.borrow().values() {
            let record = endpoint.record.borrow();
            let versions = by_service.entry(record.service.clone()).or_default();
            versions.insert(record.software_version.clone());
        }
        by_service
    }

    /// Endpoints of a service, including those that accept no new requests.
    pub(crate) fn of_service(&self, service: &str) -> Vec<Rc<Endpoint>> {
        self.by_id
            .borrow()
            .values()
            .filter(|endpoint| *endpoint.record.borrow().service == *service)
            .cloned()
            .collect()
    }

    pub(crate) fn all(&self) -> Vec<Rc<Endpoint>> {
        self.by_id.borrow().values().cloned().collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.borrow().len()
    }
}
