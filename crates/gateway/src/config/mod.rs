mod caller_limits;
mod config_state;
mod request_kind;
mod route;
mod routing_config;
mod service;
mod team;
#[cfg(test)]
mod tests;

pub(crate) use config_state::ConfigState;
pub use {
    caller_limits::CallerLimits,
    request_kind::RequestKind,
    route::{Route, ServiceShare},
    routing_config::RoutingConfig,
    service::Service,
    team::{ApiKey, Team},
};
