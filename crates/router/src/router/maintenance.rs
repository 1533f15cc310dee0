use {
    super::{
        down_hosts::DownHosts, engine_watches::EngineWatches, gossiper::Gossiper, parts::Parts,
        topology::topology,
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
const TICK: Duration = Duration::from_millis(10);
/// Suspect times after which a host that is not live counts as gone.
const GONE_AFTER_SUSPECT_TIMES: u32 = 10;
/// Interval at which ownership, watches and permits in use are compared.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Periodic work of one router, on one thread.
pub(crate) struct Maintenance {
    parts: Arc<Parts>,
    gossiper: Arc<Gossiper>,
    admission_settings: AdmissionSettings,
    key_ranges: u32,
    host_changes: Receiver<()>,
    stop: Receiver<()>,
    watches: EngineWatches,
    config_version: u64,
    hosts: DownHosts,
    owned: HashSet<EndpointKey>,
    ownership_changes: u64,
    review_at: Instant,
    gossip_at: Instant,
}

impl Maintenance {
    pub(crate) fn new(
        parts: Arc<Parts>,
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
            hosts: DownHosts::new(suspect * GONE_AFTER_SUSPECT_TIMES),
            owned: HashSet::new(),
            ownership_changes: 0,
            review_at: now,
            gossip_at: now,
        }
    }

    /// Runs until the stop channel closes.
    pub(crate) fn run(mut self) {
        while self.stop.recv_timeout(TICK) == Err(RecvTimeoutError::Timeout) {
            self.apply_config();
            if self.host_changes.try_recv().is_ok() {
                self.review_hosts();
            }
            let now = Instant::now();
            // a new owner reads at once whether its engine leaves
            let changes = self.parts.ownership.change_count();
            if now >= self.review_at || changes != self.ownership_changes {
                self.ownership_changes = changes;
                self.review_at = now + REVIEW_INTERVAL;
                self.review_ownership();
            }
            self.parts.admission.tick();
            if now >= self.gossip_at {
                self.gossip_at = self.gossiper.send_round();
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
        let any_region = String::new;
        resources.extend((0..self.key_ranges).map(|r| (ResourceId::keys(r), any_region())));
        resources.push((ResourceId::config(), any_region()));
        resources.push((ResourceId::weights(), any_region()));
        parts.ownership.set_resources(resources);
        parts.membership.set_config_version(self.config_version);
        log::info!("event=config_in_force version={}", self.config_version);
        self.review_at = Instant::now();
    }

    fn review_hosts(&mut self) {
        let changes = self.hosts.review(&self.parts.membership.live_hosts(), Instant::now());
        for host in changes.lost {
            self.parts.admission.host_down(&host);
        }
        for host in changes.gone {
            self.parts.claims.host_down(&host);
        }
    }

    fn review_ownership(&mut self) {
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
