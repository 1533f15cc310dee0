//! Admission control: the host that owns an engine grants a permit for each request
//! that may run there. Entry routers, which receive the requests of callers, ask the
//! owner for permits.

mod acquire_result;
mod authority;
mod context;
mod decision;
mod decision_log;
mod deficit_round_robin;
mod demotion;
mod engine_core;
mod engine_grants;
mod engine_permits;
mod engine_state;
mod ewma;
mod fair_queue;
mod handle;
mod health_model;
mod length_model;
mod length_stats;
mod limits;
mod locked_engine;
mod metrics;
mod pending_request;
mod permit;
mod permit_table;
mod registry;
mod reply;
mod team_queue;
#[cfg(test)]
mod tests;
mod wait_model;
mod warm_chats;

pub(crate) use {
    acquire_result::AcquireResult, authority::Authority, demotion::Demotion,
    engine_state::EngineState, fair_queue::FairQueue, handle::Admission, health_model::HealthModel,
    length_model::LengthModel, locked_engine::LockedEngine, permit::Permit, reply::Reply,
    warm_chats::WarmChats,
};
