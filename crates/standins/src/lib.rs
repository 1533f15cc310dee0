//! Test doubles of the platform (log, host list and weight store), of endpoints
//! (engines and services) and of the network between them. They run in the
//! process of the test, on loopback ports that the system assigns. Their `spawn`
//! functions panic if no port or thread is available.

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
