use {
    crate::membership::HostInfo,
    mango_wire::HostId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Tells a host that a monitor lost sight of from one that is gone. A host that was
/// suspected by mistake still serves its requests.
pub(crate) struct DownHosts {
    grace: Duration,
    /// Identities of the hosts that were live at the last review.
    live: HashMap<HostId, String>,
    /// Hosts that are not live, with the time at which they count as gone.
    missing: HashMap<HostId, Instant>,
}

/// What a review has found.
#[derive(Debug, Default, Eq, PartialEq)]
pub(crate) struct HostChanges {
    /// Hosts that are not live any more.
    pub(crate) lost: Vec<HostId>,
    /// Hosts whose process has ended, or that were not live for the grace time.
    pub(crate) gone: Vec<HostId>,
}

impl DownHosts {
    /// `grace` is the time after which a host that is not live counts as gone.
    pub(crate) fn new(grace: Duration) -> Self {
        Self { grace, live: HashMap::new(), missing: HashMap::new() }
    }

    /// Compares the live hosts with those of the last review.
    pub(crate) fn review(&mut self, hosts: &[HostInfo], now: Instant) -> HostChanges {
        let live: HashMap<HostId, String> =
            hosts.iter().map(|h| (h.host_id.clone(), h.identity.clone())).collect();
        let mut changes = HostChanges::default();
        for (host, identity) in &self.live {
            match live.get(host) {
                None => {
                    changes.lost.push(host.clone());
                    self.missing.insert(host.clone(), now + self.grace);
                }
                // another process runs under the name, so the old one has ended
                Some(present) if present != identity => {
                    changes.lost.push(host.clone());
                    changes.gone.push(host.clone());
                }
                Some(_) => {}
            }
        }
        self.missing.retain(|host, gone_at| {
            if live.contains_key(host) {
                return false;
            }
            let gone = now >= *gone_at;
            if gone {
                changes.gone.push(host.clone());
            }
            !gone
        });
        self.live = live;
        changes
    }
}
