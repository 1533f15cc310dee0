//! Decides which host of a zone reads the store for the others.
//!
//! Load pattern: every host of a large fleet reading the store for itself costs more
//! calls than the store may take. One host a zone reads and relays. Nobody votes: a
//! host relays while it hears no better-ranked relay, so two may relay for a moment,
//! which only costs calls.

use {std::time::Duration, xxhash_rust::xxh3::xxh3_64_with_seed};

/// A relay that was not heard for this long is passed over.
pub(super) const RELAY_TIMEOUT: Duration = Duration::from_millis(800);
/// A relay whose confirmation of the store is older than this is passed over.
pub(crate) const MAX_RELAY_AGE: Duration = Duration::from_millis(2_300);

/// Rank of a host in its zone; the lowest relays.
pub(super) fn rank(zone: &str, host_id: &str) -> u64 {
    xxh3_64_with_seed(host_id.as_bytes(), xxhash_rust::xxh3::xxh3_64(zone.as_bytes()))
}

/// What a host knows when it decides whether to relay.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayInputs {
    /// Time since a better-ranked relay with a fresh confirmation was heard, or since
    /// the start of the process.
    pub(super) better_relay_silence: Duration,
    /// Age of the own confirmation of the store.
    pub(super) own_age: Option<Duration>,
}

/// Whether the host is to relay now.
pub(super) fn relays(inputs: &RelayInputs) -> bool {
    inputs.better_relay_silence > RELAY_TIMEOUT
        && inputs.own_age.is_some_and(|age| age <= MAX_RELAY_AGE)
}
