use {
    mango_wire::{
        HostId,
        peer::{ConfigReply, ConfigRequest},
    },
    std::time::Instant,
};

/// Peers that a starting router can ask for the configuration.
pub(crate) trait SnapshotSource: Send + 'static {
    /// Hosts to ask, without this one.
    fn hosts(&self) -> Vec<HostId>;

    /// Asks one host; fails with the reason.
    fn request(
        &self,
        host: &HostId,
        request: ConfigRequest,
        deadline: Instant,
    ) -> Result<ConfigReply, String>;
}
