use {
    crate::{config::SnapshotSource, membership::Membership, peer::PeerNet},
    mango_wire::{
        HostId,
        peer::{ConfigReply, ConfigRequest, PeerMessage},
    },
    std::{sync::Arc, time::Instant},
};

/// Requests configuration snapshots from other hosts, for a router that starts while
/// the log is unavailable.
pub(crate) struct PeerSnapshotSource {
    host_id: HostId,
    membership: Arc<Membership>,
    peers: PeerNet,
}

impl PeerSnapshotSource {
    pub(crate) fn new(host_id: HostId, membership: Arc<Membership>, peers: PeerNet) -> Self {
        Self { host_id, membership, peers }
    }
}

impl SnapshotSource for PeerSnapshotSource {
    fn hosts(&self) -> Vec<HostId> {
        let mut hosts = self.peers.known_hosts();
        hosts.extend(self.membership.live_hosts().iter().map(|host| host.host_id.clone()));
        hosts.sort();
        hosts.dedup();
        hosts.retain(|host| *host != self.host_id);
        hosts
    }

    fn request(
        &self,
        host: &HostId,
        request: ConfigRequest,
        deadline: Instant,
    ) -> Result<ConfigReply, String> {
        match self.peers.call(host, PeerMessage::ConfigRequest(request), deadline) {
            Ok(PeerMessage::ConfigReply(reply)) => Ok(reply),
            Ok(_) => Err("unexpected reply".to_owned()),
            Err(e) => Err(e.to_string()),
        }
    }
}
