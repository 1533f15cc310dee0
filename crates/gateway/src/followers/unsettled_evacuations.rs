use std::{
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

/// Longest time for which evacuations are kept that an older copy of the store lacks; the operators
/// write them again, as they do the configuration.
const RENEWAL_TIME: Duration = Duration::from_secs(5);

/// Evacuated zones by the records of a store that has come back from an older copy. Until they are
/// settled, evacuations that are missing there stay in force.
#[derive(Debug)]
pub(super) struct UnsettledEvacuations {
    zones: BTreeSet<Rc<str>>,
    settled_at: Instant,
}

impl UnsettledEvacuations {
    pub(super) fn new(now: Instant) -> UnsettledEvacuations {
        UnsettledEvacuations { zones: BTreeSet::new(), settled_at: now + RENEWAL_TIME }
    }

    /// Replaces the zones by those of a complete listing.
    pub(super) fn replace_all(&mut self, listed: BTreeSet<Rc<str>>) {
        self.zones = listed;
    }

    /// Records that the operators have evacuated a zone.
    pub(super) fn begin(&mut self, zone: &Rc<str>) {
        self.zones.insert(zone.clone());
    }

    /// Records that the operators have taken an evacuation back.
    pub(super) fn end(&mut self, zone: &str) {
        self.zones.remove(zone);
    }

    /// The zones whose evacuation the store has.
    pub(super) fn zones(&self) -> &BTreeSet<Rc<str>> {
        &self.zones
    }

    /// When the evacuations end that were not written again.
    pub(super) fn settled_at(&self) -> Instant {
        self.settled_at
    }
}
