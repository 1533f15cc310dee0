use {
    super::{log_client::LogClient, log_error::LogError},
    mango_wire::{Offset, platform::ReadReply},
    std::time::{Duration, Instant},
};

/// Append-only log with streams of records.
pub(crate) trait RecordLog: Send + Sync + 'static {
    /// Appends one record and returns its offset.
    fn append(&self, stream: &str, body: &str, deadline: Instant) -> Result<Offset, LogError>;

    /// Reads records of one stream from an offset on, waiting up to `wait` for the first.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
        deadline: Instant,
    ) -> Result<ReadReply, LogError>;
}

impl RecordLog for LogClient {
    fn append(&self, stream: &str, body: &str, deadline: Instant) -> Result<Offset, LogError> {
        LogClient::append(self, stream, body, deadline)
    }

    fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
        deadline: Instant,
    ) -> Result<ReadReply, LogError> {
        LogClient::read(self, stream, from, wait, deadline)
    }
}
