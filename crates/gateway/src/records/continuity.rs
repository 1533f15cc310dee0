use std::time::Duration;

/// How a host followed a log up to its last confirmation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Continuity {
    /// For how long there was no outage of the store.
    pub(crate) span: Duration,
    /// Whether that time began with the end of an outage; otherwise with the first confirmation.
    pub(crate) follows_outage: bool,
}
