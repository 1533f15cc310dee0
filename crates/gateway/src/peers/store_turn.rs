//! Decides when a host without a usable relay may read a log from the store itself.
//!
//! Load pattern: all hosts of a fleet start at once, or lose their relay at once. If each of them
//! read the store, the calls would grow with the fleet and share the store's bandwidth. The hosts
//! of a zone take turns by their rank: the first few read at once, the first one becomes the relay,
//! and the others follow it before it is their turn.

use std::time::Duration;

/// Time for the registry to be read. After that, a host that knows no other reads by itself.
const REGISTRY_TIME: Duration = Duration::from_millis(1_000);
/// Time in which the first host in turn reads the store and reaches the others as their relay.
pub(super) const FIRST_TURN_TIME: Duration = Duration::from_millis(500);
/// Hosts of a zone that read at once: a small zone serves again sooner than its relay could reach
/// it, and one of them usually runs.
const FIRST_READERS: u32 = 4;
/// Each host waits this much longer than the one before it.
pub(super) const TURN_INTERVAL: Duration = Duration::from_millis(150);
/// Largest number of intervals that a host waits.
pub(super) const MAX_TURNS: u32 = 12;

/// What the turn of a host depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreTurn {
    /// Time since the host last had a usable relay, or since its start.
    pub(crate) without_relay: Duration,
    /// Number of running hosts of the zone whose turn comes earlier.
    pub(crate) hosts_before: u32,
    /// Whether the registry was read or another host was heard of.
    pub(crate) knows_hosts: bool,
    /// Time since the host's copy of the log was confirmed to be current; `None` if it has none.
    pub(crate) copy_age: Option<Duration>,
    /// Age from which on the copy is too old to wait.
    pub(crate) max_copy_age: Duration,
}

impl StoreTurn {
    pub(crate) fn has_come(&self) -> bool {
        if self.copy_age.is_some_and(|age| age >= self.max_copy_age) {
            return true;
        }
        if !self.knows_hosts {
            return self.without_relay >= REGISTRY_TIME;
        }
        self.hosts_before < FIRST_READERS || self.without_relay >= turn_delay(self.hosts_before)
    }
}

/// Time after which it is the turn of a host with this number of hosts before it.
pub(super) fn turn_delay(hosts_before: u32) -> Duration {
    match hosts_before {
        0 => Duration::ZERO,
        before => FIRST_TURN_TIME + TURN_INTERVAL * before.min(MAX_TURNS),
    }
}
