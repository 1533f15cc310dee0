mod log_client;
mod log_error;
mod log_metrics;

pub(crate) use {log_client::LogClient, log_error::LogError};
