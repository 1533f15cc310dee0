use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// How long a host counts after it was last heard of, and a reported number of hosts after the
/// report: two parts of a fleet that cannot reach each other for this long each count the other.
const COUNTED_TIME: Duration = Duration::from_secs(3_600);

/// Number of hosts among which a limit of the whole fleet is divided. Counts too many hosts
/// rather than too few: those of the registry, whether they run or not, and those heard of since.
#[derive(Debug, Default)]
pub(super) struct FleetSize {
    registry_was_read: bool,
    /// Until when a host counts, by its id.
    counted_until: HashMap<Box<str>, Instant>,
    /// Largest number of hosts in a recent report of a relay.
    reported_hosts: u32,
    reported_until: Option<Instant>,
}

impl FleetSize {
    /// Records that the host table now has all hosts of the registry.
    pub(super) fn record_registry(&mut self) {
        self.registry_was_read = true;
    }

    /// Records a host of the registry, or one that sent a message.
    pub(super) fn record_host(&mut self, host_id: &str, now: Instant) {
        match self.counted_until.get_mut(host_id) {
            Some(until) => *until = now + COUNTED_TIME,
            None => drop(self.counted_until.insert(host_id.into(), now + COUNTED_TIME)),
        }
    }

    /// Records the number of hosts that a relay counts, this host included.
    pub(super) fn record_report(&mut self, hosts: u32, now: Instant) {
        let is_held = self.reported_until.is_some_and(|until| now <= until);
        if !is_held || hosts >= self.reported_hosts {
            self.reported_hosts = hosts;
            self.reported_until = Some(now + COUNTED_TIME);
        }
    }

    /// Removes the hosts that no longer count.
    pub(super) fn expire(&mut self, now: Instant) {
        self.counted_until.retain(|_, until| now <= *until);
    }

    /// The number of hosts, this one included; `None` until the registry was read, since the
    /// hosts that were heard of may be few of many.
    pub(super) fn hosts(&self) -> Option<u32> {
        let counted = self.counted_until.len() as u32 + 1;
        self.registry_was_read.then_some(counted.max(self.reported_hosts))
    }
}
