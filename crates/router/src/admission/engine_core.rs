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

/// Re-registrations made longer ago belong to an earlier takeover.
const REREGISTER_MAX_AGE: Duration = Duration::from_secs(30);
/// Pause between requests that test a degraded engine. Each may cost a hedge; with two
/// slow engines and 65 requests/s, that is at most 1.5% of the requests.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the unchanged load of an idle engine is reported. It may be
/// long, because an unknown load counts as 0 as well.
const IDLE_REPORT: Duration = Duration::from_secs(2);

/// State of one engine under its owner's lock.
pub(crate) struct EngineCore<R> {
    pub(super) key: EndpointKey,
    id: String,
    pub(super) slots: u32,
    pub(super) pools: Vec<Arc<PoolView>>,
    pub(super) cell: Arc<LoadCell>,
    pub(super) epoch: Option<Epoch>,
    pub(super) is_draining: bool,
    /// No new work until then, because the engine did not accept a request.
    pub(super) suspect_until: Option<Instant>,
    pub(super) permits: PermitTable,
    pub(super) queue: FairQueue<R>,
    pub(super) warm: WarmChats,
    pub(super) health: HealthModel,
    pub(super) waits: WaitModel,
    pub(super) decisions: DecisionLog,
    /// While degraded, when the next request may be granted outside the queue.
    pub(super) probe_at: Option<Instant>,
    /// Reports of free engines that queued requests were already sent to.
    pub(super) redirected: Vec<(EndpointKey, Epoch, u32)>,
    version: u32,
    reported: Option<(Instant, u32, u32, u16)>,
    /// Count that the cell shows.
    published: u32,
    counted_queue: i64,
    counted_slow: i64,
}

impl<R> EngineCore<R> {
    pub(super) fn new(spec: &EngineSpec, cell: Arc<LoadCell>, warm_chats_max: usize) -> Self {
        Self {
            key: spec.key,
            id: spec.id.clone(),
            slots: spec.slots,
            pools: Vec::new(),
            cell,
            epoch: None,
            is_draining: false,
            suspect_until: None,
            permits: PermitTable::default(),
            queue: FairQueue::new(),
            warm: WarmChats::new(warm_chats_max),
            health: HealthModel::default(),
            waits: WaitModel::default(),
            decisions: DecisionLog::default(),
            probe_at: None,
            redirected: Vec::new(),
            version: 0,
            reported: None,
            published: 0,
            counted_queue: 0,
            counted_slow: 0,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.permits.in_flight() == 0 && self.queue.is_empty()
    }

    /// Whether the engine gets no new work now.
    pub(super) fn is_closed(&self, now: Instant) -> bool {
        self.is_draining || self.suspect_until.is_some_and(|until| now < until)
    }

    /// Queue as other hosts see it. An engine that takes no work is never free, or its
    /// low load would draw the requests of the whole fleet.
    fn visible_queue(&self, now: Instant) -> u32 {
        (self.queue.len() as u32).max(u32::from(self.is_closed(now)))
    }

    pub(super) fn pool(&self, key: PoolKey) -> Option<&Arc<PoolView>> {
        self.pools.iter().find(|pool| pool.key == key)
    }

    pub(super) fn pool_latency(&self, key: PoolKey, now: Instant) -> PoolLatency {
        self.pool(key).map(|pool| pool.latency(now)).unwrap_or_default()
    }

    /// Epoch under which a permit may be granted now. A new epoch starts with the
    /// permits that were re-registered for it.
    pub(super) fn acting<A: Authority>(&mut self, ctx: &Context<A>, now: Instant) -> Option<Epoch> {
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
        self.version = 0;
        self.reported = None;
        Some(epoch)
    }

    /// Cap in a pool, and what it would be at full health; at most the slots.
    fn caps<A>(&self, ctx: &Context<A>, pool: &PoolView, now: Instant) -> (u32, u32) {
        if ctx.limits.policy != Policy::Owner {
            return (self.slots, self.slots);
        }
        let permille = self.health.factor_permille(&ctx.limits.health);
        let pool_load = pool.load_for(self.key, self.permits.in_flight(), permille, now);
        let cap = |weight| pool_load.cap(pool.cap_multiple, weight).min(self.slots);
        (cap(pool_load.effective_weight), cap(pool_load.configured_weight))
    }

    /// Whether one more request may start now; the cap it was checked against, or
    /// the reason against it.
    pub(super) fn room<A>(
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
        if long && !self.has_long_slot(ctx) {
            return Err(PassReason::NoSlot);
        }
        let pool = self.pool(pool).ok_or(PassReason::UnknownEndpoint)?;
        let (cap, full_cap) = self.caps(ctx, pool, now);
        if in_flight < cap {
            return Ok(cap);
        }
        Err(if in_flight < full_cap { PassReason::Degraded } else { PassReason::AtCap })
    }

    /// Whether a degraded engine is to be left to the queue for now. A request that is
    /// granted nevertheless is a probe.
    pub(super) fn is_avoided<A>(&mut self, ctx: &Context<A>, pool: PoolKey, now: Instant) -> bool {
        let is_degraded = ctx.limits.policy == Policy::Owner
            && self.health.is_slow()
            && self.pool(pool).is_some_and(|pool| pool.degraded(now).contains(&self.key));
        if !is_degraded {
            return false;
        }
        if self.probe_at.is_some_and(|at| now < at) {
            return true;
        }
        self.probe_at = Some(now + PROBE_INTERVAL);
        false
    }

    /// The baselines admit by slots only.
    pub(super) fn has_long_slot<A>(&self, ctx: &Context<A>) -> bool {
        ctx.limits.policy != Policy::Owner
            || self.permits.long_in_flight() < ctx.limits.long_slots(self.slots)
    }

    pub(super) fn decide(&mut self, now: Instant, request: u64, decision: Decision, cap: u32) {
        self.decisions.add(now, request, decision, self.permits.in_flight(), cap);
    }

    /// Makes the present count visible to the pool's other engines on this host and
    /// brings the gauges up to date.
    pub(super) fn publish<A>(&mut self, ctx: &Context<A>, now: Instant) {
        let queue = self.queue.len() as i64;
        ctx.metrics.queued.inc_by(queue - self.counted_queue);
        self.counted_queue = queue;
        let slow = i64::from(self.health.is_slow());
        ctx.metrics.degraded_engines.inc_by(slow - self.counted_slow);
        self.counted_slow = slow;
        let in_flight = self.permits.in_flight();
        let started = in_flight.saturating_sub(self.published);
        if started > 0 {
            // counted before the start is visible in the cell
            ctx.local_starts.fetch_add(u64::from(started), Ordering::SeqCst);
        }
        self.published = in_flight;
        if let Some(epoch) = self.epoch {
            self.cell.set_local(Load {
                epoch,
                version: self.version,
                in_flight,
                previous_in_flight: in_flight,
                queued: self.visible_queue(now),
                weight_permille: self.health.factor_permille(&ctx.limits.health),
                counted_at: now,
                expires_at: now + ctx.load_ttl,
                is_local: true,
            });
        }
    }

    /// Report for gossip, if the load changed or the last report is about to expire.
    pub(super) fn report<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
    ) -> Option<LoadEntry> {
        self.acting(ctx, now)?;
        self.publish(ctx, now);
        let (in_flight, queued) = (self.permits.in_flight(), self.visible_queue(now));
        let permille = self.health.factor_permille(&ctx.limits.health);
        // a report has to reach all hosts before the last one expires there
        let interval = if in_flight == 0 { IDLE_REPORT } else { ctx.load_ttl * 2 / 5 };
        let is_known = self.reported.is_some_and(|(at, i, q, p)| {
            (i, q, p) == (in_flight, queued, permille)
                && now.saturating_duration_since(at) < interval
        });
        if is_known {
            return None;
        }
        self.version += 1;
        self.reported = Some((now, in_flight, queued, permille));
        self.publish(ctx, now);
        self.cell.last().map(|load| load.to_entry(self.key, now))
    }

    /// State for the dump; `None` for an engine that this host has nothing to do with.
    pub(super) fn state<A: Authority>(
        &self,
        ctx: &Context<A>,
        now: Instant,
    ) -> Option<EngineState> {
        if self.epoch.is_none() && self.is_idle() {
            return None;
        }
        let acting = ctx.authority.acting_epoch(self.key);
        let speed = self.health.latency(now);
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
            first_token_ms: speed.first_token_ms,
            gap_us: speed.gap_us,
            warm_chats: self.warm.len(),
            decisions: self.decisions.lines(now),
        })
    }

    /// Takes over a new configuration of the engine.
    pub(super) fn configure(&mut self, spec: &EngineSpec, pools: Vec<Arc<PoolView>>) {
        self.slots = spec.slots;
        self.pools = pools;
        self.redirected.clear();
    }

    /// Forgets everything that belongs to an ownership that has ended.
    pub(super) fn reset(&mut self, warm_chats_max: usize) {
        self.epoch = None;
        self.suspect_until = None;
        self.permits = PermitTable::default();
        self.warm = WarmChats::new(warm_chats_max);
        self.health = HealthModel::default();
        self.waits = WaitModel::default();
        self.probe_at = None;
        self.redirected.clear();
        self.cell.clear_local();
    }
}
