//! Test fleets on loopback and load-generating clients for tests, benches and the
//! `local_fleet` example.

mod bench_result;
mod caller;
mod fleet;
mod fleet_options;
mod latency_summary;
mod line_fit;
mod objects;
mod open_loop_load;
mod process_fleet;
mod router_process;
mod settings;

pub use {
    bench_result::BenchResult,
    caller::{Caller, ChatReply, ChatTurn, ServiceReply},
    fleet::{ENGINE_POOL, LocalFleet, SERVICE_POOL, fetch_state, operator_get},
    fleet_options::FleetOptions,
    latency_summary::LatencySummary,
    line_fit::LineFit,
    objects::{ObjectsBuilder, engine_endpoint, service_endpoint},
    open_loop_load::{PlannedTurn, TurnOutcome, run_open_loop_load},
    process_fleet::ProcessFleet,
    router_process::RouterProcess,
    settings::{OPERATOR_TOKEN, router_settings},
};
