use {
    super::version_record::{ConditionalAppend, VersionListing, VersionRecord},
    crate::records::{FeedError, Offset},
    std::{future::Future, time::SystemTime},
};

/// Store in which hosts leave the origins of streams, and the software versions in service, for each
/// other and for themselves after a restart.
pub trait OriginStore: 'static {
    /// Returns the newest records of the software versions in service.
    fn list_versions(&mut self) -> impl Future<Output = Result<VersionListing, FeedError>>;

    /// Appends records of software versions if the log still ends at `end`.
    fn append_versions(
        &mut self,
        records: &[VersionRecord],
        end: Offset,
    ) -> impl Future<Output = Result<ConditionalAppend, FeedError>>;

    /// Appends origins to the log of all hosts.
    fn append_origins(
        &mut self,
        batch: &OriginBatch,
    ) -> impl Future<Output = Result<(), FeedError>>;

    /// Returns origins from an offset on, or from the oldest ones that are kept.
    fn read_origins(
        &mut self,
        from: Offset,
    ) -> impl Future<Output = Result<OriginChanges, FeedError>>;
}

/// The software version at which a stream began, both as hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    pub stream: u64,
    pub version: u64,
}

/// Origins that a host appended at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginBatch {
    /// Time of day of the host.
    pub written_at: SystemTime,
    pub origins: Vec<StreamOrigin>,
}

/// Consecutive batches of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginChanges {
    pub batches: Vec<OriginBatch>,
    /// Offset after the last batch read.
    pub next: Offset,
    /// Offset after the last batch of the log.
    pub end: Offset,
}
