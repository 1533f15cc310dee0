use {
    super::{
        authority::Authority, context::Context, decision::Decision, decision_log::DecisionLog,
        engine_state::EngineState, fair_queue::FairQueue, health_model::HealthModel,
        permit_table::PermitTable, wait_model::WaitModel, warm_chats::WarmChats,
    },
    crate::placement::{EngineSpec, Load, LoadCell, PoolLatency, PoolView},
    mango_wire::{
        EndpointKey, Epoch, PoolKey,
        peer::{LoadEntry, PassReason},
        settings::Policy,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
};

/// Maximum age of a re-registration when a new epoch starts. Older ones belong to
/// an earlier takeover.
const REREGISTER_MAX_AGE: Duration = Duration::from_secs(30);
/// Interval between probe requests to a degraded engine. Each probe may cause a
/// hedged request; with two slow engines and 65 requests/s, that is at most 1.5% of
/// the requests.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the unchanged load of an idle engine is reported. It may
/// exceed the load's time to live, because an expired load also counts as 0.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Admission state of one engine. `LockedEngine` guards it with a lock.
pub(crate) struct EngineCore<R> {
    pub(super) key: EndpointKey,
    id: String,
    pub(super) slots: u32,
    pub(super) pools: Vec<Arc<PoolView>>,
    pub(super) load_cell: Arc<LoadCell>,
    /// Epoch under which this host last acted as the engine's owner; `None` if it has not
    /// acted since the start or the last loss of ownership.
    pub(super) epoch: Option<Epoch>,
    pub(super) is_draining: bool,
    /// Until when new work is refused because the engine did not accept a request.
    pub(super) paused_until: Option<Instant>,
    pub(super) permits: PermitTable,
    pub(super) queue: FairQueue<R>,
    pub(super) warm_chats: WarmChats,
    pub(super) health: HealthModel,
    pub(super) wait_model: WaitModel,
    pub(super) decisions: DecisionLog,
    /// While the engine is degraded, when the next probe request may be granted.
    pub(super) next_probe_at: Option<Instant>,
    /// Load reports of free engines (engine, epoch and version) by which waiting
    /// requests were redirected already; at most one report of each engine.
    pub(super) used_reports: Vec<(EndpointKey, Epoch, u32)>,
    /// Version of the last load report in this epoch.
    report_version: u32,
    /// Time, requests in flight, queue length and weight (permille) of the last report.
    last_report: Option<(Instant, u32, u32, u16)>,
    /// Requests in flight when the load was last published.
    published_in_flight: u32,
    /// What this engine adds to the gauge of queued requests.
    queued_in_gauge: i64,
    /// What this engine adds to the gauge of degraded engines.
    degraded_in_gauge: i64,
}

impl<R> EngineCore<R> {
    pub(super) fn new(spec: &EngineSpec, load_cell: Arc<LoadCell>, warm_chats_max: usize) -> Self {
        Self {
            key: spec.key,
            id: spec.id.clone(),
            slots: spec.slots,
            pools: Vec::new(),
            load_cell,
            epoch: None,
            is_draining: false,
            paused_until: None,
            permits: PermitTable::default(),
            queue: FairQueue::new(),
            warm_chats: WarmChats::new(warm_chats_max),
            health: HealthModel::default(),
            wait_model: WaitModel::default(),
            decisions: DecisionLog::default(),
            next_probe_at: None,
            used_reports: Vec::new(),
            report_version: 0,
            last_report: None,
            published_in_flight: 0,
            queued_in_gauge: 0,
            degraded_in_gauge: 0,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.permits.in_flight() == 0 && self.queue.is_empty()
    }

    /// Whether new work is refused, because the engine is draining or paused.
    pub(super) fn refuses_new_work(&self, now: Instant) -> bool {
        self.is_draining || self.paused_until.is_some_and(|until| now < until)
    }

    /// Queue length shown to other hosts. It is at least 1 while new work is
    /// refused, so that the engine does not count as free. Its low load would
    /// otherwise attract the requests of the whole fleet.
    fn reported_queue_len(&self, now: Instant) -> u32 {
        (self.queue.len() as u32).max(u32::from(self.refuses_new_work(now)))
    }

    pub(super) fn pool(&self, key: PoolKey) -> Option<&Arc<PoolView>> {
        self.pools.iter().find(|pool| pool.key == key)
    }

    pub(super) fn pool_latency(&self, key: PoolKey, now: Instant) -> PoolLatency {
        self.pool(key).map(|pool| pool.latency(now)).unwrap_or_default()
    }

    /// Epoch under which a permit may be granted now; `None` if this host may not
    /// grant. A new epoch starts with the permits that were re-registered for it.
    pub(super) fn acting_epoch<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
    ) -> Option<Epoch> {
        let epoch = ctx.authority.acting_epoch(self.key)?;
        if self.epoch == Some(epoch) {
            return Some(epoch);
        }
        if self.epoch.is_some_and(|current| current > epoch) {
            return None;
        }
        let oldest = now.checked_sub(REREGISTER_MAX_AGE).unwrap_or(now);
        self.permits.start_epoch(oldest);
        self.epoch = Some(epoch);
        self.report_version = 0;
        self.last_report = None;
        Some(epoch)
    }

    /// The engine's cap in a pool, at its measured health and at full health. Both
    /// are limited to the number of slots.
    fn caps<A>(&self, ctx: &Context<A>, pool: &PoolView, now: Instant) -> (u32, u32) {
        if ctx.limits.policy != Policy::Owner {
            return (self.slots, self.slots);
        }
        let permille = self.health.factor_permille(&ctx.limits.health);
        let pool_load = pool.load_for(self.key, self.permits.in_flight(), permille, now);
        let cap = |weight| pool_load.cap(pool.cap_multiple, weight).min(self.slots);
        (cap(pool_load.effective_weight), cap(pool_load.configured_weight))
    }

    /// Checks whether one more request may start now. Returns the cap that allows
    /// it, or the reason for a refusal.
    pub(super) fn check_capacity<A>(
        &self,
        ctx: &Context<A>,
        pool: PoolKey,
        long: bool,
        now: Instant,
    ) -> Result<u32, PassReason> {
        let in_flight = self.permits.in_flight();
        if in_flight >= self.slots {
            return Err(PassReason::NoSlot);
        }
        if long && !self.has_free_long_slot(ctx) {
            return Err(PassReason::NoSlot);
        }
        let pool = self.pool(pool).ok_or(PassReason::UnknownEndpoint)?;
        let (cap, full_cap) = self.caps(ctx, pool, now);
        if in_flight < cap {
            return Ok(cap);
        }
        Err(if in_flight < full_cap { PassReason::Degraded } else { PassReason::AtCap })
    }

    /// Whether the engine is degraded and a request that does not queue is to be
    /// refused. One request per `PROBE_INTERVAL` is let through as a probe.
    pub(super) fn should_refuse_degraded<A>(
        &mut self,
        ctx: &Context<A>,
        pool: PoolKey,
        now: Instant,
    ) -> bool {
        let is_degraded = ctx.limits.policy == Policy::Owner
            && self.health.is_slow()
            && self.pool(pool).is_some_and(|pool| pool.degraded(now).contains(&self.key));
        if !is_degraded {
            return false;
        }
        if self.next_probe_at.is_some_and(|at| now < at) {
            return true;
        }
        self.next_probe_at = Some(now + PROBE_INTERVAL);
        false
    }

    /// Whether one more long request may start. Only the policy `Owner` limits long
    /// work; the others are limited by the slots alone.
    pub(super) fn has_free_long_slot<A>(&self, ctx: &Context<A>) -> bool {
        ctx.limits.policy != Policy::Owner
            || self.permits.long_in_flight() < ctx.limits.long_slots(self.slots)
    }

    pub(super) fn record_decision(
        &mut self,
        now: Instant,
        request: u64,
        decision: Decision,
        cap: u32,
    ) {
        self.decisions.add(now, request, decision, self.permits.in_flight(), cap);
    }

    /// Stores the load in the load cell, where the pool's other engines on this
    /// host read it, and updates the gauges.
    pub(super) fn publish_load<A>(&mut self, ctx: &Context<A>, now: Instant) {
        let queue = self.queue.len() as i64;
        ctx.metrics.queued.inc_by(queue - self.queued_in_gauge);
        self.queued_in_gauge = queue;
        let slow = i64::from(self.health.is_slow());
        ctx.metrics.degraded_engines.inc_by(slow - self.degraded_in_gauge);
        self.degraded_in_gauge = slow;
        let in_flight = self.permits.in_flight();
        let started = in_flight.saturating_sub(self.published_in_flight);
        if started > 0 {
            // counted before the cell shows the started requests, so that
            // `PoolView::load_for` misses none of them
            ctx.local_starts.fetch_add(u64::from(started), Ordering::SeqCst);
        }
        self.published_in_flight = in_flight;
        if let Some(epoch) = self.epoch {
            self.load_cell.set_local(Load {
                epoch,
                version: self.report_version,
                in_flight,
                previous_in_flight: in_flight,
                queued: self.reported_queue_len(now),
                weight_permille: self.health.factor_permille(&ctx.limits.health),
                counted_at: now,
                expires_at: now + ctx.load_ttl,
                is_local: true,
            });
        }
    }

    /// Load report for gossip, if the load has changed or the last report is about
    /// to expire.
    pub(super) fn load_report<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
    ) -> Option<LoadEntry> {
        self.acting_epoch(ctx, now)?;
        self.publish_load(ctx, now);
        let (in_flight, queued) = (self.permits.in_flight(), self.reported_queue_len(now));
        let permille = self.health.factor_permille(&ctx.limits.health);
        // a report has to reach all hosts before the previous one expires there
        let interval = if in_flight == 0 { IDLE_REPORT_INTERVAL } else { ctx.load_ttl * 2 / 5 };
        let is_reported = self.last_report.is_some_and(|(at, i, q, p)| {
            (i, q, p) == (in_flight, queued, permille)
                && now.saturating_duration_since(at) < interval
        });
        if is_reported {
            return None;
        }
        self.report_version += 1;
        self.last_report = Some((now, in_flight, queued, permille));
        self.publish_load(ctx, now);
        self.load_cell.last().map(|load| load.to_entry(self.key, now))
    }

    /// State for the state dump; `None` if the engine is idle and this host has not
    /// acted as its owner.
    pub(super) fn state<A: Authority>(
        &self,
        ctx: &Context<A>,
        now: Instant,
    ) -> Option<EngineState> {
        if self.epoch.is_none() && self.is_idle() {
            return None;
        }
        let acting = ctx.authority.acting_epoch(self.key);
        let latency = self.health.latency(now);
        Some(EngineState {
            endpoint: self.key,
            id: self.id.clone(),
            epoch: self.epoch,
            is_acting: acting.is_some() && acting >= self.epoch,
            is_draining: self.is_draining,
            in_flight: self.permits.in_flight(),
            long_in_flight: self.permits.long_in_flight(),
            slots: self.slots,
            long_slots: ctx.limits.long_slots(self.slots),
            caps: self.pools.iter().map(|p| (p.key, self.caps(ctx, p, now).0)).collect(),
            queued: self.queue.len(),
            may_wait_queued: self.queue.may_wait_len(),
            queued_by_team: self.queue.team_lens().into_iter().collect(),
            health_factor: self.health.factor(&ctx.limits.health),
            is_degraded: self.pools.iter().any(|p| p.degraded(now).contains(&self.key)),
            first_token_ms: latency.first_token_ms,
            gap_us: latency.gap_us,
            warm_chats: self.warm_chats.len(),
            decisions: self.decisions.lines(now),
        })
    }

    /// Applies a new configuration of the engine.
    pub(super) fn configure(&mut self, spec: &EngineSpec, pools: Vec<Arc<PoolView>>) {
        self.slots = spec.slots;
        self.pools = pools;
        self.used_reports.clear();
    }

    /// Clears the state of an ownership that has ended.
    pub(super) fn reset(&mut self, warm_chats_max: usize) {
        self.epoch = None;
        self.paused_until = None;
        self.permits = PermitTable::default();
        self.warm_chats = WarmChats::new(warm_chats_max);
        self.health = HealthModel::default();
        self.wait_model = WaitModel::default();
        self.next_probe_at = None;
        self.used_reports.clear();
        self.load_cell.clear_local();
    }
}
