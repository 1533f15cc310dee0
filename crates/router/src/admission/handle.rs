use {
    super::{
        acquire_result::AcquireResult, authority::Authority, context::Context, demoted::Demoted,
        engine_core::EngineCore, engine_grants::Outbox, engine_owner::EngineOwner,
        engine_state::EngineState, length_model::LengthModel, limits::Limits,
        metrics::AdmissionMetrics, queued::Queued, reply::Reply, roster::Roster,
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

/// Admission of work to the engines that this host owns.
pub(crate) struct Admission<A, R> {
    ctx: Context<A>,
    table: Arc<LoadTable>,
    roster: ArcSwap<Roster<R>>,
    /// Held while the configuration is changed.
    updating: Mutex<()>,
}

impl<A: Authority, R: Reply> Admission<A, R> {
    /// Creates admission without engines.
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
            length: LengthModel::new(),
            metrics: AdmissionMetrics::register(metrics),
            permits: AtomicU64::new(0),
            local_starts: table.local_starts(),
        };
        let roster = ArcSwap::from_pointee(Roster::new());
        Self { ctx, table, roster, updating: Mutex::new(()) }
    }

    /// Puts a new configuration in force. An engine that is not configured any more
    /// refuses new work and is forgotten when its last permit has ended.
    pub(crate) fn set_topology(&self, topology: &Topology) {
        let _updating = self.updating.lock();
        let pools =
            PoolView::build(topology, &self.table, self.ctx.limits.health.max_degraded_share);
        let old = self.roster.load_full();
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
        self.table.retain(&keys);
        self.roster.store(Arc::new(Roster {
            engines,
            team_weights: topology.teams.iter().map(|t| (t.key, t.weight)).collect(),
            works: topology.works.iter().map(|w| (w.key, *w)).collect(),
        }));
    }

    fn new_engine(&self, spec: &EngineSpec) -> Arc<EngineOwner<R>> {
        let max = self.ctx.limits.warm_chats_max;
        Arc::new(EngineOwner::new(EngineCore::new(spec, self.table.cell(spec.key), max)))
    }

    fn configure(
        &self,
        engine: &EngineOwner<R>,
        spec: &EngineSpec,
        pools: &HashMap<PoolKey, Arc<PoolView>>,
    ) {
        let is_member = |p: &&Arc<PoolView>| p.members.iter().any(|m| m.key == spec.key);
        let pools: Vec<_> = pools.values().filter(is_member).cloned().collect();
        let now = self.ctx.authority.now();
        self.update(engine, now, |core, out| {
            core.configure(spec, pools);
            let keys: Vec<PoolKey> = core.pools.iter().map(|p| p.key).collect();
            for queued in core.queue.extract(|q| !keys.contains(&q.pool)) {
                let reason = PassReason::UnknownEndpoint;
                core.refuse(&self.ctx, now, queued, reason, Duration::ZERO, out);
            }
            core.pump(&self.ctx, now, out);
        });
    }

    /// Returns whether the engine must be kept for its permits.
    fn retire(&self, engine: &EngineOwner<R>) -> bool {
        let now = self.ctx.authority.now();
        self.update(engine, now, |core, out| {
            core.pools.clear();
            core.refuse_queue(&self.ctx, now, PassReason::UnknownEndpoint, out);
            !core.is_idle()
        })
    }

    /// Asks for a permit. `reply` is called at once or later, outside all locks.
    pub(crate) fn acquire(&self, origin: &HostId, request: Acquire, reply: R) {
        let now = self.ctx.authority.now();
        let roster = self.roster.load();
        let Some(engine) = roster.engines.get(&request.endpoint) else {
            let refuse =
                Refuse { reason: PassReason::UnknownEndpoint, retry_after_ms: 0, moved_to: 0 };
            self.ctx.metrics.count_refusal(refuse.reason);
            return reply.reply(AcquireResult::Refused(refuse));
        };
        let queued = self.queued(&roster, origin, &request, reply, now);
        self.update(engine, now, |core, out| core.acquire(&self.ctx, now, queued, out));
    }

    fn queued(
        &self,
        roster: &Roster<R>,
        origin: &HostId,
        request: &Acquire,
        reply: R,
        now: Instant,
    ) -> Queued<R> {
        let work = roster.work(request.work);
        let length = self.ctx.length.length(request.team, request.work, work.expected_tokens);
        let deadline = now + Duration::from_millis(u64::from(request.remaining_ms));
        Queued {
            reply,
            origin: host_key(origin),
            request: request.request,
            mode: request.mode,
            team: request.team,
            team_weight: roster.team_weight(request.team),
            work: request.work,
            class: work.class,
            pool: request.pool,
            chat: request.chat,
            long: length.upper_tokens() > self.ctx.limits.long_tokens,
            expected_tokens: length.mean_tokens(),
            longest_tokens: length.longest_tokens(),
            deadline,
            start_by: deadline,
            predicted_wait: None,
            arrived_at: now,
        }
    }

    /// Withdraws a request that waits, or whose grant has not been received.
    pub(crate) fn cancel(&self, origin: &HostId, cancel: &CancelAcquire) {
        let origin = host_key(origin);
        self.with(cancel.endpoint, |core, now, out| {
            core.cancel(&self.ctx, now, origin, cancel.request, out);
        });
    }

    /// Takes a first token or a length. A first-token time of 0 confirms that the
    /// request was sent. Returns the new priority of work that turned out long.
    pub(crate) fn progress(&self, progress: &Progress) -> Option<Demoted> {
        self.with(progress.endpoint, |core, now, _| core.progress(&self.ctx, now, progress))?
    }

    /// Ends a permit and grants its slot to the next request.
    pub(crate) fn release(&self, origin: &HostId, release: &Release) {
        let origin = host_key(origin);
        self.with(release.endpoint, |core, now, out| {
            core.release(&self.ctx, now, origin, release, out);
        });
    }

    /// Notes which engine runs a chat whose home is owned here.
    pub(crate) fn chat_moved(&self, moved: &ChatMoved) {
        self.with(moved.endpoint, |core, _, _| core.warm.ran_elsewhere(moved.chat, moved.to));
    }

    /// Frees the permits of a dead host after `permit_idle_ms` and drops its requests.
    pub(crate) fn host_down(&self, host: &HostId) {
        let origin = host_key(host);
        self.with_each(|core, now, out| core.host_down(&self.ctx, now, origin, out));
    }

    /// Takes the complete list of permits that a host uses on one engine. Sent after
    /// a takeover; it may also be sent from time to time to repair lost releases.
    pub(crate) fn reregister(&self, origin: &HostId, permits: &Reregister) {
        let origin = host_key(origin);
        let roster = self.roster.load();
        let listed: Vec<_> =
            permits.permits.iter().map(|p| (p.clone(), roster.work(p.work).class)).collect();
        self.with(permits.endpoint, |core, now, out| {
            core.reregister(&self.ctx, now, origin, &listed, out);
        });
    }

    /// Forgets an engine that another host owns now.
    pub(crate) fn ownership_lost(&self, endpoint: EndpointKey) {
        self.with(endpoint, |core, now, out| {
            core.refuse_queue(&self.ctx, now, PassReason::NotOwner, out);
            core.reset(self.ctx.limits.warm_chats_max);
        });
    }

    /// Stops or resumes new work on an engine that is about to leave.
    pub(crate) fn set_draining(&self, endpoint: EndpointKey, is_draining: bool) {
        self.with(endpoint, |core, now, out| {
            core.is_draining = is_draining;
            if is_draining {
                core.refuse_queue(&self.ctx, now, PassReason::Draining, out);
            }
        });
    }

    /// Uses room that new loads have brought. Called after `LoadTable::merge`.
    pub(crate) fn loads_merged(&self) {
        self.with_each(|core, now, out| {
            core.pump(&self.ctx, now, out);
            core.redirect(&self.ctx, now, out);
        });
    }

    /// Drops expired requests and frees permits that are due. Called every few tens
    /// of milliseconds.
    pub(crate) fn tick(&self) {
        self.with_each(|core, now, out| core.tick(&self.ctx, now, out));
    }

    /// Loads of the owned engines that changed or are about to expire elsewhere.
    pub(crate) fn load_reports(&self) -> Vec<LoadEntry> {
        let now = self.ctx.authority.now();
        let roster = self.roster.load();
        let report =
            |engine: &Arc<EngineOwner<R>>| engine.run(|core, _| core.report(&self.ctx, now));
        roster.engines.values().filter_map(report).collect()
    }

    /// State of the owned engines.
    pub(crate) fn engine_states(&self) -> Vec<EngineState> {
        let now = self.ctx.authority.now();
        let roster = self.roster.load();
        let state = |engine: &Arc<EngineOwner<R>>| engine.run(|core, _| core.state(&self.ctx, now));
        roster.engines.values().filter_map(state).collect()
    }

    /// Takes cache events. Returns whether the engine's full listing must be fetched.
    pub(crate) fn cache_events(&self, endpoint: EndpointKey, events: &CacheEvents) -> bool {
        self.with(endpoint, |core, _, _| core.warm.apply(events)).unwrap_or(false)
    }

    /// Replaces the warm chats by a full listing.
    pub(crate) fn cache_listing(&self, endpoint: EndpointKey, listing: &CacheListing) {
        self.with(endpoint, |core, _, _| {
            core.warm.replace(listing, core.permits.values().map(|p| p.chat));
        });
    }

    /// Sequence of the next cache event to ask the engine for.
    pub(crate) fn next_cache_sequence(&self, endpoint: EndpointKey) -> u64 {
        self.with(endpoint, |core, _, _| core.warm.next_sequence()).unwrap_or(0)
    }

    /// Warm chats of an engine, the most recently used first.
    pub(crate) fn warm_chats(&self, endpoint: EndpointKey, max: usize) -> Vec<ChatKey> {
        self.with(endpoint, |core, _, _| core.warm.recent().take(max).collect()).unwrap_or_default()
    }

    /// Whether the KV cache of a chat may be imported: the engine does not leave and the
    /// chat is not warm there, as an import would replace a newer cache.
    pub(crate) fn accepts_import(&self, endpoint: EndpointKey, chat: ChatKey) -> bool {
        let takes = |core: &mut EngineCore<R>| !core.is_draining && !core.warm.contains(chat);
        self.with(endpoint, |core, _, _| takes(core)).unwrap_or(false)
    }

    fn with<T>(
        &self,
        endpoint: EndpointKey,
        change: impl FnOnce(&mut EngineCore<R>, Instant, &mut Outbox<R>) -> T,
    ) -> Option<T> {
        let now = self.ctx.authority.now();
        let roster = self.roster.load();
        let engine = roster.engines.get(&endpoint)?;
        Some(self.update(engine, now, |core, out| change(core, now, out)))
    }

    fn with_each(&self, change: impl Fn(&mut EngineCore<R>, Instant, &mut Outbox<R>)) {
        let now = self.ctx.authority.now();
        for engine in self.roster.load().engines.values() {
            engine.run(|core, out| {
                if !core.is_idle() {
                    change(core, now, out);
                    core.publish(&self.ctx, now);
                }
            });
        }
    }

    fn update<T>(
        &self,
        engine: &EngineOwner<R>,
        now: Instant,
        change: impl FnOnce(&mut EngineCore<R>, &mut Outbox<R>) -> T,
    ) -> T {
        engine.run(|core, out| {
            let result = change(core, out);
            core.publish(&self.ctx, now);
            result
        })
    }
}

fn host_key(host: &HostId) -> u64 {
    digest(host.as_bytes())
}
