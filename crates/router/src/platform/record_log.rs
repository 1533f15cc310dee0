use {
    super::{LogClient, LogError},
    mango_wire::{Offset, platform::ReadReply},
    std::time::{Duration, Instant},
};

/// The platform's append-only log, as the modules that write records use it.
pub(crate) trait RecordLog: Send + Sync + 'static {
    /// Appends one record and returns its offset.
    fn append(&self, stream: &str, body: &str, deadline: Instant) -> Result<Offset, LogError>;
    /// Reads records of one stream from an offset on; waits up to `wait` for the first.
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
        Self::append(self, stream, body, deadline)
    }

    fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
        deadline: Instant,
    ) -> Result<ReadReply, LogError> {
        Self::read(self, stream, from, wait, deadline)
    }
}
