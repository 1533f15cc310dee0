use {
    super::load_sums::LoadSums,
    mango_wire::gossip::EndpointLoad,
    std::{
        cell::{Cell, RefCell},
        time::{Duration, Instant},
    },
};

/// Loads of other hosts are used for this long after the last update.
const LIFETIME: Duration = Duration::from_millis(1_200);

/// Requests in flight of the other hosts, as this host knows them.
#[derive(Default)]
pub(super) struct OtherLoads {
    sums: RefCell<LoadSums>,
    updated_at: Cell<Option<Instant>>,
    /// Own requests in flight that were last sent to the relay, by endpoint.
    reported: RefCell<LoadSums>,
}

impl OtherLoads {
    /// Replaces the loads by those of a regular message.
    pub(super) fn replace(&self, sums: LoadSums, now: Instant) {
        self.sums.replace(sums);
        self.updated_at.set(Some(now));
    }

    /// Replaces the loads with those that have risen since the last regular message.
    pub(super) fn replace_risen(&self, sums: LoadSums) {
        self.sums.replace(sums);
    }

    /// Updates some loads, of which a relay sent the totals of the fleet.
    pub(super) fn update_from_totals(&self, totals: &[EndpointLoad]) {
        let (reported, mut sums) = (self.reported.borrow(), self.sums.borrow_mut());
        for EndpointLoad { endpoint, requests } in totals {
            sums.set(*endpoint, requests.saturating_sub(reported.requests(*endpoint)));
        }
    }

    /// Records the own loads of a regular report to the relay.
    pub(super) fn record_report(&self, own_loads: &[EndpointLoad]) {
        let mut reported = LoadSums::default();
        reported.add(own_loads);
        self.reported.replace(reported);
    }

    /// Records own loads that were sent to the relay since the last regular report.
    pub(super) fn record_risen(&self, own_loads: &[EndpointLoad]) {
        let mut reported = self.reported.borrow_mut();
        own_loads.iter().for_each(|load| reported.set(load.endpoint, load.requests));
    }

    /// Requests of the other hosts at an endpoint; `None` without a recent regular message.
    pub(super) fn requests(&self, endpoint: u32) -> Option<u32> {
        let is_recent = self.updated_at.get().is_some_and(|at| at.elapsed() <= LIFETIME);
        is_recent.then(|| self.sums.borrow().requests(endpoint))
    }
}
