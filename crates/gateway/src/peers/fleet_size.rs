use {
    crate::statistics::HeldMaximum,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// How long a reported number of hosts is held before a lower one replaces it: a relay that has not
/// yet received the loads of the other zones counts too few hosts.
const REPORT_HOLD_TIME: Duration = Duration::from_secs(20);

/// How long a host counts after it was last heard of, and a reported number of hosts after the
/// report: two parts of a fleet that cannot reach each other for this long each count the other.
const COUNTED_TIME: Duration = Duration::from_secs(3_600);

/// The number of hosts of the fleet, as far as this host knows.
#[derive(Debug)]
pub(super) struct FleetSize {
    registry_was_read: bool,
    /// Until when a host counts, by its id.
    counted_until: HashMap<Box<str>, Instant>,
    /// Number of hosts that a relay counts lately.
    reporting: HeldMaximum<u32>,
    /// Largest number of hosts that a relay counted in a long time.
    ever_reporting: HeldMaximum<u32>,
}

impl Default for FleetSize {
    fn default() -> FleetSize {
        FleetSize {
            registry_was_read: false,
            counted_until: HashMap::new(),
            reporting: HeldMaximum::new(REPORT_HOLD_TIME),
            ever_reporting: HeldMaximum::new(COUNTED_TIME),
        }
    }
}

impl FleetSize {
    /// Records that the host table now has all hosts of the registry.
    pub(super) fn record_registry(&mut self) {
        self.registry_was_read = true;
    }

    pub(super) fn registry_was_read(&self) -> bool {
        self.registry_was_read
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
        self.reporting.record(hosts, now);
        self.ever_reporting.record(hosts, now);
    }

    /// Removes the hosts that no longer count.
    pub(super) fn expire(&mut self, now: Instant) {
        self.counted_until.retain(|_, until| now <= *until);
    }

    /// Place of a host in the order of the counted hosts' IDs, from 0 to 1.
    pub(super) fn place_of(&self, host_id: &str) -> f64 {
        let before = self.counted_until.keys().filter(|id| ***id < *host_id).count();
        before as f64 / (self.counted_until.len() + 1) as f64
    }

    /// Hosts that report to relays, this one included; 0 while it is unknown.
    pub(super) fn reporting_hosts(&self) -> u32 {
        self.reporting.value()
    }

    /// Hosts among which a limit of the whole fleet is divided, this one included. Counts too many
    /// rather than too few: those of the registry, whether they run or not, and those heard of
    /// since. `None` until the registry was read: the hosts heard of may be few of many.
    pub(super) fn hosts_sharing_limits(&self) -> Option<u32> {
        let counted = self.counted_until.len() as u32 + 1;
        self.registry_was_read.then_some(counted.max(self.ever_reporting.value()))
    }
}
