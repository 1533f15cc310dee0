mod fault_gate;
mod host_history;
mod log_counters;
mod log_store;
mod outage;
mod platform_service;
mod platform_standin;
mod weight_rate;

pub(crate) use {
    fault_gate::{FaultGate, Unavailable},
    host_history::HostHistory,
    log_store::LogStore,
    platform_service::PlatformService,
    weight_rate::WeightRate,
};
pub use {log_counters::LogCounters, outage::Outage, platform_standin::PlatformStandin};
