mod directory;
mod endpoint;
mod endpoint_record;
mod health;
mod idle_connection;
mod load_estimate;
mod rest_limit;
#[cfg(test)]
mod tests;

pub(crate) use {
    directory::Directory,
    endpoint::{Endpoint, InFlight},
    idle_connection::IdleConnection,
    rest_limit::RestLimit,
};
pub use {
    endpoint_record::{EndpointId, EndpointRecord, EndpointState},
    load_estimate::LoadReport,
};
