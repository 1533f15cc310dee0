use {
    crate::{config::SnapshotSource, membership::Membership, peer::PeerNet},
    mango_wire::{
        HostId,
        peer::{ConfigReply, ConfigRequest, PeerMessage},
    },
    std::{sync::Arc, time::Instant},
};

/// Hosts that a starting router asks for the configuration while the log is down.
pub(crate) struct ConfigPeers {
    host_id: HostId,
    membership: Arc<Membership>,
    peers: PeerNet,
}

impl ConfigPeers {
    pub(crate) fn new(host_id: HostId, membership: Arc<Membership>, peers: PeerNet) -> Self {
        Self { host_id, membership, peers }
    }
}

impl SnapshotSource for ConfigPeers {
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
