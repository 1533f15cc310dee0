//! Selects the loads that are sent to other hosts before the next regular round.
//!
//! Load pattern: the traffic of one team jumps. Hundreds of hosts send a few requests each to the
//! endpoints that hold the team's prompts, all within the age of the last load reports, by which
//! these endpoints are idle. A load that rises is therefore sent on within milliseconds: by a host
//! to its relay, and by the relays to everyone if it is clearly above the mean of its service.

use {
    super::load_sums::LoadSums,
    mango_wire::gossip::EndpointLoad,
    std::{cell::RefCell, collections::BTreeSet, mem::take},
    tokio::sync::Notify,
};

/// Loads above this multiple of the mean of the service, plus `NOTABLE_EXCESS`, are sent to all
/// hosts at once.
const NOTABLE_FACTOR: f64 = 1.2;
/// Requests above the mean that are not worth a message.
const NOTABLE_EXCESS: f64 = 1.5;

/// Endpoints whose load rose since it was last sent.
#[derive(Default)]
pub(crate) struct RisingLoads {
    endpoints: RefCell<BTreeSet<u32>>,
    recorded: Notify,
}

impl RisingLoads {
    pub(crate) fn record(&self, endpoint: u32) {
        if self.endpoints.borrow_mut().insert(endpoint) {
            self.recorded.notify_one();
        }
    }

    /// Takes the endpoints that were recorded since the last call.
    pub(super) fn take(&self) -> BTreeSet<u32> {
        take(&mut self.endpoints.borrow_mut())
    }

    /// Waits until an endpoint is recorded.
    pub(super) async fn wait(&self) {
        while self.endpoints.borrow().is_empty() {
            self.recorded.notified().await;
        }
    }
}

/// The loads of those of the endpoints that are clearly above the mean of their service. `services`
/// lists the endpoints of each service.
pub(super) fn notable_loads(
    rising: &BTreeSet<u32>,
    loads: &LoadSums,
    services: &[Vec<u32>],
) -> Vec<EndpointLoad> {
    let mut notable = Vec::new();
    for endpoints in services {
        let total: u32 = endpoints.iter().map(|endpoint| loads.requests(*endpoint)).sum();
        let mean = f64::from(total) / endpoints.len().max(1) as f64;
        let min_load = mean * NOTABLE_FACTOR + NOTABLE_EXCESS;
        let of_service = endpoints.iter().filter(|endpoint| rising.contains(endpoint));
        notable.extend(
            of_service
                .map(|&endpoint| EndpointLoad { endpoint, requests: loads.requests(endpoint) })
                .filter(|load| f64::from(load.requests) >= min_load),
        );
    }
    notable
}
