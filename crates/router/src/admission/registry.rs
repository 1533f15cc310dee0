use {
    super::locked_engine::LockedEngine,
    crate::placement::WorkSpec,
    mango_wire::{EndpointKey, TeamKey, WorkKey, config::WorkClass},
    std::{collections::HashMap, sync::Arc},
};

/// Expected tokens of work that this host's configuration does not contain yet.
const DEFAULT_EXPECTED_TOKENS: u32 = 64;

/// Engines, team weights and kinds of work of the configuration in force.
pub(crate) struct Registry<R> {
    pub(crate) engines: HashMap<EndpointKey, Arc<LockedEngine<R>>>,
    pub(crate) team_weights: HashMap<TeamKey, f64>,
    pub(crate) works: HashMap<WorkKey, WorkSpec>,
}

impl<R> Registry<R> {
    pub(crate) fn new() -> Self {
        Self { engines: HashMap::new(), team_weights: HashMap::new(), works: HashMap::new() }
    }

    /// Weight of a team; 1 if the team is unknown, because the entry router has a
    /// newer configuration than this host.
    pub(crate) fn team_weight(&self, team: TeamKey) -> f64 {
        self.team_weights.get(&team).copied().unwrap_or(1.0)
    }

    /// Specification of a kind of work; a default if the kind is unknown.
    pub(crate) fn work(&self, key: WorkKey) -> WorkSpec {
        let class = WorkClass::Normal;
        let unknown = WorkSpec { key, class, expected_tokens: DEFAULT_EXPECTED_TOKENS };
        self.works.get(&key).copied().unwrap_or(unknown)
    }
}
