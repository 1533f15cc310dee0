/// What the caller of a stream has received.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StreamProgress {
    /// Events of the answer were passed on.
    pub(super) has_started: bool,
    pub(super) last_event_id: Option<u64>,
}
