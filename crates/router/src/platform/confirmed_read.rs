use {mango_wire::Offset, std::time::Instant};

/// A read of a stream's tail. All records that were in the stream when the read
/// started have been delivered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfirmedRead {
    /// When the read started.
    pub(crate) read_started: Instant,
    /// Offset of the next append to the log, as of the read's response.
    pub(crate) next_offset: Offset,
}
