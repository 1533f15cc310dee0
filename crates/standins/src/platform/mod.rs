mod fault_injector;
mod host_history;
mod log_counters;
mod log_store;
mod outage;
mod platform_service;
mod platform_standin;
mod weight_rate_limiter;

pub(crate) use {
    fault_injector::{FaultInjector, Unavailable},
    host_history::HostHistory,
    log_store::LogStore,
    platform_service::PlatformService,
    weight_rate_limiter::WeightRateLimiter,
};
pub use {log_counters::LogCounters, outage::Outage, platform_standin::PlatformStandin};
