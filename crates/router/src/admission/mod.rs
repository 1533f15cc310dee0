mod acquire_result;
mod authority;
mod context;
mod decision;
mod decision_log;
mod demoted;
mod engine_core;
mod engine_grants;
mod engine_owner;
mod engine_permits;
mod engine_state;
mod ewma;
mod fair_queue;
mod handle;
mod health_model;
mod length_model;
mod length_stats;
mod limits;
mod metrics;
mod permit;
mod permit_table;
mod queued;
mod reply;
mod roster;
mod team_queue;
mod team_round;
#[cfg(test)]
mod tests;
mod wait_model;
mod warm_chats;

pub(crate) use {
    acquire_result::AcquireResult, authority::Authority, demoted::Demoted,
    engine_owner::EngineOwner, engine_state::EngineState, fair_queue::FairQueue, handle::Admission,
    health_model::HealthModel, length_model::LengthModel, permit::Permit, reply::Reply,
    warm_chats::WarmChats,
};
