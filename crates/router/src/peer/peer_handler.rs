use {
    super::replier::Replier,
    mango_wire::{HostId, peer::PeerMessage},
};

/// Receives messages of peers on the network thread. No method may block.
pub(crate) trait PeerHandler: Send + Sync + 'static {
    /// A message from an authenticated peer. The replier of a one-way message
    /// discards the reply.
    fn handle(&self, from: &HostId, message: PeerMessage, replier: Replier);

    /// An authenticated link to or from the host has closed.
    fn link_down(&self, host: &HostId);

    /// Whether a process that proved the shared secret may connect; false for
    /// an identity that has left.
    fn accepts(&self, _host: &HostId, _identity: &str) -> bool {
        true
    }
}
