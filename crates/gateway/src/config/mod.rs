mod caller_limits;
mod config_state;
mod evacuations;
mod interactive;
mod operator_key;
mod request_kind;
mod route;
mod routing_config;
mod service;
mod team;
#[cfg(test)]
mod tests;

pub use {
    caller_limits::CallerLimits,
    operator_key::OperatorKey,
    request_kind::RequestKind,
    route::{Route, ServiceShare},
    routing_config::RoutingConfig,
    service::Service,
    team::{ApiKey, Team},
};
pub(crate) use {config_state::ConfigState, evacuations::Evacuations};
