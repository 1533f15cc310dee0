use {mango_wire::gossip::HostRecord, std::future::Future};

/// Shared registry in which hosts publish their addresses.
pub trait HostRegistry: 'static {
    /// Stores the record of a host and replaces its earlier record.
    fn announce(&mut self, host: &HostRecord) -> impl Future<Output = Result<(), RegistryError>>;

    /// Returns the records of all hosts that were ever announced.
    fn hosts(&mut self) -> impl Future<Output = Result<HostListing, RegistryError>>;
}

/// The records of a registry.
#[derive(Clone, Debug, Default)]
pub struct HostListing {
    pub hosts: Vec<HostRecord>,
    /// Number of records that are not host records.
    pub unreadable_records: usize,
}

/// Reason why a call to the registry failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryError(pub Box<str>);
