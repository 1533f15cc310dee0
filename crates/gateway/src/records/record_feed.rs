use std::{fmt, future::Future, time::Duration};

/// Position of a record in its log.
pub type Offset = u64;

/// Generation of the store's contents. It rises when the store comes back from an older copy:
/// later records are lost then, and their offsets are assigned again.
pub type Era = u64;

/// A log of keyed records in the platform's store.
pub trait RecordFeed: 'static {
    /// Returns the newest record of each key. The end of the log is read before the records.
    fn list_newest(&mut self) -> impl Future<Output = Result<LogListing, FeedError>>;

    /// Returns the records from an offset on; waits up to `wait` for the first one.
    fn changes(
        &mut self,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<LogChanges, FeedError>>;
}

/// The newest record of each key of a log.
#[derive(Debug)]
pub struct LogListing {
    pub records: Vec<RawRecord>,
    /// Records from this offset on may be missing from the listing.
    pub end: Offset,
    /// Generation to which the offsets belong.
    pub era: Era,
}

/// Consecutive records of a log.
#[derive(Debug)]
pub struct LogChanges {
    pub records: Vec<RawRecord>,
    /// Offset after the last record read.
    pub next: Offset,
    /// Offset after the last record of the log.
    pub end: Offset,
    /// Generation to which the offsets belong.
    pub era: Era,
}

/// A record before it is decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRecord {
    pub offset: Offset,
    pub key: Box<str>,
    /// Empty if the key was removed.
    pub value: Vec<u8>,
}

/// Reason why records of a log could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedError {
    /// The records at the requested offset were deleted.
    Expired,
    /// The store or the relay gave no usable answer, for this reason.
    Unavailable(Box<str>),
}

impl fmt::Display for FeedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FeedError::Expired => f.write_str("the records at the requested offset have expired"),
            FeedError::Unavailable(reason) => f.write_str(reason),
        }
    }
}
