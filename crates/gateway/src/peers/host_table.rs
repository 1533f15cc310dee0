use {
    super::{load_sums::LoadSums, relay_election::rank},
    mango_wire::gossip::{EndpointLoad, HostRecord, LoadReport, ZoneLoads},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Load reports and zone sums older than this are ignored.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);
/// Hosts that sent nothing for this long are removed.
const HOST_LIFETIME: Duration = Duration::from_secs(120);
/// A host counts as running for this long after it was last heard.
const RUNNING_TIME: Duration = Duration::from_secs(3);
/// A host that is only known from the registry counts as running for this long: then all running
/// hosts of the zone were heard.
const UNHEARD_TIME: Duration = Duration::from_secs(1);

/// The other hosts and zones, with the loads that they last reported.
#[derive(Debug, Default)]
pub(super) struct HostTable {
    hosts: BTreeMap<String, KnownHost>,
    zones: BTreeMap<String, KnownZone>,
}

#[derive(Debug)]
struct KnownHost {
    zone: String,
    /// Rank in the election of the zone's relay; the lowest rank is the best.
    rank: u64,
    gossip_address: SocketAddr,
    /// When the host was added, or last heard.
    last_seen_at: Instant,
    /// Whether the host was heard, not only read from the registry.
    is_heard: bool,
    report: Option<HostReport>,
}

#[derive(Debug)]
struct HostReport {
    received_at: Instant,
    /// Timestamp by the sender's own clock, which only the sender can interpret.
    sent_at_ms: u64,
    loads: Vec<EndpointLoad>,
}

/// Loads of another zone, summed by its relay.
#[derive(Debug)]
struct KnownZone {
    relay_address: SocketAddr,
    received_at: Instant,
    /// Number of hosts whose loads are summed.
    hosts: u32,
    loads: Vec<EndpointLoad>,
}

impl KnownHost {
    fn is_running(&self, now: Instant) -> bool {
        let lifetime = if self.is_heard { RUNNING_TIME } else { UNHEARD_TIME };
        is_within(self.last_seen_at, lifetime, now)
    }
}

/// A host to which the relay sends its status.
pub(super) struct StatusTarget<'a> {
    pub(super) address: SocketAddr,
    /// Timestamp of the host's last report, which the status returns.
    pub(super) echo_ms: Option<u64>,
    /// Loads that the host itself reported; the sums sent to it leave them out.
    pub(super) reported_loads: &'a [EndpointLoad],
}

impl HostTable {
    /// Adds a host, or updates its rank, address and last-seen time. Returns whether the
    /// host is new. A host whose address cannot be parsed is ignored.
    pub(super) fn upsert_host(&mut self, host: &HostRecord, is_heard: bool, now: Instant) -> bool {
        let Ok(gossip_address) = host.gossip_address.parse() else { return false };
        let known = self.hosts.get_mut(&host.host_id);
        let is_new = known.is_none();
        match known {
            Some(known) => {
                known.rank = rank(host);
                known.gossip_address = gossip_address;
                known.last_seen_at = now;
                known.is_heard |= is_heard;
            }
            None => {
                let zone = host.zone.clone();
                let rank = rank(host);
                let known = KnownHost {
                    zone,
                    rank,
                    gossip_address,
                    last_seen_at: now,
                    is_heard,
                    report: None,
                };
                self.hosts.insert(host.host_id.clone(), known);
            }
        }
        is_new
    }

    /// Stores a load report if its host is known. Returns whether it is the first one lately.
    pub(super) fn add_report(&mut self, report: LoadReport, now: Instant) -> bool {
        let Some(known) = self.hosts.get_mut(&report.host.host_id) else { return false };
        let is_first = known
            .report
            .as_ref()
            .is_none_or(|last| !is_within(last.received_at, REPORT_LIFETIME, now));
        let LoadReport { sent_at_ms, loads, .. } = report;
        known.report = Some(HostReport { received_at: now, sent_at_ms, loads });
        is_first
    }

    /// Stores the loads of another zone if the address of its relay can be parsed.
    pub(super) fn add_zone_loads(&mut self, message: ZoneLoads, now: Instant) {
        if let Ok(relay_address) = message.host.gossip_address.parse() {
            let ZoneLoads { hosts, loads, .. } = message;
            let zone = KnownZone { relay_address, received_at: now, hosts, loads };
            self.zones.insert(message.host.zone, zone);
        }
    }

    /// Updates some loads of a host's last report, if there is one.
    pub(super) fn update_report(&mut self, host_id: &str, loads: &[EndpointLoad]) {
        let report = self.hosts.get_mut(host_id).and_then(|known| known.report.as_mut());
        if let Some(report) = report {
            update_loads(&mut report.loads, loads);
        }
    }

    /// Updates some loads of another zone, if its relay is known.
    pub(super) fn update_zone_loads(&mut self, zone: &str, loads: &[EndpointLoad]) {
        if let Some(known) = self.zones.get_mut(zone) {
            update_loads(&mut known.loads, loads);
        }
    }

    /// Removes hosts and zones that were not seen within their lifetime.
    pub(super) fn expire(&mut self, now: Instant) {
        self.hosts.retain(|_, host| is_within(host.last_seen_at, HOST_LIFETIME, now));
        self.zones.retain(|_, zone| is_within(zone.received_at, REPORT_LIFETIME, now));
    }

    /// Returns the number of hosts of this zone with a recent report, and the sum of
    /// their loads.
    pub(super) fn zone_sums(&self, now: Instant) -> (u32, LoadSums) {
        let mut sums = LoadSums::default();
        let mut hosts = 0;
        for report in self.fresh_reports(now) {
            sums.add(&report.loads);
            hosts += 1;
        }
        (hosts, sums)
    }

    /// Adds the loads of the other zones to `sums`. Returns the number of their hosts.
    pub(super) fn add_other_zone_loads(&self, sums: &mut LoadSums, now: Instant) -> u32 {
        let mut hosts = 0;
        for zone in self.zones.values() {
            if is_within(zone.received_at, REPORT_LIFETIME, now) {
                sums.add(&zone.loads);
                hosts += zone.hosts;
            }
        }
        hosts
    }

    fn fresh_reports(&self, now: Instant) -> impl Iterator<Item = &HostReport> {
        self.hosts
            .values()
            .filter_map(|host| host.report.as_ref())
            .filter(move |report| is_within(report.received_at, REPORT_LIFETIME, now))
    }

    /// Returns the hosts of a zone that sent a recent report, or all hosts of the zone if
    /// `include_silent`.
    pub(super) fn status_targets(
        &self,
        zone: &str,
        include_silent: bool,
        now: Instant,
    ) -> Vec<StatusTarget<'_>> {
        let in_zone = self.hosts.values().filter(|host| host.zone == zone);
        in_zone
            .filter_map(|host| {
                let report = host
                    .report
                    .as_ref()
                    .filter(|report| is_within(report.received_at, REPORT_LIFETIME, now));
                (include_silent || report.is_some()).then(|| StatusTarget {
                    address: host.gossip_address,
                    echo_ms: report.map(|report| report.sent_at_ms),
                    reported_loads: report.map_or(&[], |report| &report.loads),
                })
            })
            .collect()
    }

    /// Returns where to send load reports while the relay is unknown: the address of the
    /// best-ranked other host of a zone, or the addresses of all of them if `to_all`.
    pub(super) fn report_targets(&self, zone: &str, to_all: bool) -> Vec<SocketAddr> {
        let mut in_zone: Vec<(u64, SocketAddr)> = self
            .hosts
            .values()
            .filter(|host| host.zone == zone)
            .map(|host| (host.rank, host.gossip_address))
            .collect();
        in_zone.sort_unstable();
        let count = if to_all { in_zone.len() } else { 1 };
        in_zone.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Returns the addresses of the other zones' relays. If `include_unknown`, every host
    /// of a zone whose relay is not known is added.
    pub(super) fn other_zone_relays(
        &self,
        own_zone: &str,
        include_unknown: bool,
    ) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self
            .zones
            .iter()
            .filter(|(name, _)| *name != own_zone)
            .map(|(_, zone)| zone.relay_address)
            .collect();
        if include_unknown {
            let unknown = self
                .hosts
                .values()
                .filter(|host| host.zone != own_zone && !self.zones.contains_key(&host.zone));
            addresses.extend(unknown.map(|host| host.gossip_address));
        }
        addresses
    }

    /// Returns the ranks of the known hosts of a zone.
    pub(super) fn ranks(&self, zone: &str) -> Vec<u64> {
        self.hosts.values().filter(|host| host.zone == zone).map(|host| host.rank).collect()
    }

    /// Returns the ranks of the running hosts of a zone, the best first.
    pub(super) fn running_ranks(&self, zone: &str, now: Instant) -> Vec<u64> {
        let in_zone = self.hosts.values().filter(|host| host.zone == zone);
        let mut ranks: Vec<u64> =
            in_zone.filter(|host| host.is_running(now)).map(|host| host.rank).collect();
        ranks.sort_unstable();
        ranks
    }

    pub(super) fn len(&self) -> usize {
        self.hosts.len()
    }
}

/// Replaces the loads of some endpoints.
fn update_loads(known: &mut Vec<EndpointLoad>, changed: &[EndpointLoad]) {
    for load in changed {
        match known.iter_mut().find(|known| known.endpoint == load.endpoint) {
            Some(known) => known.requests = load.requests,
            None => known.push(load.clone()),
        }
    }
}

fn is_within(at: Instant, lifetime: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) <= lifetime
}
