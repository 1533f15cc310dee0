//! Sums the requests in flight that hosts report for each endpoint.
//!
//! Load pattern: many routers send to the same endpoints at once and each sees only its
//! own requests. An endpoint can then receive several times the mean load while every
//! router counts one or two requests there.

use {mango_wire::gossip::EndpointLoad, std::collections::BTreeMap};

/// Requests in flight by endpoint hash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct LoadSums(BTreeMap<u32, u32>);

impl LoadSums {
    pub(super) fn add(&mut self, loads: &[EndpointLoad]) {
        for load in loads {
            let sum = self.0.entry(load.endpoint).or_default();
            *sum = sum.saturating_add(load.requests);
        }
    }

    pub(super) fn subtract(&mut self, loads: &[EndpointLoad]) {
        for load in loads {
            if let Some(sum) = self.0.get_mut(&load.endpoint) {
                *sum = sum.saturating_sub(load.requests);
            }
        }
    }

    /// Replaces the sum of one endpoint.
    pub(super) fn set(&mut self, endpoint: u32, requests: u32) {
        self.0.insert(endpoint, requests);
    }

    pub(super) fn requests(&self, endpoint: u32) -> u32 {
        self.0.get(&endpoint).copied().unwrap_or(0)
    }

    pub(super) fn to_loads(&self) -> Vec<EndpointLoad> {
        self.0
            .iter()
            .filter(|(_, requests)| **requests > 0)
            .map(|(&endpoint, &requests)| EndpointLoad { endpoint, requests })
            .collect()
    }
}
