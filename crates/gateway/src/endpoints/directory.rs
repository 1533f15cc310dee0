use {
    super::{
        endpoint::Endpoint,
        endpoint_record::{EndpointId, EndpointRecord, EndpointState},
    },
    crate::telemetry::event,
    mango_wire::gossip::EndpointLoad,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        rc::Rc,
        time::Instant,
    },
};

/// The endpoints that the store lists, by service.
#[derive(Default)]
pub(crate) struct Directory {
    by_id: RefCell<BTreeMap<EndpointId, Rc<Endpoint>>>,
    /// Endpoints whose record vanished while the store was away, until when they stay.
    missing_until: RefCell<HashMap<EndpointId, Instant>>,
    is_listed: Cell<bool>,
}

impl Directory {
    /// Applies a record of an endpoint. Older news than what is known is ignored.
    /// Returns whether more than the record's sequence changed.
    pub(crate) fn upsert(&self, record: EndpointRecord) -> bool {
        self.missing_until.borrow_mut().remove(&record.id);
        let mut by_id = self.by_id.borrow_mut();
        let Some(known) = by_id.get(&record.id) else {
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
            by_id.insert(record.id.clone(), Rc::new(Endpoint::new(record, self.joining_time())));
            return true;
        };
        let is_replaced = {
            let current = known.record.borrow();
            if record.is_older_than(&current) {
                return false;
            }
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
            known.set_leaving();
            by_id.insert(record.id.clone(), Rc::new(Endpoint::new(record, self.joining_time())));
            return true;
        }
        // an endpoint may be leaving already by its own answers; peers learn it from the record
        let is_changed = record.state != known.record.borrow().state;
        if record.state == EndpointState::Draining && !known.is_leaving() {
            event!(
                "endpoint_draining",
                "endpoint={} service={} sequence={}",
                record.id,
                record.service,
                record.sequence
            );
            known.set_leaving();
        }
        known.record.replace(record);
        is_changed
    }

    /// Removes an endpoint whose record is gone. With a time, it stays in use until
    /// then: its record may only have lapsed while the store was away. Returns
    /// whether the endpoint was known.
    pub(crate) fn remove(&self, id: &str, keep_until: Option<Instant>) -> bool {
        if let Some(until) = keep_until
            && let Some((id, endpoint)) = self.by_id.borrow().get_key_value(id)
            && !endpoint.is_leaving()
        {
            self.missing_until.borrow_mut().entry(id.clone()).or_insert_with(|| {
                let kept_ms = until.saturating_duration_since(Instant::now()).as_millis();
                event!("endpoint_missing", "endpoint={id} kept_ms={kept_ms}");
                until
            });
            return true;
        }
        self.missing_until.borrow_mut().remove(id);
        let Some(endpoint) = self.by_id.borrow_mut().remove(id) else { return false };
        event!("endpoint_gone", "endpoint={id} service={}", endpoint.record.borrow().service);
        endpoint.set_leaving();
        true
    }

    /// Makes the directory equal to a whole listing.
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
        self.is_listed.set(true);
    }

    /// Drops endpoints whose time to come back is over, and connections past their
    /// use. Returns when the next endpoint is due.
    pub(crate) fn expire(&self, now: Instant) -> Option<Instant> {
        let expired: Vec<EndpointId> = self
            .missing_until
            .borrow()
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.remove(&id, None);
        }
        for endpoint in self.by_id.borrow().values() {
            endpoint.prune_idle(now);
        }
        self.missing_until.borrow().values().min().copied()
    }

    /// Time to remember for an endpoint that joins; none during the first listing.
    fn joining_time(&self) -> Option<Instant> {
        self.is_listed.get().then(Instant::now)
    }

    /// Requests of this process at each endpoint that has any.
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

    /// Endpoints of a service, with those that take no new work.
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
