use {
    crate::placement::PrefixTable,
    mango_wire::gossip::PrefixUse,
    std::{mem::take, time::Instant},
};

/// Endpoints that cache a prompt prefix, according to the uses by all hosts, and the uses that
/// are still to be sent to other hosts.
#[derive(Debug, Default)]
pub(super) struct PrefixUses {
    table: PrefixTable,
    /// Uses by this host, to be sent in the next round.
    own: Vec<PrefixUse>,
    /// Uses by other hosts of the zone, to be forwarded while this host relays.
    of_zone: Vec<PrefixUse>,
    /// Uses by hosts of other zones, to be forwarded while this host relays.
    of_other_zones: Vec<PrefixUse>,
}

/// Uses that a relay forwards in one round.
pub(super) struct RelayedUses {
    /// Uses in its own zone, for the other zones.
    pub(super) of_zone: Vec<PrefixUse>,
    /// Uses in all zones, for the hosts of its own zone.
    pub(super) of_all: Vec<PrefixUse>,
}

impl PrefixUses {
    /// Whether any host sent a prefix to an endpoint so recently that the endpoint should still
    /// cache it.
    pub(super) fn holds(&self, prefix: u64, endpoint: u32, now: Instant) -> bool {
        self.table.holds(prefix, endpoint, now)
    }

    /// Records that this host sends a prefix to an endpoint.
    pub(super) fn record_own(&mut self, prefix: u64, endpoint: u32, now: Instant) {
        if self.table.record_local_use(prefix, endpoint, now) {
            self.own.push(PrefixUse { prefix, endpoint });
        }
    }

    /// Records uses by other hosts, and queues them for forwarding if this host relays.
    pub(super) fn record_remote(
        &mut self,
        uses: &[PrefixUse],
        is_from_own_zone: bool,
        is_relay: bool,
        now: Instant,
    ) {
        for PrefixUse { prefix, endpoint } in uses {
            self.table.record_peer_use(*prefix, *endpoint, now);
        }
        if is_relay {
            let queue = if is_from_own_zone { &mut self.of_zone } else { &mut self.of_other_zones };
            queue.extend_from_slice(uses);
        }
    }

    /// Removes the endpoints that may have evicted a prefix.
    pub(super) fn expire(&mut self, now: Instant) {
        self.table.expire(now);
    }

    /// Takes the uses by this host, for its relay.
    pub(super) fn take_own(&mut self) -> Vec<PrefixUse> {
        take(&mut self.own)
    }

    /// Takes the uses that this host forwards as a relay.
    pub(super) fn take_relayed(&mut self) -> RelayedUses {
        let mut of_zone = take(&mut self.own);
        of_zone.append(&mut self.of_zone);
        let mut of_all = of_zone.clone();
        of_all.append(&mut self.of_other_zones);
        RelayedUses { of_zone, of_all }
    }
}
