//! Elects the relay of a zone: the host that reads the store for the other hosts.
//!
//! Load pattern: if every host of a large fleet read the store, the calls would exceed
//! what the store is meant to serve. One host per zone reads the store and relays the records.
//! There is no vote: a host relays while it receives no status from a better-ranked
//! relay. Two hosts may relay for a moment, which only costs additional calls.

use {
    super::store_turn::{MAX_TURNS, TURN_INTERVAL, turn_delay},
    mango_wire::gossip::HostRecord,
    std::time::Duration,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// A relay that sent no status for this long is no longer followed.
pub(super) const RELAY_TIMEOUT: Duration = Duration::from_millis(800);

/// Returns the rank of a host in its zone; the host with the lowest rank relays. A host
/// with at least twice the bandwidth ranks before another, since the others read over its
/// link; a hash decides between hosts of similar bandwidth.
pub(super) fn rank(host: &HostRecord) -> u64 {
    let bandwidth_log2 = u64::from(host.link_mbps.max(1).ilog2());
    let hash = xxh3_64_with_seed(host.host_id.as_bytes(), xxh3_64(host.zone.as_bytes()));
    // upper 6 bits: bandwidth, more of it gives a lower rank; lower 58 bits: hash
    (63 - bandwidth_log2) << 58 | hash >> 6
}

/// Returns the size limit of a response to a peer, in bytes: small enough that a zone of
/// about 25 hosts reads the response over this host's link within about 0.2 s.
pub(super) fn max_response_bytes(link_mbps: u32) -> usize {
    link_mbps as usize * 1_024
}

/// Inputs of the decision whether this host relays.
#[derive(Clone, Copy, Debug)]
pub(super) struct ElectionInputs {
    /// Time since a better-ranked relay sent a status with a recent confirmation; `None` if none
    /// ever did.
    pub(super) since_better_relay: Option<Duration>,
    /// Time since the start of the process.
    pub(super) since_start: Duration,
    /// Whether the registry was read or another host was heard of.
    pub(super) knows_hosts: bool,
    /// Number of running hosts of the zone that would relay before this one.
    pub(super) hosts_before: u32,
    /// This host is about to stop.
    pub(super) is_stopping: bool,
    /// Time since this host's copy of the configuration log was confirmed to be current;
    /// None if it never was.
    pub(super) own_confirmation_age: Option<Duration>,
    /// Peers do not follow a relay whose confirmation is older than this.
    pub(super) max_confirmation_age: Duration,
}

/// Returns whether this host has to relay now.
pub(super) fn should_relay(inputs: &ElectionInputs) -> bool {
    let is_due = match inputs.since_better_relay {
        Some(since) => since > RELAY_TIMEOUT + TURN_INTERVAL * inputs.hosts_before.min(MAX_TURNS),
        None if inputs.knows_hosts => inputs.since_start >= turn_delay(inputs.hosts_before),
        None => inputs.since_start > RELAY_TIMEOUT,
    };
    !inputs.is_stopping
        && is_due
        && inputs.own_confirmation_age.is_some_and(|age| age <= inputs.max_confirmation_age)
}
