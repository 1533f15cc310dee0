use {mango_wire::gossip::HostRecord, std::future::Future};

/// Where hosts leave their addresses for each other.
pub trait HostRegistry: 'static {
    /// Stores the record of a host in place of an earlier one.
    fn announce(&mut self, host: &HostRecord) -> impl Future<Output = Result<(), RegistryError>>;

    /// Records of all hosts that ever announced themselves.
    fn hosts(&mut self) -> impl Future<Output = Result<Vec<HostRecord>, RegistryError>>;
}

/// The registry gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryError(pub Box<str>);
