use {
    super::{confirmed_read::ConfirmedRead, log_error::LogError},
    mango_wire::{Offset, platform::LogRecord},
};

/// Receives what a `LogTail` reads, in log order, on the tail's thread.
pub(crate) trait TailSink: Send + 'static {
    /// A record of the stream.
    fn record(&mut self, record: &LogRecord);
    /// The tail of the stream was reached.
    fn confirmed(&mut self, confirmed: ConfirmedRead);
    /// Records below `first_offset` expired before they were read. The records
    /// that are still kept follow.
    fn gap(&mut self, first_offset: Offset);
    /// A read failed and is repeated after a pause.
    fn read_failed(&mut self, _error: &LogError) {}
}
