use {
    super::replier::Replier,
    mango_wire::{HostId, peer::PeerMessage},
};

/// Handles messages from peers. The methods run on the thread `peer` and must
/// not block.
pub(crate) trait PeerHandler: Send + Sync + 'static {
    /// Handles a message from an authenticated peer. The replier of a one-way
    /// message discards the reply.
    fn handle(&self, from: &HostId, message: PeerMessage, replier: Replier);

    /// Called after an authenticated link to or from the host has closed.
    fn link_down(&self, host: &HostId);

    /// Whether a process that proved the shared secret may connect; false for
    /// an identity that has left.
    fn accepts(&self, _host: &HostId, _identity: &str) -> bool {
        true
    }
}
