use {
    super::{confirmed_read::ConfirmedRead, log_error::LogError},
    mango_wire::{Offset, platform::LogRecord},
};

/// Receives the records and events of a `LogTail`, in log order, on its thread.
pub(crate) trait TailSink: Send + 'static {
    /// Called for each record of the stream.
    fn record(&mut self, record: &LogRecord);
    /// Called when all records up to the tail of the stream have been delivered.
    fn confirmed(&mut self, confirmed: ConfirmedRead);
    /// Called when records below `first_offset` expired before they were read. The
    /// records that the log still keeps are delivered next.
    fn gap(&mut self, first_offset: Offset);
    /// Called when a read failed; it is repeated after a pause.
    fn read_failed(&mut self, _error: &LogError) {}
}
