use {
    crate::telemetry::{GatewayMetrics, event},
    std::{
        cell::RefCell,
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::Instant,
    },
};

/// Availability zones whose endpoints are to receive no requests until the operators take that back.
pub(crate) struct Evacuations {
    zones: RefCell<BTreeSet<Rc<str>>>,
    /// When the last evacuation of a zone was taken back.
    ended_at: RefCell<BTreeMap<Rc<str>, Instant>>,
    metrics: Rc<GatewayMetrics>,
}

impl Evacuations {
    pub(crate) fn new(metrics: Rc<GatewayMetrics>) -> Evacuations {
        Evacuations { zones: RefCell::default(), ended_at: RefCell::default(), metrics }
    }

    /// Evacuates a zone. Returns whether it was not evacuated before.
    pub(crate) fn begin(&self, zone: &Rc<str>) -> bool {
        let is_new = self.zones.borrow_mut().insert(zone.clone());
        if is_new {
            event!("zone_evacuated", "zone={zone}");
            self.update_metric();
        }
        is_new
    }

    /// Takes the evacuation of a zone back. Returns whether it was evacuated.
    pub(crate) fn end(&self, zone: &str, now: Instant) -> bool {
        let Some(zone) = self.zones.borrow_mut().take(zone) else { return false };
        event!("zone_restored", "zone={zone}");
        self.ended_at.borrow_mut().insert(zone, now);
        self.update_metric();
        true
    }

    /// Replaces the evacuated zones by a complete listing.
    pub(crate) fn replace_all(&self, zones: &BTreeSet<Rc<str>>, now: Instant) {
        let ended: Vec<_> = self.zones.borrow().difference(zones).cloned().collect();
        for zone in ended {
            self.end(&zone, now);
        }
        for zone in zones {
            self.begin(zone);
        }
    }

    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.borrow().contains(zone)
    }

    /// When the last evacuation of a zone was taken back; `None` if the zone is evacuated or never
    /// was.
    pub(crate) fn ended_at(&self, zone: &str) -> Option<Instant> {
        self.ended_at.borrow().get(zone).copied().filter(|_| !self.is_evacuated(zone))
    }

    /// The evacuated zones, for the state dump.
    pub(crate) fn zones(&self) -> Vec<Rc<str>> {
        self.zones.borrow().iter().cloned().collect()
    }

    fn update_metric(&self) {
        self.metrics.evacuated_zones.set(self.zones.borrow().len() as i64);
    }
}
