use {
    crate::records::Offset,
    std::{rc::Rc, time::SystemTime},
};

/// Name of the software version of an endpoint.
pub type SoftwareVersion = Rc<str>;

/// The software versions of a service, as hosts have recorded them in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRecord {
    pub service: Rc<str>,
    pub versions: Vec<NamedVersion>,
}

/// A software version at which streams may have begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedVersion {
    pub version: SoftwareVersion,
    /// Time of day at which a host last recorded that the version had appeared.
    pub named_at: SystemTime,
}

/// The newest record of each service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionListing {
    pub records: Vec<VersionRecord>,
    /// Offset after the last record of the log.
    pub end: Offset,
}

/// Result of an append on the condition that the log has not grown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConditionalAppend {
    Appended,
    /// Nothing was appended, since another host was faster.
    LogHasGrown,
}
