use serde::{Deserialize, Serialize};

/// When a part of the handling of overload acts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Activation {
    /// While the configuration has an interactive route (`config::interactive`).
    #[default]
    ByTargets,
    On,
    Off,
}

/// Which parts of the handling of overload act.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OverloadSettings {
    /// Requests wait only as long as their response can still begin in time.
    pub timely_admission: Activation,
    /// Hosts tell each other their demand, and admit the same shares of it.
    pub fleet_demand: Activation,
    /// Hosts tell each other which endpoints do not respond.
    pub endpoint_outages: Activation,
    /// Placement weighs the speed of endpoints and the size of requests.
    pub crowded_placement: Activation,
}

/// The parts of the handling of overload that act now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct OverloadPolicy {
    pub(crate) timely_admission: bool,
    pub(crate) fleet_demand: bool,
    pub(crate) endpoint_outages: bool,
    pub(crate) crowded_placement: bool,
}

impl OverloadSettings {
    /// The policy under a configuration that has an interactive route or not.
    pub(crate) fn policy(&self, has_interactive_route: bool) -> OverloadPolicy {
        let is_active = |activation| match activation {
            Activation::ByTargets => has_interactive_route,
            Activation::On => true,
            Activation::Off => false,
        };
        OverloadPolicy {
            timely_admission: is_active(self.timely_admission),
            fleet_demand: is_active(self.fleet_demand),
            endpoint_outages: is_active(self.endpoint_outages),
            crowded_placement: is_active(self.crowded_placement),
        }
    }
}
