use super::{
    engine_spec::EngineSpec, pool_spec::PoolSpec, team_spec::TeamSpec, work_spec::WorkSpec,
};

/// What admission and placement need of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct Topology {
    pub(crate) engines: Vec<EngineSpec>,
    pub(crate) pools: Vec<PoolSpec>,
    pub(crate) teams: Vec<TeamSpec>,
    pub(crate) works: Vec<WorkSpec>,
}
