use {
    super::{
        engine_resources::EngineResources, router_parts::RouterParts, spread_group::SpreadGroup,
        types::RouterAdmission,
    },
    crate::{
        config::{ConfigStore, PoolInfo},
        membership::Membership,
        ownership::Ownership,
        peer::PeerNet,
        placement::LoadTable,
    },
    mango_wire::{
        EndpointKey, HostId,
        peer::{LoadEntry, LoadGossip, PeerMessage},
        settings::MembershipSettings,
    },
    parking_lot::Mutex,
    rand::seq::IndexedRandom,
    std::{
        collections::{BTreeSet, HashMap, HashSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Estimated sizes for the byte budget. An encoded entry takes about 10.5 bytes; the
/// envelope of a message includes the HTTP/2 framing.
const ENTRY_BYTES: usize = 12;
const ENVELOPE_BYTES: usize = 24;

/// Entry received from a peer that has to be forwarded.
struct PendingEntry {
    entry: LoadEntry,
    merged_at: Instant,
}

/// Hosts that own engines of one pool.
struct PoolOwners {
    owner_of: HashMap<EndpointKey, HostId>,
    /// Sorted by id; the group refers to hosts by their index here.
    hosts: Vec<HostId>,
    group: SpreadGroup,
    /// Index of this host in `hosts`.
    own_index: usize,
}

impl PoolOwners {
    /// Returns the hosts to which this host sends the entry of an endpoint.
    fn targets(&self, endpoint: EndpointKey) -> Vec<&HostId> {
        let Some(owner) = self.owner_of.get(&endpoint) else { return Vec::new() };
        let Ok(origin) = self.hosts.binary_search(owner) else { return Vec::new() };
        let targets = self.group.targets(self.own_index, origin);
        targets.into_iter().map(|index| &self.hosts[index]).collect()
    }
}

/// Sends the load reports of engines to the other hosts of the region. Hosts that own an
/// engine of a pool receive the reports of all engines of that pool, because the limit on
/// an engine's load depends on the load of the whole pool. Other hosts only look for free engines, so the reports of owned
/// engines also go to a random sample of the region's hosts in each round.
pub(crate) struct Gossiper {
    host_id: HostId,
    region: String,
    settings: MembershipSettings,
    admission: Arc<RouterAdmission>,
    loads: Arc<LoadTable>,
    membership: Arc<Membership>,
    config: Arc<ConfigStore>,
    ownership: Arc<Ownership>,
    resources: Arc<EngineResources>,
    peers: PeerNet,
    /// Newest entry that was received for each engine and has not been forwarded yet.
    pending: Mutex<HashMap<EndpointKey, PendingEntry>>,
}

impl Gossiper {
    pub(crate) fn new(parts: &RouterParts, settings: MembershipSettings) -> Self {
        Self {
            host_id: parts.settings.host_id.clone(),
            region: parts.settings.region.clone(),
            settings,
            admission: parts.admission.clone(),
            loads: parts.loads.clone(),
            membership: parts.membership.clone(),
            config: parts.config.clone(),
            ownership: parts.ownership.clone(),
            resources: parts.resources.clone(),
            peers: parts.peers.clone(),
            pending: Mutex::default(),
        }
    }

    /// Stores the entries of a peer and forwards the new ones in the next round.
    pub(crate) fn merge(&self, gossip: &LoadGossip) {
        let merged = self.loads.merge(&gossip.entries);
        if merged.is_empty() {
            return;
        }
        self.add_pending(merged);
        self.admission.loads_merged();
    }

    /// Sends one round and returns when the next one is due.
    pub(crate) fn send_round(&self) -> Instant {
        let now = Instant::now();
        let own = self.admission.load_reports();
        let pending = std::mem::take(&mut *self.pending.lock());
        if own.is_empty() && pending.is_empty() {
            return now + self.interval(0);
        }
        let messages = self.messages(&own, pending, now);
        let bytes = messages.values().map(|m| ENVELOPE_BYTES + m.len() * ENTRY_BYTES).sum();
        for (host, entries) in messages {
            let entries = entries.into_values().collect();
            self.peers.send(&host, PeerMessage::LoadGossip(LoadGossip { entries }));
        }
        now + self.interval(bytes)
    }

    /// Returns the entries to send, by host.
    fn messages(
        &self,
        own: &[LoadEntry],
        pending: HashMap<EndpointKey, PendingEntry>,
        now: Instant,
    ) -> HashMap<HostId, HashMap<EndpointKey, LoadEntry>> {
        let mut messages: HashMap<HostId, HashMap<EndpointKey, LoadEntry>> = HashMap::new();
        let mut add = |host: &HostId, entry: &LoadEntry| {
            messages.entry(host.clone()).or_default().insert(entry.endpoint, entry.clone());
        };
        let hosts = self.region_hosts();
        let pools = self.pool_owners(&hosts);
        let forwarded = pending.into_values().map(|pending| with_current_age(pending, now));
        for entry in own.iter().cloned().chain(forwarded) {
            for host in pools.iter().flat_map(|pool| pool.targets(entry.endpoint)) {
                add(host, &entry);
            }
        }
        if !own.is_empty() {
            let others: Vec<&HostId> = hosts.iter().filter(|h| **h != self.host_id).collect();
            for host in others.sample(&mut rand::rng(), self.settings.gossip_fanout as usize) {
                own.iter().for_each(|entry| add(host, entry));
            }
        }
        messages
    }

    /// Returns the owners of each pool in which this host owns an engine.
    fn pool_owners(&self, region_hosts: &HashSet<HostId>) -> Vec<PoolOwners> {
        let config = self.config.current();
        let owner = |key| self.resources.with(key, |resource| self.ownership.owner(resource));
        let pool_owners = |pool: &Arc<PoolInfo>| {
            let owner_of: HashMap<EndpointKey, HostId> = pool
                .endpoints
                .iter()
                .filter_map(|endpoint| Some((endpoint.key, owner(endpoint.key)?.host_id)))
                .filter(|(_, host)| region_hosts.contains(host))
                .collect();
            let hosts: BTreeSet<HostId> = owner_of.values().cloned().collect();
            let hosts: Vec<HostId> = hosts.into_iter().collect();
            let own_index = hosts.binary_search(&self.host_id).ok()?;
            let group = SpreadGroup::new(hosts.len());
            Some(PoolOwners { owner_of, hosts, group, own_index })
        };
        config.pools().filter_map(pool_owners).collect()
    }

    fn add_pending(&self, entries: Vec<LoadEntry>) {
        let merged_at = Instant::now();
        let mut pending = self.pending.lock();
        for entry in entries {
            pending.insert(entry.endpoint, PendingEntry { entry, merged_at });
        }
    }

    /// Returns the time until the next round, longer than `gossip_ms` if the bytes sent
    /// would exceed the budget.
    fn interval(&self, bytes: usize) -> Duration {
        let shortest = Duration::from_millis(u64::from(self.settings.gossip_ms));
        let budget = f64::from(self.settings.gossip_bytes_per_s.max(1));
        shortest.max(Duration::from_secs_f64(bytes as f64 / budget))
    }

    fn region_hosts(&self) -> HashSet<HostId> {
        let hosts = self.membership.live_hosts();
        let in_region = hosts.iter().filter(|host| host.region == self.region);
        in_region.map(|host| host.host_id.clone()).collect()
    }
}

/// Adds the time that an entry waited to its age.
fn with_current_age(pending: PendingEntry, now: Instant) -> LoadEntry {
    let waited_ms = now.saturating_duration_since(pending.merged_at).as_millis() as u32;
    LoadEntry { age_ms: pending.entry.age_ms.saturating_add(waited_ms), ..pending.entry }
}
