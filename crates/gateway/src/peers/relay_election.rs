//! Decides which host of a zone reads the store for the others.
//!
//! Load pattern: every host of a large fleet reading the store for itself costs more
//! calls than the store may take. One host a zone reads and relays. Nobody votes: a
//! host relays while it hears no better-ranked relay, so two may relay for a moment,
//! which only costs calls.

use {
    mango_wire::gossip::HostRecord,
    std::time::Duration,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// A relay that was not heard for this long is passed over.
pub(super) const RELAY_TIMEOUT: Duration = Duration::from_millis(800);
/// Each host waits this much longer than the next better-ranked one, so that mostly
/// one takes over.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// Delays that a host waits at most.
const MAX_RANK_DELAYS: u32 = 12;

/// Rank of a host in its zone; the lowest relays. A host with at least twice the
/// bandwidth comes first: the others read from its link.
pub(super) fn rank(host: &HostRecord) -> u64 {
    let doublings = u64::from(host.link_mbps.max(1).ilog2());
    let hash = xxh3_64_with_seed(host.host_id.as_bytes(), xxh3_64(host.zone.as_bytes()));
    (63 - doublings) << 58 | hash >> 6
}

/// Largest answer to a peer, in bytes: small enough that a zone of some 25 hosts reads
/// it within about 0.2 s.
pub(super) fn max_answer_bytes(link_mbps: u32) -> usize {
    link_mbps as usize * 1_024
}

/// What a host knows when it decides whether to relay.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayInputs {
    /// Time since a better-ranked relay with a fresh confirmation was heard, or since
    /// the start of the process.
    pub(super) better_relay_silence: Duration,
    /// Better-ranked hosts of the zone that are known.
    pub(super) better_hosts: u32,
    /// This host is about to stop.
    pub(super) is_stopping: bool,
    /// Age of the own confirmation of the store.
    pub(super) own_age: Option<Duration>,
    /// A relay with an older confirmation is of no use.
    pub(super) max_age: Duration,
}

/// Whether the host is to relay now.
pub(super) fn relays(inputs: &RelayInputs) -> bool {
    let delays = inputs.better_hosts.min(MAX_RANK_DELAYS);
    !inputs.is_stopping
        && inputs.better_relay_silence > RELAY_TIMEOUT + RANK_DELAY * delays
        && inputs.own_age.is_some_and(|age| age <= inputs.max_age)
}
