use {
    super::{
        departure_reports::DepartureReports,
        fleet_loads::FleetLoads,
        fleet_size::FleetSize,
        followed_relay::{FollowedRelay, RelayedFeedStatus},
        host_table::HostTable,
        load_changes::{RisingLoads, notable_loads},
        load_sums::LoadSums,
        other_loads::OtherLoads,
        prefix_uses::PrefixUses,
        published_feed::PublishedFeed,
        relay_election::{RELAY_TIMEOUT, rank},
        relay_role::{RelayRole, RoleInputs},
        report_clock::ReportClock,
        store_turn::StoreTurn,
    },
    crate::{
        clock::BootInstant,
        records::{Continuity, FeedKind},
        telemetry::{OptionalMillis, event},
    },
    mango_wire::gossip::{
        Departure, EndpointLoad, GossipMessage, HostRecord, LoadChanges, LoadReport, LoadScope,
        PrefixUse, RelayStatus, ZoneLoads,
    },
    std::{
        cell::RefCell,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// Most successors that a relay names.
const MAX_SUCCESSORS: usize = 4;
/// How long the successors that a relay named count after its last status.
const SUCCESSORS_LIFETIME: Duration = Duration::from_secs(10);

/// Greatest age at which this host relies on a relay's confirmation, by log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MaxConfirmationAges {
    pub(crate) config: Duration,
    pub(crate) endpoints: Duration,
}

/// State that this host received from its peers and state that it sends to them.
pub(crate) struct PeerState {
    own_host: HostRecord,
    own_rank: u64,
    max_ages: MaxConfirmationAges,
    report_clock: ReportClock,
    hosts: RefCell<HostTable>,
    relay: RefCell<Option<FollowedRelay>>,
    role: RelayRole,
    other_loads: OtherLoads,
    pub(crate) rising_loads: RisingLoads,
    fleet_size: RefCell<FleetSize>,
    prefix_uses: RefCell<PrefixUses>,
    departure_reports: RefCell<DepartureReports>,
    pub(crate) config_feed: RefCell<PublishedFeed>,
    pub(crate) endpoint_feed: RefCell<PublishedFeed>,
    /// Asks for the registry to be read again, since the store has come back from an older copy.
    pub(super) registry_outdated: Notify,
    /// Asks for a round of gossip before the next regular one.
    pub(super) round_wanted: Notify,
    /// Wakes the followers when a relay status was received.
    pub(crate) status_received: Notify,
}

impl PeerState {
    pub(crate) fn new(own_host: HostRecord, max_ages: MaxConfirmationAges) -> PeerState {
        PeerState {
            max_ages,
            own_rank: rank(&own_host),
            own_host,
            report_clock: ReportClock::new(),
            hosts: RefCell::default(),
            relay: RefCell::default(),
            role: RelayRole::new(),
            other_loads: OtherLoads::default(),
            rising_loads: RisingLoads::default(),
            fleet_size: RefCell::default(),
            prefix_uses: RefCell::default(),
            departure_reports: RefCell::default(),
            config_feed: RefCell::default(),
            endpoint_feed: RefCell::default(),
            registry_outdated: Notify::new(),
            round_wanted: Notify::new(),
            status_received: Notify::new(),
        }
    }

    pub(crate) fn own_host(&self) -> &HostRecord {
        &self.own_host
    }

    /// Lets another host take over the relay role before this host stops.
    pub(crate) fn stop_relaying(&self) {
        self.role.stop();
    }

    pub(crate) fn published_feed(&self, kind: FeedKind) -> &RefCell<PublishedFeed> {
        match kind {
            FeedKind::Config => &self.config_feed,
            FeedKind::Endpoints => &self.endpoint_feed,
        }
    }

    /// Adds a host from the registry, unless its address cannot be used.
    pub(super) fn add_host(&self, host: &HostRecord) {
        let is_usable = host.gossip_address.parse::<SocketAddr>().is_ok_and(|at| at.port() != 0);
        if is_usable && host.host_id != self.own_host.host_id {
            self.hosts.borrow_mut().upsert_host(host, false, Instant::now());
            self.fleet_size.borrow_mut().record_host(&host.host_id, Instant::now());
        }
    }

    /// Records that the store has come back from an older copy, which may lack this host's record.
    pub(crate) fn record_era_change(&self) {
        self.registry_outdated.notify_one();
    }

    /// Records that all hosts of the registry were added.
    pub(crate) fn record_registry(&self) {
        self.fleet_size.borrow_mut().record_registry();
    }

    pub(crate) fn receive(&self, message: GossipMessage) {
        let now = Instant::now();
        let host = match &message {
            GossipMessage::LoadReport(report) => &report.host,
            GossipMessage::RelayStatus(status) => &status.host,
            GossipMessage::ZoneLoads(zone) => &zone.host,
            GossipMessage::LoadChanges(changes) => &changes.host,
            GossipMessage::PartReport(report) => &report.host,
            GossipMessage::DepartureReport(report) => &report.host,
            GossipMessage::DemandReport(report) => &report.host,
            GossipMessage::OutageReport(report) => &report.host,
        };
        if host.host_id == self.own_host.host_id {
            return;
        }
        if self.hosts.borrow_mut().upsert_host(host, true, now) {
            event!("peer_found", "host={} zone={}", host.host_id, host.zone);
        }
        self.fleet_size.borrow_mut().record_host(&host.host_id, now);
        match message {
            GossipMessage::LoadReport(report) if report.host.zone == self.own_host.zone => {
                self.add_remote_uses(&report.prefixes, true, now);
                let is_first = self.hosts.borrow_mut().add_report(report, now);
                if is_first && self.role.is_relay() {
                    self.round_wanted.notify_one();
                }
            }
            GossipMessage::RelayStatus(status) if status.host.zone == self.own_host.zone => {
                self.receive_status(status, now);
            }
            GossipMessage::ZoneLoads(zone) if zone.host.zone != self.own_host.zone => {
                self.add_remote_uses(&zone.prefixes, false, now);
                self.hosts.borrow_mut().add_zone_loads(zone, now);
            }
            GossipMessage::LoadChanges(changes) => self.receive_changes(changes),
            // reports and statuses are used within a zone only, zone loads between zones only
            _ => {}
        }
    }

    /// Applies loads that rose since the sender's last regular message.
    fn receive_changes(&self, changes: LoadChanges) {
        let LoadChanges { host, scope, loads } = changes;
        let is_own_zone = host.zone == self.own_host.zone;
        match scope {
            LoadScope::Host if is_own_zone => {
                self.hosts.borrow_mut().update_report(&host.host_id, &loads);
            }
            LoadScope::Zone if !is_own_zone => {
                self.hosts.borrow_mut().update_zone_loads(&host.zone, &loads);
            }
            LoadScope::Fleet if is_own_zone && !self.role.is_relay() => {
                self.other_loads.update_from_totals(&loads);
                return;
            }
            LoadScope::Host | LoadScope::Zone | LoadScope::Fleet => return,
        }
        if self.role.is_relay() {
            loads.iter().for_each(|load| self.rising_loads.record(load.endpoint));
        }
    }

    /// Returns the messages about loads that rose since the last call. `services` lists the
    /// endpoints of each service.
    pub(super) fn change_messages(
        &self,
        own_loads: &[EndpointLoad],
        services: &[Vec<u32>],
    ) -> Vec<(SocketAddr, GossipMessage)> {
        let rising = self.rising_loads.take();
        let message = |scope, loads| {
            GossipMessage::LoadChanges(LoadChanges { host: self.own_host.clone(), scope, loads })
        };
        if !self.role.is_relay() {
            let Some(relay) = self.followed_relay_address() else { return Vec::new() };
            let is_rising = |load: &&EndpointLoad| rising.contains(&load.endpoint);
            let loads: Vec<_> = own_loads.iter().filter(is_rising).cloned().collect();
            self.other_loads.record_risen(&loads);
            return vec![(relay, message(LoadScope::Host, loads))];
        }
        let now = Instant::now();
        let hosts = self.hosts.borrow();
        let sums = FleetLoads::sum(&hosts, own_loads, now);
        let fleet_loads = notable_loads(&rising, &sums.fleet, services);
        self.other_loads.replace_risen(sums.others);
        if fleet_loads.is_empty() {
            return Vec::new();
        }
        let zone_loads = fleet_loads
            .iter()
            .map(|load| EndpointLoad {
                requests: sums.zone.requests(load.endpoint),
                ..load.clone()
            })
            .collect();
        let zone = &self.own_host.zone;
        let to_relays = message(LoadScope::Zone, zone_loads);
        let to_hosts = message(LoadScope::Fleet, fleet_loads);
        let relays = hosts.other_zone_relays(zone, false).into_iter();
        let in_zone = hosts.status_targets(zone, false, now);
        relays
            .map(|address| (address, to_relays.clone()))
            .chain(in_zone.iter().map(|target| (target.address, to_hosts.clone())))
            .collect()
    }

    /// Follows the sender of a relay status if its confirmation is recent and no better-ranked
    /// relay sends statuses.
    fn receive_status(&self, status: RelayStatus, now: Instant) {
        if !self.role.is_relay() {
            self.add_remote_uses(&status.prefixes, true, now);
        }
        let sender_rank = rank(&status.host);
        let is_fresh = config_age(&status).is_some_and(|age| age <= self.max_ages.config);
        if is_fresh && sender_rank < self.own_rank {
            self.role.record_better_relay(now);
        }
        let mut relay = self.relay.borrow_mut();
        let is_preferred = relay.as_ref().is_none_or(|known| {
            known.host_id == status.host.host_id
                || sender_rank < known.rank
                || now.saturating_duration_since(known.received_at) > RELAY_TIMEOUT
        });
        let addresses = (status.host.gossip_address.parse(), status.host.relay_address.parse());
        let (Ok(gossip_address), Ok(relay_address)) = addresses else { return };
        if !is_fresh || !is_preferred {
            return;
        }
        if relay.as_ref().is_none_or(|known| known.host_id != status.host.host_id) {
            let age = OptionalMillis(config_age(&status));
            event!("relay_chosen", "host={} age_ms={age}", status.host.host_id);
            // the relay answers the report, which makes its confirmations usable
            self.round_wanted.notify_one();
        }
        if !self.role.is_relay() {
            let mut other_loads = LoadSums::default();
            other_loads.add(&status.loads);
            self.set_other_loads(other_loads, status.fleet_hosts, now);
        }
        *relay = Some(FollowedRelay {
            host_id: status.host.host_id,
            rank: sender_rank,
            received_at: now,
            gossip_address,
            relay_address,
            report_sent_at: status.echo_ms.and_then(|echo_ms| self.report_clock.sent_at(echo_ms)),
            successor_ranks: status.successor_ranks,
            config: status.config,
            endpoints: status.endpoints,
        });
        drop(relay);
        self.status_received.notify_waiters();
    }

    fn set_other_loads(&self, sums: LoadSums, fleet_hosts: u32, now: Instant) {
        self.other_loads.replace(sums, now);
        self.fleet_size.borrow_mut().record_report(fleet_hosts, now);
    }

    /// Returns the state of a log according to the relay. None if its confirmation is too old
    /// or this host relays itself.
    pub(crate) fn relayed_feed_status(&self, kind: FeedKind) -> Option<RelayedFeedStatus> {
        if self.role.is_relay() {
            return None;
        }
        let relay = self.relay.borrow();
        let followed =
            relay.as_ref().filter(|followed| followed.received_at.elapsed() <= RELAY_TIMEOUT)?;
        let feed = followed.feed_status(match kind {
            FeedKind::Config => &followed.config,
            FeedKind::Endpoints => &followed.endpoints,
        });
        let age = BootInstant::now().saturating_duration_since(feed.confirmed_at?);
        (age <= self.max_age(kind)).then_some(feed)
    }

    /// Greatest age at which this host relies on a confirmation of a log, by a relay or of its own
    /// copy.
    pub(crate) fn max_age(&self, kind: FeedKind) -> Duration {
        match kind {
            FeedKind::Config => self.max_ages.config,
            FeedKind::Endpoints => self.max_ages.endpoints,
        }
    }

    /// Returns the requests of other hosts at an endpoint. None if no update was received
    /// recently.
    pub(crate) fn requests_by_other_hosts(&self, endpoint: u32) -> Option<u32> {
        self.other_loads.requests(endpoint)
    }

    /// Returns whether any host sent a prefix to an endpoint so recently that the endpoint
    /// should still cache it.
    pub(crate) fn endpoint_holds_prefix(&self, prefix: u64, endpoint: u32) -> bool {
        self.prefix_uses.borrow().holds(prefix, endpoint, Instant::now())
    }

    /// Records that this host sends a prefix to an endpoint.
    pub(crate) fn record_prefix_use(&self, prefix: u64, endpoint: u32) {
        self.prefix_uses.borrow_mut().record_own(prefix, endpoint, Instant::now());
    }

    /// Records prefix uses by other hosts, and queues them for forwarding if this host
    /// relays.
    fn add_remote_uses(&self, uses: &[PrefixUse], is_from_own_zone: bool, now: Instant) {
        let is_relay = self.role.is_relay();
        self.prefix_uses.borrow_mut().record_remote(uses, is_from_own_zone, is_relay, now);
    }

    pub(crate) fn is_relay(&self) -> bool {
        self.role.is_relay()
    }

    /// Returns the id of the relay that this host follows.
    pub(crate) fn relay_host_id(&self) -> Option<String> {
        self.relay.borrow().as_ref().map(|followed| followed.host_id.clone())
    }

    pub(crate) fn known_hosts(&self) -> usize {
        self.hosts.borrow().len()
    }

    /// Returns the number of hosts of the fleet that report, including this host; 0 while
    /// it is unknown.
    pub(crate) fn fleet_hosts(&self) -> u32 {
        self.fleet_size.borrow().reporting_hosts()
    }

    /// Returns the number of hosts among which limits of the whole fleet are divided, this one
    /// included; `None` until the registry was read.
    pub(crate) fn hosts_sharing_limits(&self) -> Option<u32> {
        self.fleet_size.borrow().hosts_sharing_limits()
    }

    /// Returns the number of running hosts of the zone that would relay before this one: those that
    /// the last relay named or, without one, those that were heard lately.
    fn hosts_before(&self, now: Instant) -> u32 {
        let relay = self.relay.borrow();
        let named = relay.as_ref().filter(|relay| {
            now.saturating_duration_since(relay.received_at) <= SUCCESSORS_LIFETIME
        });
        let is_before = |rank: &u64| *rank < self.own_rank;
        let (hosts, zone) = (self.hosts.borrow(), &self.own_host.zone);
        let ranks = match named {
            // all named ones come first, so others may too
            Some(relay) if relay.successor_ranks.iter().all(is_before) => hosts.ranks(zone),
            Some(relay) => relay.successor_ranks.clone(),
            None => hosts.running_ranks(zone, now),
        };
        ranks.iter().copied().filter(is_before).count() as u32
    }

    /// Whether the registry was read or another host was heard of.
    fn knows_hosts(&self) -> bool {
        self.fleet_size.borrow().registry_was_read() || self.hosts.borrow().len() > 0
    }

    /// Whether this host may read a log from the store itself, after this time without a usable
    /// relay.
    pub(crate) fn may_read_store(&self, kind: FeedKind, without_relay: Duration) -> bool {
        let turn = StoreTurn {
            without_relay,
            hosts_before: self.hosts_before(Instant::now()),
            knows_hosts: self.knows_hosts(),
            copy_age: self.published_feed(kind).borrow().confirmation_age(BootInstant::now()),
            max_copy_age: self.max_age(kind),
        };
        self.role.is_relay() || turn.has_come()
    }

    /// Records that this host's copy of a log was current at a time.
    pub(crate) fn confirm_feed(&self, kind: FeedKind, at: BootInstant, continuity: Continuity) {
        self.published_feed(kind).borrow_mut().confirm(at, continuity);
        if self.relay.borrow().is_none() && !self.role.is_relay() {
            // this host may be the first of its zone that can relay
            self.round_wanted.notify_one();
        }
    }

    /// Number of hosts of the zone whose calls to the store come before those of this host.
    pub(crate) fn hosts_before_own_turn(&self) -> u32 {
        self.hosts_before(Instant::now())
    }

    /// Place of this host in the order of the IDs of all known hosts, from 0 to 1.
    pub(crate) fn own_place(&self) -> f64 {
        self.fleet_size.borrow().place_of(&self.own_host.host_id)
    }

    /// Decides whether this host relays and logs a change. Returns the decision.
    pub(super) fn update_relay_role(&self) -> bool {
        let now = BootInstant::now();
        let is_changed = self.role.update(&RoleInputs {
            knows_hosts: self.knows_hosts(),
            hosts_before: self.hosts_before(Instant::now()),
            own_confirmation_age: self.config_feed.borrow().confirmation_age(now),
            max_confirmation_age: self.max_ages.config,
        });
        let is_relay = self.role.is_relay();
        if is_changed {
            let age = OptionalMillis(self.config_feed.borrow().confirmation_age(now));
            let hosts = self.hosts.borrow().len();
            event!("relay_changed", "relays={is_relay} config_age_ms={age} hosts={hosts}");
        }
        is_relay
    }

    /// Returns the messages of one gossip round with their receivers. A full round also
    /// reaches hosts that sent nothing lately.
    pub(crate) fn gossip_messages(
        &self,
        own_loads: &[EndpointLoad],
        is_full_round: bool,
    ) -> Vec<(SocketAddr, GossipMessage)> {
        let now = Instant::now();
        self.hosts.borrow_mut().expire(now);
        self.prefix_uses.borrow_mut().expire(now);
        self.fleet_size.borrow_mut().expire(now);
        if self.update_relay_role() {
            self.relay_messages(own_loads, is_full_round || self.role.is_new_relay())
        } else {
            self.report_messages(own_loads, is_full_round)
        }
    }

    /// Address of the relay, if it was heard recently.
    fn followed_relay_address(&self) -> Option<SocketAddr> {
        let relay = self.relay.borrow();
        let followed =
            relay.as_ref().filter(|followed| followed.received_at.elapsed() <= RELAY_TIMEOUT);
        followed.map(|followed| followed.gossip_address)
    }

    /// Returns the relay, or the hosts that may be the relay.
    fn report_targets(&self, is_full_round: bool) -> Vec<SocketAddr> {
        match self.followed_relay_address() {
            Some(relay) => vec![relay],
            None => self.hosts.borrow().report_targets(&self.own_host.zone, is_full_round),
        }
    }

    /// Tells other hosts that an endpoint has said that it leaves.
    pub(crate) fn report_departure(&self, departure: Departure) {
        self.departure_reports.borrow_mut().add(departure, Instant::now());
        self.round_wanted.notify_one();
    }

    /// Tells the hosts behind this relay of a departure that this host did not know of.
    pub(super) fn forward_departure(&self, departure: Departure) {
        if self.is_relay() {
            self.report_departure(departure);
        }
    }

    /// The departures that this host reports now.
    pub(super) fn departures_to_report(&self) -> Vec<Departure> {
        self.departure_reports.borrow_mut().current(Instant::now())
    }

    /// Returns the hosts to which this host reports prompt parts and departures: its relay or, if
    /// this host relays, the hosts of its zone and the relays of the others.
    pub(super) fn fleet_report_targets(&self, is_full_round: bool) -> Vec<SocketAddr> {
        if !self.is_relay() {
            return self.report_targets(is_full_round);
        }
        let hosts = self.hosts.borrow();
        let zone = &self.own_host.zone;
        let in_zone = hosts.status_targets(zone, is_full_round, Instant::now());
        let mut targets = hosts.other_zone_relays(zone, is_full_round);
        targets.extend(in_zone.iter().map(|target| target.address));
        targets
    }

    /// Returns the load report of this host, for the relay or the hosts that may be the relay.
    fn report_messages(
        &self,
        own_loads: &[EndpointLoad],
        is_full_round: bool,
    ) -> Vec<(SocketAddr, GossipMessage)> {
        let targets = self.report_targets(is_full_round);
        self.other_loads.record_report(own_loads);
        let report = LoadReport {
            host: self.own_host.clone(),
            sent_at_ms: self.report_clock.timestamp_ms(),
            loads: own_loads.to_vec(),
            prefixes: self.prefix_uses.borrow_mut().take_own(),
        };
        let message = GossipMessage::LoadReport(report);
        targets.into_iter().map(|address| (address, message.clone())).collect()
    }

    /// Returns the sums of this zone for other zones, and a status for each host of this zone.
    fn relay_messages(
        &self,
        own_loads: &[EndpointLoad],
        is_full_round: bool,
    ) -> Vec<(SocketAddr, GossipMessage)> {
        let now = Instant::now();
        let hosts = self.hosts.borrow();
        let sums = FleetLoads::sum(&hosts, own_loads, now);
        let uses = self.prefix_uses.borrow_mut().take_relayed();
        let zone_loads = ZoneLoads {
            host: self.own_host.clone(),
            hosts: sums.zone_hosts,
            loads: sums.zone.to_loads(),
            prefixes: uses.of_zone,
        };
        let mut messages: Vec<(SocketAddr, GossipMessage)> = hosts
            .other_zone_relays(&self.own_host.zone, is_full_round)
            .into_iter()
            .map(|address| (address, GossipMessage::ZoneLoads(zone_loads.clone())))
            .collect();
        let boot_now = BootInstant::now();
        let mut successor_ranks = hosts.running_ranks(&self.own_host.zone, now);
        successor_ranks.truncate(MAX_SUCCESSORS);
        for target in hosts.status_targets(&self.own_host.zone, is_full_round, now) {
            let mut loads = sums.fleet.clone();
            loads.subtract(target.reported_loads);
            let status = RelayStatus {
                host: self.own_host.clone(),
                echo_ms: target.echo_ms,
                config: self.config_feed.borrow().status(boot_now),
                endpoints: self.endpoint_feed.borrow().status(boot_now),
                fleet_hosts: sums.fleet_hosts,
                successor_ranks: successor_ranks.clone(),
                loads: loads.to_loads(),
                prefixes: uses.of_all.clone(),
            };
            messages.push((target.address, GossipMessage::RelayStatus(status)));
        }
        drop(hosts);
        self.set_other_loads(sums.others, sums.fleet_hosts, now);
        messages
    }
}

fn config_age(status: &RelayStatus) -> Option<Duration> {
    status.config.confirmed_age_ms.map(Duration::from_millis)
}
