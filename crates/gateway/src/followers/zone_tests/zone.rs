use {
    super::{
        late_records::LateRecords,
        running_endpoint::{RunningEndpoint, decode_endpoint},
        store::Store,
        watched_endpoints::{DepartedEndpoint, KeptEndpoint},
        zone_host::{HEARTBEAT, ZoneHost},
    },
    crate::{clock::Now, endpoints::EndpointState, followers::record_sink::RecordSink},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Silence after which the store removes the record of an endpoint.
pub(super) const RECORD_LIFETIME: Duration = Duration::from_millis(3_600);
/// Time within which endpoints are back in the store after its return.
const RETURN_TIME: Duration = Duration::from_millis(2_000);
/// Time within which all hosts agree with the store after the last record was written.
const AGREEMENT_TIME: Duration = Duration::from_millis(2_000);
/// Time after which the store counts as stable.
const STABILITY_TIME: Duration = Duration::from_millis(3_000);
/// Time after which no host may use an endpoint that has left.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Interval between two statuses of a relay.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Steps of a history before the store is left alone.
const STEPS: u32 = 80;

pub(super) struct Zone {
    rng: StdRng,
    now: Now,
    store: Store,
    endpoints: BTreeMap<String, RunningEndpoint>,
    hosts: Vec<ZoneHost>,
    relay: usize,
    next_id: u64,
    next_start_ms: u64,
    /// Endpoints that hosts must not lose.
    kept: Vec<KeptEndpoint>,
    lost: Option<String>,
    /// Endpoints that had left, with hosts that must not use them any more.
    departed: Vec<DepartedEndpoint>,
    /// When records in an older copy lapse whose endpoints do not run.
    lapses_at: Option<Instant>,
    late_records: LateRecords,
    hazards: Hazards,
}

/// What a history may hold besides outages, restarts and changes of the relay.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Hazards {
    /// Another writer leaves records too.
    pub(super) odd_records: bool,
    /// The store comes back from older copies.
    pub(super) older_copies: bool,
    /// The store executes heartbeats seconds after they were sent.
    pub(super) late_records: bool,
}

impl Zone {
    pub(super) fn new(seed: u64, hazards: Hazards) -> Zone {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Now::read();
        let hosts =
            (0..rng.random_range(2..8)).map(|name| ZoneHost::start(name, now.instant)).collect();
        let mut zone = Zone {
            rng,
            now,
            store: Store::default(),
            endpoints: BTreeMap::new(),
            hosts,
            relay: 0,
            next_id: 0,
            next_start_ms: 1_000,
            kept: Vec::new(),
            lost: None,
            departed: Vec::new(),
            lapses_at: None,
            late_records: LateRecords::default(),
            hazards,
        };
        for _ in 0..6 {
            zone.add_endpoint();
        }
        zone
    }

    fn add_endpoint(&mut self) {
        let id = format!("e-{}", self.next_id);
        self.next_id += 1;
        self.start_endpoint(id);
    }

    fn start_endpoint(&mut self, id: String) {
        self.next_start_ms += 1;
        let endpoint = RunningEndpoint {
            started_at_ms: self.next_start_ms,
            sequence: 0,
            state: EndpointState::Ready,
            writes_at: Some(self.now.instant),
        };
        self.endpoints.insert(id, endpoint);
    }

    fn random_endpoint(&mut self) -> Option<String> {
        let count = self.endpoints.len();
        let index = (count > 0).then(|| self.rng.random_range(0..count))?;
        self.endpoints.keys().nth(index).cloned()
    }

    /// One event that the zone has to bear.
    fn disturb(&mut self) {
        match self.rng.random_range(0..16) {
            0 => self.add_endpoint(),
            1 => {
                // leaves without a word; while the store is down, its record lapses
                if let Some(id) = self.random_endpoint() {
                    let endpoint = self.endpoints.remove(&id).expect("an endpoint");
                    if self.store.down_since.is_none() {
                        self.record_departure(&id, &endpoint);
                        self.store.write(&id, "");
                    }
                }
            }
            2 => {
                if let Some(id) = self.random_endpoint()
                    && let Some(endpoint) = self.endpoints.get_mut(&id)
                {
                    endpoint.state = EndpointState::Draining;
                    endpoint.writes_at = Some(self.now.instant);
                }
            }
            3 => {
                if let Some(id) = self.random_endpoint() {
                    self.start_endpoint(id);
                }
            }
            4 if self.hazards.odd_records && self.store.down_since.is_none() => {
                // another writer; the endpoint's next heartbeat replaces its record
                if let Some(id) = self.random_endpoint() {
                    self.store.write(&id, "odd");
                    let heartbeat_at = self.now.instant + HEARTBEAT;
                    self.endpoints.get_mut(&id).expect("an endpoint").writes_at =
                        Some(heartbeat_at);
                }
            }
            5 => {
                let index = self.rng.random_range(0..self.hosts.len());
                self.hosts[index] = ZoneHost::start(index, self.now.instant);
            }
            6..=9 => self.relay = self.rng.random_range(0..self.hosts.len()),
            10 if self.store.down_since.is_none() => {
                self.store.down_since = Some(self.now.instant);
                // a removal that a host has not read by now may be read after the outage
                self.departed.retain(|departed| departed.since <= self.now.instant);
            }
            11 | 12 => self.restore_store(),
            13 if self.hazards.older_copies => self.lose_records(),
            _ => {}
        }
    }

    /// Records that an endpoint is about to leave: no host may use it after the drain time. Not if its last
    /// three records are missing, or those of its last start: its record would have lapsed, or hosts
    /// never knew of it. Nor shortly after an outage, in which its record may have expired.
    fn record_departure(&mut self, id: &str, endpoint: &RunningEndpoint) {
        if !self.hazards.late_records {
            return;
        }
        let newest = self.store.newest.get(id);
        let newest = newest.map(|raw| decode_endpoint(id, &raw.value).expect("a sound record"));
        let is_recorded = newest.is_some_and(|record| {
            record.started_at_unix_ms == endpoint.started_at_ms
                && record.sequence + 2 >= endpoint.sequence
        });
        let is_stable =
            self.store.returned_at.is_none_or(|at| self.now.instant - at >= STABILITY_TIME);
        if !is_recorded || !is_stable {
            return;
        }
        let since = self.now.instant + DRAIN_TIME;
        self.departed.extend(self.hosts.iter().enumerate().filter(|(_, h)| h.is_following()).map(
            |(host, known)| DepartedEndpoint {
                host,
                host_started_at: known.started_at,
                endpoint: id.to_owned(),
                since,
            },
        ));
    }

    /// Ends an outage of the store. If it was long enough, all records have lapsed, and the endpoints
    /// that run write them again within the next seconds.
    fn restore_store(&mut self) {
        let Some(down_since) = self.store.down_since.take() else { return };
        self.store.returned_at = Some(self.now.instant);
        let keys: Vec<_> = self.store.newest.keys().cloned().collect();
        for key in &keys {
            let is_running = self.endpoints.contains_key(&**key);
            if !is_running || self.now.instant - down_since >= RECORD_LIFETIME {
                self.store.write(key, "");
            }
        }
        for (id, endpoint) in &mut self.endpoints {
            if self.store.newest.contains_key(id.as_str()) {
                continue;
            }
            let delay = self.rng.random_range(Duration::ZERO..RETURN_TIME);
            endpoint.writes_at = Some(self.now.instant + delay);
            let has_lapsed = keys.iter().any(|key| **key == **id);
            if has_lapsed && endpoint.state == EndpointState::Ready {
                let users =
                    self.hosts.iter().enumerate().filter(|(_, host)| host.uses(id, endpoint));
                self.kept.extend(users.map(|(index, host)| KeptEndpoint {
                    host: index,
                    host_started_at: host.started_at,
                    endpoint: id.clone(),
                    endpoint_started_at_ms: endpoint.started_at_ms,
                    until: self.now.instant + RETURN_TIME,
                }));
            }
        }
    }

    /// Lets the store come back from an older copy. Endpoints that run write their records with each
    /// heartbeat from then on; the records of others lapse.
    fn lose_records(&mut self) {
        let count = self.rng.random_range(1..12);
        self.store.lose_records(count);
        self.kept.clear();
        for endpoint in self.endpoints.values_mut() {
            let delay = self.rng.random_range(Duration::ZERO..HEARTBEAT);
            endpoint.writes_at = Some(self.now.instant + delay);
        }
        self.lapses_at = Some(self.now.instant + RECORD_LIFETIME);
        for key in self.store.newest.keys().filter(|key| !self.endpoints.contains_key(&***key)) {
            let hosts = self.hosts.iter().enumerate();
            let without = hosts.filter(|(_, host)| host.is_following() && !host.uses_any(key));
            self.departed.extend(without.map(|(host, known)| DepartedEndpoint {
                host,
                host_started_at: known.started_at,
                endpoint: key.to_string(),
                since: self.now.instant,
            }));
        }
    }

    /// Removes the records that have lapsed since the last return from an older copy.
    fn lapse(&mut self) {
        if self.store.down_since.is_some()
            || self.lapses_at.take_if(|at| *at <= self.now.instant).is_none()
        {
            return;
        }
        let keys: Vec<_> = self.store.newest.keys().cloned().collect();
        for key in keys.iter().filter(|key| !self.endpoints.contains_key(&***key)) {
            self.store.write(key, "");
        }
    }

    /// Checks that hosts do not use endpoints again that had left.
    fn check_departed(&mut self) {
        for departed in &self.departed {
            let host = &self.hosts[departed.host];
            let is_as_before = host.started_at == departed.host_started_at
                && !self.endpoints.contains_key(&departed.endpoint);
            if self.now.instant >= departed.since
                && is_as_before
                && host.uses_any(&departed.endpoint)
            {
                let DepartedEndpoint { host, endpoint, .. } = departed;
                self.lost.get_or_insert(format!("host {host} uses {endpoint}, which had left"));
            }
        }
    }

    /// Checks that hosts still use the endpoints whose records lapsed, if these run as before.
    fn check_kept(&mut self) {
        let now = self.now.instant;
        self.kept.retain(|kept| now < kept.until);
        for kept in &self.kept {
            let host = &self.hosts[kept.host];
            let Some(endpoint) = self.endpoints.get(&kept.endpoint) else { continue };
            let is_as_before = host.started_at == kept.host_started_at
                && endpoint.started_at_ms == kept.endpoint_started_at_ms
                && endpoint.state == EndpointState::Ready
                && self.store.down_since.is_none();
            if is_as_before && !host.uses(&kept.endpoint, endpoint) {
                let left = kept.until - now;
                let KeptEndpoint { host, endpoint, .. } = kept;
                self.lost.get_or_insert(format!(
                    "host {host} (relay {}) lost {endpoint}, which may be back in {left:?}",
                    self.relay
                ));
            }
        }
    }

    /// Lets the endpoints write and the hosts read for a time.
    fn run(&mut self, time: Duration) {
        let end = self.now.instant + time;
        while self.now.instant < end {
            self.now.instant += STATUS_INTERVAL;
            self.now.boot = self.now.boot + STATUS_INTERVAL;
            if self.store.down_since.is_none() {
                for (id, endpoint) in &mut self.endpoints {
                    if endpoint.writes_at.take_if(|at| *at <= self.now.instant).is_some() {
                        let record = endpoint.record();
                        let writes_again = self.store.era > 0 || self.hazards.late_records;
                        endpoint.writes_at = writes_again.then(|| self.now.instant + HEARTBEAT);
                        let is_late = self.hazards.late_records
                            && self.late_records.delay(
                                id,
                                &record,
                                self.now.instant,
                                &mut self.rng,
                            );
                        if !is_late {
                            self.store.write(id, &record);
                        }
                    }
                }
            }
            self.lapse();
            let is_running = |id: &str| self.endpoints.contains_key(id);
            self.late_records.execute(&mut self.store, self.now.instant, is_running);
            self.read_hosts();
        }
    }

    fn read_hosts(&mut self) {
        let now = self.now;
        let relay = self.relay;
        for index in 0..self.hosts.len() {
            let is_followed = self.hosts[relay].is_usable_relay(now)
                && self.hosts[index].accepts(&self.hosts[relay], now);
            // datagrams are lost now and then
            if index == relay || !is_followed {
                if self.hosts[index].next_poll_at <= now.instant {
                    self.hosts[index].read_store(&self.store, now);
                }
            } else if self.rng.random_bool(0.9) {
                let [host, relay] = self.hosts.get_disjoint_mut([index, relay]).expect("two hosts");
                let agrees = host.follow(relay, now);
                // a host that listed the log beside an odd record may differ for a while
                let may_differ = self.hazards.odd_records
                    || self.hazards.older_copies
                    || self.hazards.late_records;
                if !agrees && !may_differ {
                    self.lost.get_or_insert(format!("host {index} differs from its relay"));
                }
            }
            self.hosts[index].copy.sink.expire(now.instant);
        }
        self.check_kept();
        self.check_departed();
    }

    /// Plays a history and checks the hosts at its end.
    pub(super) fn play(mut self) -> Result<(), String> {
        for _ in 0..STEPS {
            self.disturb();
            let time = self.rng.random_range(STATUS_INTERVAL..STATUS_INTERVAL * 5);
            self.run(time);
        }
        self.restore_store();
        let lapse_time =
            if self.lapses_at.is_some() { RECORD_LIFETIME * 2 } else { Duration::ZERO };
        if self.hazards.late_records {
            self.run(LateRecords::settling_time());
        }
        self.run(RETURN_TIME + HEARTBEAT + AGREEMENT_TIME + lapse_time);
        if let Some(lost) = self.lost {
            return Err(lost);
        }
        let listed: BTreeMap<String, (u64, EndpointState)> = (self.store.newest.iter())
            .map(|(key, record)| {
                let record = decode_endpoint(key, &record.value).expect("a sound record");
                (key.to_string(), (record.started_at_unix_ms, record.state))
            })
            .collect();
        for (index, host) in self.hosts.iter().enumerate() {
            let known = host.endpoints();
            if known != listed {
                let age = self.now.instant - host.started_at;
                return Err(format!(
                    "host {index} (relay {}, started {age:?} ago) knows {known:?}, listed are {listed:?}",
                    self.relay
                ));
            }
        }
        Ok(())
    }
}
