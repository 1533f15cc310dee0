use {
    mango_wire::{
        HostId,
        peer::{ConfigReply, ConfigRequest},
    },
    std::time::Instant,
};

/// Access to the peers from which a starting router can request the configuration.
pub(crate) trait SnapshotSource: Send + 'static {
    /// Peers to query, without this host.
    fn hosts(&self) -> Vec<HostId>;

    /// Requests a part of the configuration from one host.
    fn request(
        &self,
        host: &HostId,
        request: ConfigRequest,
        deadline: Instant,
    ) -> Result<ConfigReply, String>;
}
