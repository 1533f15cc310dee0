use {
    crate::membership::HostInfo,
    mango_wire::HostId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Distinguishes hosts that left the live list from hosts that are gone for good. A host
/// that was suspected by mistake still serves its requests, so it counts as gone only
/// after the grace time or when another process has replaced it.
pub(crate) struct DownHostTracker {
    grace_time: Duration,
    /// Identities of the hosts that were live at the last update.
    live: HashMap<HostId, String>,
    /// Hosts that are not live, with the time from which they count as gone.
    missing: HashMap<HostId, Instant>,
}

/// Hosts whose state has changed since the last update.
#[derive(Debug, Default, Eq, PartialEq)]
pub(crate) struct HostChanges {
    /// Hosts that are not live any more.
    pub(crate) lost: Vec<HostId>,
    /// Hosts whose process was replaced, or that were not live for the grace time.
    pub(crate) gone: Vec<HostId>,
}

impl DownHostTracker {
    /// `grace_time` is the time after which a host that is not live counts as gone.
    pub(crate) fn new(grace_time: Duration) -> Self {
        Self { grace_time, live: HashMap::new(), missing: HashMap::new() }
    }

    /// Compares the live hosts with those of the last update.
    pub(crate) fn update(&mut self, hosts: &[HostInfo], now: Instant) -> HostChanges {
        let live: HashMap<HostId, String> =
            hosts.iter().map(|h| (h.host_id.clone(), h.identity.clone())).collect();
        let mut changes = HostChanges::default();
        for (host, identity) in &self.live {
            match live.get(host) {
                None => {
                    changes.lost.push(host.clone());
                    self.missing.insert(host.clone(), now + self.grace_time);
                }
                // another process uses the host id, so the old process has ended
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
