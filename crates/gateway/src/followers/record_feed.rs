use std::{fmt, future::Future, time::Duration};

/// Position of a record in its log.
pub type Offset = u64;

/// A log of keyed records in the platform's store.
pub trait RecordFeed: 'static {
    /// The newest record of each key. The end is read before the records.
    fn list_newest(&mut self) -> impl Future<Output = Result<LogListing, FeedError>>;

    /// The records from an offset on; waits up to `wait` for the first one.
    fn changes(
        &mut self,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<LogChanges, FeedError>>;
}

/// All keys of a log.
#[derive(Debug)]
pub struct LogListing {
    pub records: Vec<RawRecord>,
    /// Records from this offset on may be missing from the listing.
    pub end: Offset,
}

/// Records that follow each other in a log.
#[derive(Debug)]
pub struct LogChanges {
    pub records: Vec<RawRecord>,
    /// Offset after the last record read.
    pub next: Offset,
    /// Offset after the last record of the log.
    pub end: Offset,
}

/// A record as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRecord {
    pub offset: Offset,
    pub key: Box<str>,
    /// Empty if the key was removed.
    pub value: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedError {
    /// The records at this offset were deleted.
    Expired,
    /// The store gave no usable answer.
    Unavailable(Box<str>),
}

impl fmt::Display for FeedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FeedError::Expired => f.write_str("records expired"),
            FeedError::Unavailable(reason) => f.write_str(reason),
        }
    }
}
