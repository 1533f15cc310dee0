use {
    super::{log_client::LogClient, log_error::LogError},
    mango_wire::{Offset, platform::ReadReply},
    std::time::{Duration, Instant},
};

/// Append-only log of several streams that share one sequence of offsets.
pub(crate) trait RecordLog: Send + Sync + 'static {
    /// Appends one record and returns its offset.
    fn append(&self, stream: &str, body: &str, deadline: Instant) -> Result<Offset, LogError>;

    /// Reads records of one stream from the offset `from`. Waits up to `wait` for
    /// the first record; an empty response confirms that there was none.
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
        self.append(stream, body, deadline)
    }

    fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
        deadline: Instant,
    ) -> Result<ReadReply, LogError> {
        self.read(stream, from, wait, deadline)
    }
}
