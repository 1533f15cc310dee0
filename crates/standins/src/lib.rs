//! Test doubles of the platform and of endpoints, in-process on loopback ports
//! chosen by the system. Spawning panics if a port or a thread is not to be had.

mod endpoint;
mod engine;
mod load;
mod platform;
mod proxy;
mod service;

pub use {
    engine::{
        EngineOptions, EngineStandin, Execution, ReceivedOrder, expected_answer, expected_token,
    },
    load::{EngineLoad, LoadSummary, LoadTracker},
    platform::{LogCounters, Outage, PlatformStandin},
    proxy::{Direction, FaultProxy},
    service::{ServiceExecution, ServiceOptions, ServiceStandin},
};
