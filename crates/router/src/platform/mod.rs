mod log_client;
mod log_error;
mod log_metrics;
mod record_log;

pub(crate) use {log_client::LogClient, log_error::LogError, record_log::RecordLog};
