mod authorities;
mod config_peers;
mod engine_resources;
mod engine_watch;
mod engine_watches;
mod gossiper;
mod handle;
mod maintenance;
mod message_handler;
mod parts;
mod spawn;
mod state_dump;
#[cfg(test)]
mod tests;
mod topology;
mod types;

pub(crate) use {
    engine_resources::EngineResources,
    types::{AdmissionOfRouter, ClaimsOfRouter},
};
pub use {handle::RouterHandle, spawn::Router};
