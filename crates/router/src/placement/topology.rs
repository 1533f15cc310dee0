use super::{
    engine_spec::EngineSpec, pool_spec::PoolSpec, team_spec::TeamSpec, work_spec::WorkSpec,
};

/// The part of one version of the configuration that admission and placement use.
#[derive(Clone, Debug, Default)]
pub(crate) struct Topology {
    pub(crate) engines: Vec<EngineSpec>,
    pub(crate) pools: Vec<PoolSpec>,
    pub(crate) teams: Vec<TeamSpec>,
    pub(crate) works: Vec<WorkSpec>,
}
