use {mango_wire::HostId, std::net::SocketAddr};

/// A registered host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct HostInfo {
    pub(crate) host_id: HostId,
    /// Unique for each start of the host's process.
    pub(crate) identity: String,
    pub(crate) region: String,
    pub(crate) zone: String,
    pub(crate) peer_address: SocketAddr,
}
