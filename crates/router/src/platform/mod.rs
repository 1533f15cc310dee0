mod backoff;
mod confirmed_read;
mod host_list_client;
mod log_client;
mod log_error;
mod log_metrics;
mod log_tail;
#[cfg(test)]
mod memory_log;
mod record_log;
mod tail_sink;
#[cfg(test)]
mod tests;

pub(crate) use {
    backoff::Backoff, confirmed_read::ConfirmedRead, host_list_client::HostListClient,
    log_client::LogClient, log_error::LogError, log_tail::LogTail, record_log::RecordLog,
    tail_sink::TailSink,
};

#[cfg(test)]
pub(crate) use memory_log::MemoryLog;
