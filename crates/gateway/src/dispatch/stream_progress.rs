/// How much of a stream its caller has.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StreamProgress {
    /// Whether the response to the caller was started.
    pub(super) has_started: bool,
    /// ID of the last event that the caller has, from this response or from an earlier one that
    /// this request continues.
    pub(super) last_event_id: Option<u64>,
}
