use {
    super::{
        acquire_result::AcquireResult, authority::Authority, context::Context, demotion::Demotion,
        engine_core::EngineCore, engine_grants::PendingReplies, engine_state::EngineState,
        length_model::LengthModel, limits::Limits, locked_engine::LockedEngine,
        metrics::AdmissionMetrics, pending_request::PendingRequest, registry::Registry,
        reply::Reply,
    },
    crate::{
        metrics::Metrics,
        placement::{EngineSpec, LoadTable, PoolView, Topology},
    },
    arc_swap::ArcSwap,
    mango_wire::{
        ChatKey, EndpointKey, HostId, PoolKey, digest,
        peer::{
            Acquire, CancelAcquire, ChatMoved, LoadEntry, PassReason, Progress, Refuse, Release,
            Reregister,
        },
        platform::{CacheEvents, CacheListing},
        settings::{AdmissionSettings, HealthSettings},
    },
    parking_lot::Mutex,
    std::{
        collections::{HashMap, HashSet},
        sync::{Arc, atomic::AtomicU64},
        time::{Duration, Instant},
    },
};

/// Admission control for the engines that this host owns.
pub(crate) struct Admission<A, R> {
    ctx: Context<A>,
    load_table: Arc<LoadTable>,
    registry: ArcSwap<Registry<R>>,
    /// Held while a new configuration is applied.
    config_lock: Mutex<()>,
}

impl<A: Authority, R: Reply> Admission<A, R> {
    /// Creates an instance without engines.
    pub(crate) fn new(
        settings: &AdmissionSettings,
        health: &HealthSettings,
        table: Arc<LoadTable>,
        authority: A,
        metrics: &Metrics,
    ) -> Self {
        let ctx = Context {
            authority,
            limits: Limits::new(settings, health),
            load_ttl: table.ttl(),
            length_model: LengthModel::new(),
            metrics: AdmissionMetrics::register(metrics),
            permit_counter: AtomicU64::new(0),
            local_starts: table.local_starts(),
        };
        let registry = ArcSwap::from_pointee(Registry::new());
        Self { ctx, load_table: table, registry, config_lock: Mutex::new(()) }
    }

    /// Applies a new configuration. An engine that is no longer configured refuses
    /// new work and is removed once its last permit has ended.
    pub(crate) fn set_topology(&self, topology: &Topology) {
        let _guard = self.config_lock.lock();
        let pools =
            PoolView::build(topology, &self.load_table, self.ctx.limits.health.max_degraded_share);
        let old = self.registry.load_full();
        let mut engines = HashMap::with_capacity(topology.engines.len());
        for spec in &topology.engines {
            let engine = old.engines.get(&spec.key).cloned();
            let engine = engine.unwrap_or_else(|| self.new_engine(spec));
            self.configure(&engine, spec, &pools);
            engines.insert(spec.key, engine);
        }
        for (key, engine) in &old.engines {
            if !engines.contains_key(key) && self.retire(engine) {
                engines.insert(*key, engine.clone());
            }
        }
        let keys: HashSet<EndpointKey> = engines.keys().copied().collect();
        self.load_table.retain(&keys);
        self.registry.store(Arc::new(Registry {
            engines,
            team_weights: topology.teams.iter().map(|t| (t.key, t.weight)).collect(),
            works: topology.works.iter().map(|w| (w.key, *w)).collect(),
        }));
    }

    fn new_engine(&self, spec: &EngineSpec) -> Arc<LockedEngine<R>> {
        let max = self.ctx.limits.warm_chats_max;
        Arc::new(LockedEngine::new(EngineCore::new(spec, self.load_table.cell(spec.key), max)))
    }

    fn configure(
        &self,
        engine: &LockedEngine<R>,
        spec: &EngineSpec,
        pools: &HashMap<PoolKey, Arc<PoolView>>,
    ) {
        let is_member = |p: &&Arc<PoolView>| p.members.iter().any(|m| m.key == spec.key);
        let pools: Vec<_> = pools.values().filter(is_member).cloned().collect();
        let now = self.ctx.authority.now();
        self.update_engine(engine, now, |core, replies| {
            core.configure(spec, pools);
            let keys: Vec<PoolKey> = core.pools.iter().map(|p| p.key).collect();
            for pending in core.queue.extract(|q| !keys.contains(&q.pool)) {
                let reason = PassReason::UnknownEndpoint;
                core.refuse(&self.ctx, now, pending, reason, Duration::ZERO, replies);
            }
            core.grant_waiting(&self.ctx, now, replies);
        });
    }

    /// Refuses the waiting requests of an engine that is no longer configured.
    /// Returns whether the engine must be kept for its permits.
    fn retire(&self, engine: &LockedEngine<R>) -> bool {
        let now = self.ctx.authority.now();
        self.update_engine(engine, now, |core, replies| {
            core.pools.clear();
            core.refuse_waiting(&self.ctx, now, PassReason::UnknownEndpoint, replies);
            !core.is_idle()
        })
    }

    /// Requests a permit. `reply` is called at once or later, while no lock of admission
    /// is held.
    pub(crate) fn acquire(&self, origin: &HostId, request: Acquire, reply: R) {
        let now = self.ctx.authority.now();
        let registry = self.registry.load();
        let Some(engine) = registry.engines.get(&request.endpoint) else {
            let refuse =
                Refuse { reason: PassReason::UnknownEndpoint, retry_after_ms: 0, moved_to: 0 };
            self.ctx.metrics.count_refusal(refuse.reason);
            return reply.reply(AcquireResult::Refused(refuse));
        };
        let pending = self.pending_request(&registry, origin, &request, reply, now);
        self.update_engine(engine, now, |core, replies| {
            core.acquire(&self.ctx, now, pending, replies)
        });
    }

    fn pending_request(
        &self,
        registry: &Registry<R>,
        origin: &HostId,
        request: &Acquire,
        reply: R,
        now: Instant,
    ) -> PendingRequest<R> {
        let work = registry.work(request.work);
        let length = self.ctx.length_model.stats(request.team, request.work, work.expected_tokens);
        let deadline = now + Duration::from_millis(u64::from(request.remaining_ms));
        PendingRequest {
            reply,
            origin: host_id_hash(origin),
            request: request.request,
            mode: request.mode,
            team: request.team,
            team_weight: registry.team_weight(request.team),
            work: request.work,
            class: work.class,
            pool: request.pool,
            chat: request.chat,
            long: length.upper_tokens() > self.ctx.limits.long_tokens,
            expected_tokens: length.mean_tokens(),
            longest_tokens: length.longest_tokens(),
            deadline,
            latest_start: deadline,
            predicted_wait: None,
            arrived_at: now,
        }
    }

    /// Cancels a request that waits, or whose grant has not been received.
    pub(crate) fn cancel(&self, origin: &HostId, cancel: &CancelAcquire) {
        let origin = host_id_hash(origin);
        self.with_engine(cancel.endpoint, |core, now, replies| {
            core.cancel(&self.ctx, now, origin, cancel.request, replies);
        });
    }

    /// Records the first token or the current length of a running request. A
    /// first-token time of 0 only confirms that the request was sent. Returns the
    /// new priority of work that has just turned out to be long.
    pub(crate) fn progress(&self, progress: &Progress) -> Option<Demotion> {
        self.with_engine(progress.endpoint, |core, now, _| core.progress(&self.ctx, now, progress))?
    }

    /// Ends a permit and grants its slot to the next request.
    pub(crate) fn release(&self, origin: &HostId, release: &Release) {
        let origin = host_id_hash(origin);
        self.with_engine(release.endpoint, |core, now, replies| {
            core.release(&self.ctx, now, origin, release, replies);
        });
    }

    /// Records which engine runs a chat whose home is an engine owned by this host.
    pub(crate) fn chat_moved(&self, moved: &ChatMoved) {
        self.with_engine(moved.endpoint, |core, _, _| {
            core.warm_chats.record_move(moved.chat, moved.to)
        });
    }

    /// Refuses the waiting requests of a dead host, and frees its permits after
    /// `permit_idle_ms`.
    pub(crate) fn host_down(&self, host: &HostId) {
        let origin = host_id_hash(host);
        self.with_busy_engines(|core, now, replies| {
            core.host_down(&self.ctx, now, origin, replies)
        });
    }

    /// Applies the complete list of permits that a host uses on one engine. Hosts
    /// send it after a takeover, and may also send it from time to time to repair
    /// lost releases.
    pub(crate) fn reregister(&self, origin: &HostId, permits: &Reregister) {
        let origin = host_id_hash(origin);
        let registry = self.registry.load();
        let listed: Vec<_> =
            permits.permits.iter().map(|p| (p.clone(), registry.work(p.work).class)).collect();
        self.with_engine(permits.endpoint, |core, now, replies| {
            core.reregister(&self.ctx, now, origin, &listed, replies);
        });
    }

    /// Clears the state of an engine that another host owns now.
    pub(crate) fn ownership_lost(&self, endpoint: EndpointKey) {
        self.with_engine(endpoint, |core, now, replies| {
            core.refuse_waiting(&self.ctx, now, PassReason::NotOwner, replies);
            core.reset(self.ctx.limits.warm_chats_max);
        });
    }

    /// Stops new work on an engine that is about to leave, or resumes it.
    pub(crate) fn set_draining(&self, endpoint: EndpointKey, is_draining: bool) {
        self.with_engine(endpoint, |core, now, replies| {
            core.is_draining = is_draining;
            if is_draining {
                core.refuse_waiting(&self.ctx, now, PassReason::Draining, replies);
            }
        });
    }

    /// Grants or redirects waiting requests by new loads. Called after
    /// `LoadTable::merge`.
    pub(crate) fn loads_merged(&self) {
        self.with_busy_engines(|core, now, replies| {
            core.grant_waiting(&self.ctx, now, replies);
            core.redirect_waiting(&self.ctx, now, replies);
        });
    }

    /// Refuses expired requests, frees expired permits and grants or redirects
    /// waiting requests. Called every few tens of milliseconds.
    pub(crate) fn tick(&self) {
        self.with_busy_engines(|core, now, replies| core.tick(&self.ctx, now, replies));
    }

    /// Load reports of the owned engines whose load has changed or is about to
    /// expire on other hosts.
    pub(crate) fn load_reports(&self) -> Vec<LoadEntry> {
        let now = self.ctx.authority.now();
        let registry = self.registry.load();
        let report = |engine: &Arc<LockedEngine<R>>| {
            engine.with_lock(|core, _| core.load_report(&self.ctx, now))
        };
        registry.engines.values().filter_map(report).collect()
    }

    /// State of the owned engines.
    pub(crate) fn engine_states(&self) -> Vec<EngineState> {
        let now = self.ctx.authority.now();
        let registry = self.registry.load();
        let state =
            |engine: &Arc<LockedEngine<R>>| engine.with_lock(|core, _| core.state(&self.ctx, now));
        registry.engines.values().filter_map(state).collect()
    }

    /// Applies cache events. Returns whether the engine's full listing must be
    /// fetched.
    pub(crate) fn cache_events(&self, endpoint: EndpointKey, events: &CacheEvents) -> bool {
        self.with_engine(endpoint, |core, _, _| core.warm_chats.apply(events)).unwrap_or(false)
    }

    /// Replaces the warm chats by a full listing.
    pub(crate) fn cache_listing(&self, endpoint: EndpointKey, listing: &CacheListing) {
        self.with_engine(endpoint, |core, _, _| {
            core.warm_chats.replace(listing, core.permits.values().map(|p| p.chat));
        });
    }

    /// Sequence number of the next cache event to request from the engine.
    pub(crate) fn next_cache_sequence(&self, endpoint: EndpointKey) -> u64 {
        self.with_engine(endpoint, |core, _, _| core.warm_chats.next_sequence()).unwrap_or(0)
    }

    /// Warm chats of an engine, the most recently used first.
    pub(crate) fn warm_chats(&self, endpoint: EndpointKey, max: usize) -> Vec<ChatKey> {
        self.with_engine(endpoint, |core, _, _| core.warm_chats.recent().take(max).collect())
            .unwrap_or_default()
    }

    /// Whether the KV cache of a chat may be imported: the engine is not draining,
    /// and the chat is not warm there, since an import would replace a newer cache.
    pub(crate) fn accepts_import(&self, endpoint: EndpointKey, chat: ChatKey) -> bool {
        let is_acceptable =
            |core: &mut EngineCore<R>| !core.is_draining && !core.warm_chats.contains(chat);
        self.with_engine(endpoint, |core, _, _| is_acceptable(core)).unwrap_or(false)
    }

    /// Runs `change` on an engine and publishes its load; `None` if the engine is unknown.
    fn with_engine<T>(
        &self,
        endpoint: EndpointKey,
        change: impl FnOnce(&mut EngineCore<R>, Instant, &mut PendingReplies<R>) -> T,
    ) -> Option<T> {
        let now = self.ctx.authority.now();
        let registry = self.registry.load();
        let engine = registry.engines.get(&endpoint)?;
        Some(self.update_engine(engine, now, |core, replies| change(core, now, replies)))
    }

    /// Runs `change` on each engine that has permits or waiting requests, and publishes
    /// its load.
    fn with_busy_engines(
        &self,
        change: impl Fn(&mut EngineCore<R>, Instant, &mut PendingReplies<R>),
    ) {
        let now = self.ctx.authority.now();
        for engine in self.registry.load().engines.values() {
            engine.with_lock(|core, replies| {
                if !core.is_idle() {
                    change(core, now, replies);
                    core.publish_load(&self.ctx, now);
                }
            });
        }
    }

    fn update_engine<T>(
        &self,
        engine: &LockedEngine<R>,
        now: Instant,
        change: impl FnOnce(&mut EngineCore<R>, &mut PendingReplies<R>) -> T,
    ) -> T {
        engine.with_lock(|core, replies| {
            let result = change(core, replies);
            core.publish_load(&self.ctx, now);
            result
        })
    }
}

fn host_id_hash(host: &HostId) -> u64 {
    digest(host.as_bytes())
}
