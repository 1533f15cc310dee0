use std::time::Instant;

/// The last comparison of a copy of a log with that of the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FeedComparison {
    pub(crate) at: Instant,
    pub(crate) agrees: bool,
}
