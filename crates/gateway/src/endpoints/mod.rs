mod closed_times;
#[cfg(test)]
mod closed_times_tests;
mod departures;
mod directory;
mod endpoint;
mod endpoint_record;
mod health;
mod idle_connection;
mod idle_limit;
mod load_estimate;
mod overdue;
mod slow_start;
#[cfg(test)]
mod slow_start_tests;
#[cfg(test)]
mod tests;

pub(crate) use {
    directory::Directory,
    endpoint::{Endpoint, InFlightGuard},
    endpoint_record::RENEWAL_TIME,
    idle_connection::IdleConnection,
    idle_limit::IdleLimit,
    overdue::OverdueGuard,
    slow_start::ColdLimit,
};
pub use {
    endpoint_record::{EndpointId, EndpointRecord, EndpointState},
    load_estimate::LoadReport,
};
