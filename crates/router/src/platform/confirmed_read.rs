use {mango_wire::Offset, std::time::Instant};

/// All records that were in the stream when a read started have been delivered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfirmedRead {
    /// When the read started.
    pub(crate) read_started: Instant,
    /// Offset that the next append to the log was to get.
    pub(crate) next_offset: Offset,
}
