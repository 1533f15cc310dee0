//! Plans the order in which an entry router asks the owners of a pool's engines for a permit,
//! by the loads that these owners send to all hosts by gossip.

mod candidate;
mod candidate_plan;
mod engine_latency;
mod engine_spec;
mod free_engine;
mod load;
mod load_cell;
mod load_table;
mod planner;
mod pool_latency;
mod pool_load;
mod pool_member;
mod pool_spec;
mod pool_view;
mod rendezvous;
mod team_spec;
#[cfg(test)]
mod tests;
mod topology;
mod total_estimate;
mod work_spec;

pub(crate) use {
    candidate::Candidate,
    candidate_plan::CandidatePlan,
    engine_latency::EngineLatency,
    engine_spec::EngineSpec,
    free_engine::FreeEngine,
    load::Load,
    load_cell::LoadCell,
    load_table::LoadTable,
    planner::Planner,
    pool_latency::PoolLatency,
    pool_load::PoolLoad,
    pool_member::PoolMember,
    pool_spec::PoolSpec,
    pool_view::PoolView,
    rendezvous::{name_score, rank, rank_names, score},
    team_spec::TeamSpec,
    topology::Topology,
    total_estimate::TotalEstimate,
    work_spec::WorkSpec,
};
