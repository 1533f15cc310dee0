use {
    super::engine_owner::EngineOwner,
    crate::placement::WorkSpec,
    mango_wire::{EndpointKey, TeamKey, WorkKey, config::WorkClass},
    std::{collections::HashMap, sync::Arc},
};

/// Tokens expected of a kind of work that is not configured here yet.
const DEFAULT_TOKENS: u32 = 64;

/// Engines, teams and kinds of work of the configuration in force.
pub(crate) struct Roster<R> {
    pub(crate) engines: HashMap<EndpointKey, Arc<EngineOwner<R>>>,
    pub(crate) team_weights: HashMap<TeamKey, f64>,
    pub(crate) works: HashMap<WorkKey, WorkSpec>,
}

impl<R> Roster<R> {
    pub(crate) fn new() -> Self {
        Self { engines: HashMap::new(), team_weights: HashMap::new(), works: HashMap::new() }
    }

    /// Weight of a team; 1 if the entry router's configuration is newer than ours.
    pub(crate) fn team_weight(&self, team: TeamKey) -> f64 {
        self.team_weights.get(&team).copied().unwrap_or(1.0)
    }

    pub(crate) fn work(&self, key: WorkKey) -> WorkSpec {
        let class = WorkClass::Normal;
        let unknown = WorkSpec { key, class, expected_tokens: DEFAULT_TOKENS };
        self.works.get(&key).copied().unwrap_or(unknown)
    }
}
