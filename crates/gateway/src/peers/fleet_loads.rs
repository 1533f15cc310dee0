use {
    super::{host_table::HostTable, load_sums::LoadSums},
    mango_wire::gossip::EndpointLoad,
    std::time::Instant,
};

/// Loads that a relay knows, summed by whose requests they count.
pub(super) struct FleetLoads {
    /// Hosts of this zone, including the relay, and of all zones.
    pub(super) zone_hosts: u32,
    pub(super) fleet_hosts: u32,
    /// Requests of the hosts of this zone, including the relay.
    pub(super) zone: LoadSums,
    /// Requests of all hosts but the relay.
    pub(super) others: LoadSums,
    /// Requests of all hosts.
    pub(super) fleet: LoadSums,
}

impl FleetLoads {
    pub(super) fn sum(hosts: &HostTable, own_loads: &[EndpointLoad], now: Instant) -> FleetLoads {
        let (reporting, in_zone) = hosts.zone_sums(now);
        let (mut zone, mut others) = (in_zone.clone(), in_zone);
        let hosts_elsewhere = hosts.add_other_zone_loads(&mut others, now);
        zone.add(own_loads);
        let mut fleet = others.clone();
        fleet.add(own_loads);
        let zone_hosts = reporting + 1;
        FleetLoads { zone_hosts, fleet_hosts: zone_hosts + hosts_elsewhere, zone, others, fleet }
    }
}
