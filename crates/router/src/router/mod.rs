mod authorities;
mod down_host_tracker;
mod engine_resources;
mod engine_watch;
mod engine_watches;
mod gossiper;
mod handle;
mod kv_mover;
mod load_tickets;
mod maintenance;
mod message_handler;
mod order_worker;
mod peer_snapshot_source;
mod placement_steps;
mod router_parts;
mod spawn;
mod spread_group;
mod state_dump;
#[cfg(test)]
mod tests;
mod topology;
mod types;

pub(crate) use {
    engine_resources::EngineResources,
    topology::topology,
    types::{RouterAdmission, RouterClaims},
};
pub use {handle::RouterHandle, spawn::Router};
