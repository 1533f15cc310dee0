use {
    super::{
        down_host_tracker::DownHostTracker, engine_watches::EngineWatches, gossiper::Gossiper,
        router_parts::RouterParts, topology::topology,
    },
    crate::ownership::ResourceId,
    crossbeam::channel::{Receiver, RecvTimeoutError},
    mango_wire::{EndpointKey, settings::AdmissionSettings},
    std::{
        collections::HashSet,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Interval at which queue and permit deadlines are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// A host that is not live counts as gone after this many times `suspect_ms`.
const GONE_TIME_FACTOR: u32 = 10;
/// Interval at which ownership, engine watches and registered permits are updated.
const OWNERSHIP_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Periodic tasks of one router, which run on one thread.
pub(crate) struct Maintenance {
    parts: Arc<RouterParts>,
    gossiper: Arc<Gossiper>,
    admission_settings: AdmissionSettings,
    key_ranges: u32,
    host_changes: Receiver<()>,
    stop: Receiver<()>,
    watches: EngineWatches,
    config_version: u64,
    down_hosts: DownHostTracker,
    /// Endpoints that this host owned at the last update.
    owned: HashSet<EndpointKey>,
    /// Number of ownership changes at the last update.
    ownership_change_count: u64,
    next_ownership_update: Instant,
    next_gossip: Instant,
}

impl Maintenance {
    pub(crate) fn new(
        parts: Arc<RouterParts>,
        gossiper: Arc<Gossiper>,
        admission_settings: AdmissionSettings,
        key_ranges: u32,
        host_changes: Receiver<()>,
        stop: Receiver<()>,
    ) -> Self {
        let membership = parts.settings.membership.clone().unwrap_or_default();
        let suspect = Duration::from_millis(u64::from(membership.suspect_ms));
        let now = Instant::now();
        Self {
            parts,
            gossiper,
            admission_settings,
            key_ranges,
            host_changes,
            stop,
            watches: EngineWatches::default(),
            config_version: 0,
            down_hosts: DownHostTracker::new(suspect * GONE_TIME_FACTOR),
            owned: HashSet::new(),
            ownership_change_count: 0,
            next_ownership_update: now,
            next_gossip: now,
        }
    }

    /// Runs until the stop channel closes.
    pub(crate) fn run(mut self) {
        while self.stop.recv_timeout(TICK_INTERVAL) == Err(RecvTimeoutError::Timeout) {
            self.apply_config();
            if self.host_changes.try_recv().is_ok() {
                self.update_hosts();
            }
            let now = Instant::now();
            // a new owner starts its engine watch at once, to see whether the engine is leaving
            let changes = self.parts.ownership.change_count();
            if now >= self.next_ownership_update || changes != self.ownership_change_count {
                self.ownership_change_count = changes;
                self.next_ownership_update = now + OWNERSHIP_UPDATE_INTERVAL;
                self.update_ownership();
            }
            self.parts.admission.tick();
            if now >= self.next_gossip {
                self.next_gossip = self.gossiper.send_round();
            }
        }
    }

    fn apply_config(&mut self) {
        let parts = &self.parts;
        let config = parts.config.current();
        if config.version() == self.config_version {
            return;
        }
        self.config_version = config.version();
        let topology = topology(&config);
        parts.resources.set(&config);
        parts.admission.set_topology(&topology);
        parts.planner.set_topology(&topology);
        parts.endpoints.retain(|key| config.endpoint(key).is_some());
        let mut resources: Vec<(ResourceId, String)> =
            config.endpoints().map(|e| (ResourceId::engine(&e.id), e.region.clone())).collect();
        // an empty region allows the hosts of all regions to own the resource
        let any_region = String::new;
        resources.extend((0..self.key_ranges).map(|r| (ResourceId::keys(r), any_region())));
        resources.push((ResourceId::config(), any_region()));
        resources.push((ResourceId::weights(), any_region()));
        parts.ownership.set_resources(resources);
        parts.membership.set_config_version(self.config_version);
        log::info!("event=config_in_force version={}", self.config_version);
        self.next_ownership_update = Instant::now();
    }

    fn update_hosts(&mut self) {
        let changes = self.down_hosts.update(&self.parts.membership.live_hosts(), Instant::now());
        for host in changes.lost {
            self.parts.admission.host_down(&host);
        }
        for host in changes.gone {
            self.parts.claims.host_down(&host);
        }
    }

    fn update_ownership(&mut self) {
        let config = self.parts.config.current();
        let owned: HashSet<EndpointKey> =
            config.endpoints().map(|e| e.key).filter(|key| self.parts.owns_engine(*key)).collect();
        for lost in self.owned.difference(&owned) {
            self.parts.admission.ownership_lost(*lost);
        }
        self.owned = owned;
        self.watches.update(&self.parts, &config, &self.admission_settings);
        self.parts.permits.reporter().reregister();
    }
}
