use std::time::Instant;

/// A host that used an endpoint when the record of that lapsed.
pub(super) struct KeptEndpoint {
    pub(super) host: usize,
    pub(super) host_started_at: Instant,
    pub(super) endpoint: String,
    pub(super) endpoint_started_at_ms: u64,
    pub(super) until: Instant,
}

/// An endpoint that had left, and a host that must not use it again.
pub(super) struct DepartedEndpoint {
    pub(super) host: usize,
    pub(super) host_started_at: Instant,
    pub(super) endpoint: String,
    pub(super) since: Instant,
}
