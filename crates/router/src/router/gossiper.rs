use {
    super::{parts::Parts, types::AdmissionOfRouter},
    crate::{membership::Membership, peer::PeerNet, placement::LoadTable},
    mango_wire::{
        EndpointKey, HostId,
        peer::{LoadEntry, LoadGossip, PeerMessage},
        settings::MembershipSettings,
    },
    parking_lot::Mutex,
    rand::seq::IndexedRandom,
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Bytes of one entry and of one message's envelope, for the byte budget.
const ENTRY_BYTES: usize = 18;
const ENVELOPE_BYTES: usize = 24;
/// Longest interval at which an owner sends its loads to all hosts of the region
/// itself. Forwarding over 3 hops of about 300 ms takes almost as long as a count is used.
const DIRECT_INTERVAL: Duration = Duration::from_millis(500);

struct News {
    entry: LoadEntry,
    merged_at: Instant,
}

/// Spreads the loads of engines over the region's hosts.
pub(crate) struct Gossiper {
    host_id: HostId,
    region: String,
    settings: MembershipSettings,
    admission: Arc<AdmissionOfRouter>,
    loads: Arc<LoadTable>,
    membership: Arc<Membership>,
    peers: PeerNet,
    /// Newest entry of each engine that was not passed on yet.
    news: Mutex<HashMap<EndpointKey, News>>,
}

impl Gossiper {
    pub(crate) fn new(parts: &Parts, settings: MembershipSettings) -> Self {
        Self {
            host_id: parts.settings.host_id.clone(),
            region: parts.settings.region.clone(),
            settings,
            admission: parts.admission.clone(),
            loads: parts.loads.clone(),
            membership: parts.membership.clone(),
            peers: parts.peers.clone(),
            news: Mutex::default(),
        }
    }

    /// Takes a peer's entries; new ones are passed on with the next round.
    pub(crate) fn merge(&self, gossip: &LoadGossip) {
        let merged = self.loads.merge(&gossip.entries);
        if merged.is_empty() {
            return;
        }
        if !self.is_direct() {
            self.add_news(merged);
        }
        self.admission.loads_merged();
    }

    /// Sends one round and returns when the next one is due.
    pub(crate) fn send_round(&self) -> Instant {
        let now = Instant::now();
        self.add_news(self.admission.loads());
        let entries: Vec<LoadEntry> = std::mem::take(&mut *self.news.lock())
            .into_values()
            .map(|news| aged(news, now))
            .collect();
        let targets = self.targets();
        let bytes = (ENVELOPE_BYTES + entries.len() * ENTRY_BYTES) * targets.len();
        if !entries.is_empty() {
            for target in &targets {
                let gossip = LoadGossip { entries: entries.clone() };
                self.peers.send(target, PeerMessage::LoadGossip(gossip));
            }
        }
        now + self.interval(bytes)
    }

    fn add_news(&self, entries: Vec<LoadEntry>) {
        let merged_at = Instant::now();
        let mut news = self.news.lock();
        for entry in entries {
            news.insert(entry.endpoint, News { entry, merged_at });
        }
    }

    /// Stretches the interval so that the bytes sent stay within the budget.
    fn interval(&self, bytes: usize) -> Duration {
        let shortest = Duration::from_millis(u64::from(self.settings.gossip_ms));
        let budget = f64::from(self.settings.gossip_bytes_per_s.max(1));
        shortest.max(Duration::from_secs_f64(bytes as f64 / budget))
    }

    /// Whether each owner sends to all hosts and nobody forwards. It follows from the
    /// numbers of hosts and engines, so that all hosts come to the same answer.
    fn is_direct(&self) -> bool {
        let hosts = self.membership.live_hosts();
        let hosts = hosts.iter().filter(|host| host.region == self.region).count();
        is_direct(hosts, self.loads.len(), self.settings.gossip_bytes_per_s)
    }

    fn targets(&self) -> Vec<HostId> {
        let hosts = self.membership.live_hosts();
        let others: Vec<&HostId> = hosts
            .iter()
            .filter(|host| host.region == self.region && host.host_id != self.host_id)
            .map(|host| &host.host_id)
            .collect();
        let fanout =
            if self.is_direct() { others.len() } else { self.settings.gossip_fanout as usize };
        others.sample(&mut rand::rng(), fanout).map(|host| (*host).clone()).collect()
    }
}

/// Whether an owner can send its loads to all hosts within `DIRECT_INTERVAL`.
pub(super) fn is_direct(hosts: usize, engines: usize, bytes_per_s: u32) -> bool {
    let entries = engines.div_ceil(hosts.max(1)).max(1);
    let bytes = hosts.saturating_sub(1) * (ENVELOPE_BYTES + entries * ENTRY_BYTES);
    bytes as f64 <= f64::from(bytes_per_s.max(1)) * DIRECT_INTERVAL.as_secs_f64()
}

fn aged(news: News, now: Instant) -> LoadEntry {
    let waited_ms = now.saturating_duration_since(news.merged_at).as_millis() as u32;
    LoadEntry { age_ms: news.entry.age_ms.saturating_add(waited_ms), ..news.entry }
}
