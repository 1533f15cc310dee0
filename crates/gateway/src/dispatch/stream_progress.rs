use crate::stream_origins::{OpenStream, VersionHash};

/// The part of a stream that the caller has received.
#[derive(Default)]
pub(super) struct StreamProgress {
    /// Whether the response to the caller was started.
    pub(super) has_started: bool,
    /// Whether the endpoint of the current send has begun its response.
    pub(super) has_begun_send: bool,
    /// ID of the last event that the caller has received, in this response or in an earlier one
    /// that this request resumes.
    pub(super) last_event_id: Option<u64>,
    /// The software version that brought the first event of the stream; no other may go on with it.
    pub(super) origin: Option<VersionHash>,
    /// Set once the stream has begun, if its caller may take it up.
    pub(super) open_stream: Option<OpenStream>,
}
