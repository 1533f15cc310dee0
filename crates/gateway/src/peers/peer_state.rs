use {
    super::{
        host_table::HostTable,
        load_sums::LoadSums,
        published_feed::PublishedFeed,
        relay_election::{RELAY_TIMEOUT, RelayInputs, rank, relays},
        relay_view::{RelayView, RelayedFeed},
    },
    crate::{
        clock::BootInstant,
        placement::PrefixTable,
        telemetry::{ShownMs, event},
    },
    mango_wire::gossip::{
        EndpointLoad, GossipMessage, HostRecord, LoadReport, PrefixUse, RelayStatus, ZoneLoads,
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// The logs of the store that are relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum FeedKind {
    Config,
    Endpoints,
}

/// Sums of other hosts are used for this long without news.
const SUMS_LIFETIME: Duration = Duration::from_millis(1_200);

/// How old the relay's knowledge of a log may be for this host to go by it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MaxConfirmationAges {
    pub(crate) config: Duration,
    pub(crate) endpoints: Duration,
}

/// How long the largest number of hosts is kept.
const FLEET_PEAK_LIFETIME: Duration = Duration::from_secs(20);

/// What this host knows of its peers, and what it tells them.
pub(crate) struct PeerState {
    own: HostRecord,
    own_rank: u64,
    max_ages: MaxConfirmationAges,
    /// Added to the clock in reports, so that an echo of an earlier process of this
    /// host is not taken for one of this process.
    clock_base: u64,
    started_at: BootInstant,
    hosts: RefCell<HostTable>,
    relay: RefCell<Option<RelayView>>,
    /// A better-ranked relay was heard then; at first the start of the process.
    better_relay_at: Cell<Instant>,
    is_relay: Cell<bool>,
    is_stopping: Cell<bool>,
    others: RefCell<LoadSums>,
    others_at: Cell<Option<Instant>>,
    /// Largest number of hosts reported a short while ago: a relay that has not heard
    /// the other zones yet counts too few.
    fleet_hosts: Cell<u32>,
    fleet_peak_until: Cell<Instant>,
    prefixes: RefCell<PrefixTable>,
    /// Uses by this host that the next round tells.
    own_uses: RefCell<Vec<PrefixUse>>,
    /// Uses by other hosts of the zone, while this host relays.
    zone_uses: RefCell<Vec<PrefixUse>>,
    /// Uses by hosts of other zones, while this host relays.
    foreign_uses: RefCell<Vec<PrefixUse>>,
    pub(crate) config_feed: RefCell<PublishedFeed>,
    pub(crate) endpoint_feed: RefCell<PublishedFeed>,
    /// Wakes followers when a status has come.
    pub(crate) status_received: Notify,
}

impl PeerState {
    pub(crate) fn new(own: HostRecord, max_ages: MaxConfirmationAges) -> PeerState {
        PeerState {
            max_ages,
            own_rank: rank(&own),
            own,
            clock_base: rand::random::<u64>() >> 1,
            started_at: BootInstant::from_millis(BootInstant::now().as_millis()),
            hosts: RefCell::default(),
            relay: RefCell::default(),
            better_relay_at: Cell::new(Instant::now()),
            is_relay: Cell::new(false),
            is_stopping: Cell::new(false),
            others: RefCell::default(),
            others_at: Cell::new(None),
            fleet_hosts: Cell::new(0),
            fleet_peak_until: Cell::new(Instant::now()),
            prefixes: RefCell::default(),
            own_uses: RefCell::default(),
            zone_uses: RefCell::default(),
            foreign_uses: RefCell::default(),
            config_feed: RefCell::default(),
            endpoint_feed: RefCell::default(),
            status_received: Notify::new(),
        }
    }

    pub(crate) fn own_host(&self) -> &HostRecord {
        &self.own
    }

    /// Leaves the reading for the zone to another host, before this one stops.
    pub(crate) fn stop_relaying(&self) {
        self.is_stopping.set(true);
    }

    pub(crate) fn published_feed(&self, kind: FeedKind) -> &RefCell<PublishedFeed> {
        match kind {
            FeedKind::Config => &self.config_feed,
            FeedKind::Endpoints => &self.endpoint_feed,
        }
    }

    /// Adds a host from the registry.
    pub(super) fn add_host(&self, host: &HostRecord) {
        if host.host_id != self.own.host_id {
            self.hosts.borrow_mut().heard(host, Instant::now());
        }
    }

    pub(super) fn receive(&self, message: GossipMessage) {
        let now = Instant::now();
        let host = match &message {
            GossipMessage::LoadReport(report) => &report.host,
            GossipMessage::RelayStatus(status) => &status.host,
            GossipMessage::ZoneLoads(zone) => &zone.host,
        };
        if host.host_id == self.own.host_id {
            return;
        }
        if self.hosts.borrow_mut().heard(host, now) {
            event!("peer_found", "host={} zone={}", host.host_id, host.zone);
        }
        match message {
            GossipMessage::LoadReport(report) if report.host.zone == self.own.zone => {
                self.learn_uses(&report.prefixes, true, now);
                self.hosts.borrow_mut().add_report(report, now);
            }
            GossipMessage::RelayStatus(status) if status.host.zone == self.own.zone => {
                self.receive_status(status, now);
            }
            GossipMessage::ZoneLoads(zone) if zone.host.zone != self.own.zone => {
                self.learn_uses(&zone.prefixes, false, now);
                self.hosts.borrow_mut().add_zone(zone, now);
            }
            _ => {}
        }
    }

    fn receive_status(&self, status: RelayStatus, now: Instant) {
        if !self.is_relay.get() {
            self.learn_uses(&status.prefixes, true, now);
        }
        let sender_rank = rank(&status.host);
        let is_fresh = age_of(&status).is_some_and(|age| age <= self.max_ages.config);
        if is_fresh && sender_rank < self.own_rank {
            self.better_relay_at.set(now);
        }
        let mut relay = self.relay.borrow_mut();
        let is_preferred = relay.as_ref().is_none_or(|known| {
            known.host_id == status.host.host_id
                || sender_rank < known.rank
                || now.saturating_duration_since(known.heard_at) > RELAY_TIMEOUT
        });
        let addresses = (status.host.gossip_address.parse(), status.host.relay_address.parse());
        let (Ok(gossip_address), Ok(relay_address)) = addresses else { return };
        if !is_fresh || !is_preferred {
            return;
        }
        if relay.as_ref().is_none_or(|known| known.host_id != status.host.host_id) {
            let age = ShownMs(age_of(&status));
            event!("relay_chosen", "host={} age_ms={age}", status.host.host_id);
        }
        if !self.is_relay.get() {
            let mut others = LoadSums::default();
            others.add(&status.loads);
            self.set_others(others, status.fleet_hosts, now);
        }
        *relay = Some(RelayView {
            host_id: status.host.host_id,
            rank: sender_rank,
            heard_at: now,
            gossip_address,
            relay_address,
            echo: status.echo_ms.and_then(|echo_ms| self.echoed_time(echo_ms)),
            config: status.config,
            endpoints: status.endpoints,
        });
        drop(relay);
        self.status_received.notify_waiters();
    }

    /// The time of an own report that a relay returned.
    fn echoed_time(&self, echo_ms: u64) -> Option<BootInstant> {
        let at = BootInstant::from_millis(echo_ms.checked_sub(self.clock_base)?);
        (at >= self.started_at && at <= BootInstant::now()).then_some(at)
    }

    fn set_others(&self, sums: LoadSums, fleet_hosts: u32, now: Instant) {
        self.others.replace(sums);
        self.others_at.set(Some(now));
        let is_peak = fleet_hosts >= self.fleet_hosts.get();
        if is_peak || now > self.fleet_peak_until.get() {
            self.fleet_hosts.set(fleet_hosts);
            self.fleet_peak_until.set(now + FLEET_PEAK_LIFETIME);
        }
    }

    /// The relay's view of a log, while it is fresh and this host is no relay.
    pub(crate) fn relayed(&self, kind: FeedKind) -> Option<RelayedFeed> {
        if self.is_relay.get() {
            return None;
        }
        let relay = self.relay.borrow();
        let view = relay.as_ref().filter(|view| view.heard_at.elapsed() <= RELAY_TIMEOUT)?;
        let (feed, max_age) = match kind {
            FeedKind::Config => (view.feed(&view.config), self.max_ages.config),
            FeedKind::Endpoints => (view.feed(&view.endpoints), self.max_ages.endpoints),
        };
        let age = BootInstant::now().saturating_duration_since(feed.confirmed_at?);
        (age <= max_age).then_some(feed)
    }

    /// Requests of other hosts at an endpoint. None without recent news.
    pub(crate) fn requests_by_other_hosts(&self, endpoint: u32) -> Option<u32> {
        let is_recent = self.others_at.get().is_some_and(|at| at.elapsed() <= SUMS_LIFETIME);
        is_recent.then(|| self.others.borrow().requests(endpoint))
    }

    /// Whether a prefix was sent to an endpoint a short while ago, by any host.
    pub(crate) fn endpoint_holds_prefix(&self, prefix: u64, endpoint: u32) -> bool {
        self.prefixes.borrow().holds(prefix, endpoint, Instant::now())
    }

    /// Records that this host sends a prefix to an endpoint.
    pub(crate) fn record_use(&self, prefix: u64, endpoint: u32) {
        if self.prefixes.borrow_mut().record_local_use(prefix, endpoint, Instant::now()) {
            self.own_uses.borrow_mut().push(PrefixUse { prefix, endpoint });
        }
    }

    /// Keeps uses that other hosts told, and passes them on if this host relays.
    fn learn_uses(&self, uses: &[PrefixUse], is_from_zone: bool, now: Instant) {
        let mut prefixes = self.prefixes.borrow_mut();
        for PrefixUse { prefix, endpoint } in uses {
            prefixes.record_peer_use(*prefix, *endpoint, now);
        }
        if self.is_relay.get() {
            let queue = if is_from_zone { &self.zone_uses } else { &self.foreign_uses };
            queue.borrow_mut().extend_from_slice(uses);
        }
    }

    pub(crate) fn is_relay(&self) -> bool {
        self.is_relay.get()
    }

    /// Host whose status is followed.
    pub(crate) fn relay_host_id(&self) -> Option<String> {
        self.relay.borrow().as_ref().map(|view| view.host_id.clone())
    }

    pub(crate) fn known_hosts(&self) -> usize {
        self.hosts.borrow().len()
    }

    /// Hosts of the fleet that report, this one included; 0 while unknown.
    pub(crate) fn fleet_hosts(&self) -> u32 {
        self.fleet_hosts.get()
    }

    /// Decides whether this host relays, and logs a change.
    pub(super) fn elect(&self) -> bool {
        let now = BootInstant::now();
        let is_relay = relays(&RelayInputs {
            better_relay_silence: self.better_relay_at.get().elapsed(),
            better_hosts: self.hosts.borrow().better_ranked(&self.own.zone, self.own_rank),
            is_stopping: self.is_stopping.get(),
            own_age: self.config_feed.borrow().confirmed_age(now),
            max_age: self.max_ages.config,
        });
        if self.is_relay.replace(is_relay) != is_relay {
            let age = ShownMs(self.config_feed.borrow().confirmed_age(now));
            let hosts = self.hosts.borrow().len();
            event!("relay_changed", "relays={is_relay} config_age_ms={age} hosts={hosts}");
        }
        is_relay
    }

    /// Datagrams of one round. `is_slow_round` also reaches hosts that were not heard.
    pub(super) fn messages(
        &self,
        own_loads: &[EndpointLoad],
        is_slow_round: bool,
    ) -> Vec<(SocketAddr, GossipMessage)> {
        let now = Instant::now();
        self.hosts.borrow_mut().expire(now);
        self.prefixes.borrow_mut().expire(now);
        if self.elect() {
            self.relay_messages(own_loads, is_slow_round)
        } else {
            self.report_messages(own_loads, is_slow_round)
        }
    }

    fn report_messages(
        &self,
        own_loads: &[EndpointLoad],
        is_slow_round: bool,
    ) -> Vec<(SocketAddr, GossipMessage)> {
        let relay = self.relay.borrow();
        let heard = relay.as_ref().filter(|view| view.heard_at.elapsed() <= RELAY_TIMEOUT);
        let targets = match heard {
            Some(view) => vec![view.gossip_address],
            None => self.hosts.borrow().report_targets(&self.own.zone, is_slow_round),
        };
        let report = LoadReport {
            host: self.own.clone(),
            sent_at_ms: self.clock_base + BootInstant::now().as_millis(),
            loads: own_loads.to_vec(),
            prefixes: self.own_uses.take(),
        };
        let message = GossipMessage::LoadReport(report);
        targets.into_iter().map(|address| (address, message.clone())).collect()
    }

    fn relay_messages(
        &self,
        own_loads: &[EndpointLoad],
        is_slow_round: bool,
    ) -> Vec<(SocketAddr, GossipMessage)> {
        let now = Instant::now();
        let hosts = self.hosts.borrow();
        let (reporting, mut sums) = hosts.zone_sums(now);
        let mut others = sums.clone();
        sums.add(own_loads);
        let mut uses = self.own_uses.take();
        uses.append(&mut self.zone_uses.borrow_mut());
        let zone_loads = ZoneLoads {
            host: self.own.clone(),
            hosts: reporting + 1,
            loads: sums.to_loads(),
            prefixes: uses.clone(),
        };
        uses.append(&mut self.foreign_uses.borrow_mut());
        let fleet_hosts = reporting + 1 + hosts.add_other_zones(&mut sums, now);
        hosts.add_other_zones(&mut others, now);
        let mut messages: Vec<(SocketAddr, GossipMessage)> = hosts
            .foreign_relays(&self.own.zone, is_slow_round)
            .into_iter()
            .map(|address| (address, GossipMessage::ZoneLoads(zone_loads.clone())))
            .collect();
        let boot_now = BootInstant::now();
        for target in hosts.status_targets(&self.own.zone, is_slow_round, now) {
            let mut loads = sums.clone();
            loads.subtract(target.own_loads);
            let status = RelayStatus {
                host: self.own.clone(),
                echo_ms: target.echo_ms,
                config: self.config_feed.borrow().status(boot_now),
                endpoints: self.endpoint_feed.borrow().status(boot_now),
                fleet_hosts,
                loads: loads.to_loads(),
                prefixes: uses.clone(),
            };
            messages.push((target.address, GossipMessage::RelayStatus(status)));
        }
        drop(hosts);
        self.set_others(others, fleet_hosts, now);
        messages
    }
}

fn age_of(status: &RelayStatus) -> Option<Duration> {
    status.config.confirmed_age_ms.map(Duration::from_millis)
}
