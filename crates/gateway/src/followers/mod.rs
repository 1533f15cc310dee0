//! Keeps this host's copies of the store's logs up to date: the configuration and the endpoints.

mod agreement;
mod config_sink;
mod confirmations;
#[cfg(test)]
mod copy_host;
mod departed_endpoints;
#[cfg(test)]
mod departed_endpoints_tests;
mod doubtful_records;
#[cfg(test)]
mod doubtful_records_tests;
mod endpoint_sink;
#[cfg(test)]
mod endpoint_sink_tests;
mod feed_health;
mod follower;
mod known_records;
mod log_copy;
#[cfg(test)]
mod log_copy_tests;
#[cfg(test)]
mod older_copy_tests;
mod record_sink;
#[cfg(test)]
mod relay_tests;
#[cfg(test)]
mod tests;
mod unreadable_records;
mod unsettled_evacuations;
#[cfg(test)]
mod zone_tests;

pub(crate) use {config_sink::ConfigSink, endpoint_sink::EndpointSink, follower::Follower};
pub use {config_sink::OperatorRecords, record_sink::RecordDecoder};
