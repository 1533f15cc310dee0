//! Router that sends requests from callers to endpoints, which are model engines and
//! plain services.
//!
//! `docs/design.md` describes the modules, their state and their interfaces.
#![allow(dead_code, unused_imports)]

mod admission;
mod app;
pub mod bench_support;
mod callers;
mod claims;
mod config;
mod dispatch;
mod endpoint;
mod logging;
mod membership;
mod metrics;
mod operators;
mod orders;
mod ownership;
mod peer;
mod placement;
mod platform;
mod router;
mod settings;

pub use {
    app::run,
    router::{Router, RouterHandle},
};
