use {
    super::{
        acquire_result::AcquireResult, authority::Authority, context::Context, decision::Decision,
        engine_core::EngineCore, permit::Permit, queued::Queued,
    },
    crate::placement::PoolView,
    mango_wire::{
        Epoch, PoolKey,
        peer::{AcquireMode, Grant, PassReason, Refuse},
        settings::Policy,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Answers to be given once the engine's lock is released.
pub(super) type Outbox<R> = Vec<(R, AcquireResult)>;

/// Advice to callers while nothing was measured yet.
const DEFAULT_RETRY: Duration = Duration::from_millis(1000);
/// A shorter pause would come back before anything has changed.
const MIN_RETRY: Duration = Duration::from_millis(50);
/// Largest share of a request's time that is kept for its answer. Work whose estimate
/// exceeds its deadline may still be queued for a short while.
const MAX_RUN_SHARE: f64 = 0.9;

impl<R> EngineCore<R> {
    pub(super) fn acquire<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        queued: Queued<R>,
        out: &mut Outbox<R>,
    ) {
        let was_acting = self.epoch.is_some();
        let Some(epoch) = self.acting(ctx, now) else {
            let reason = if was_acting { PassReason::LeaseLapsed } else { PassReason::NotOwner };
            return self.refuse(ctx, now, queued, reason, Duration::ZERO, out);
        };
        if self.is_closed(now) {
            return self.refuse(ctx, now, queued, PassReason::Draining, Duration::ZERO, out);
        }
        if queued.deadline <= now {
            return self.refuse(ctx, now, queued, PassReason::Deadline, Duration::ZERO, out);
        }
        let warm = self.warm.touch(queued.chat);
        if queued.mode == AcquireMode::IfWarm && !warm {
            return self.refuse(ctx, now, queued, PassReason::Cold, Duration::ZERO, out);
        }
        // a cap that rose by gossip since the last release is for those who wait
        self.pump(ctx, now, out);
        match self.room(ctx, queued.pool, queued.long, now) {
            Ok(_)
                if queued.mode != AcquireMode::Queue && self.is_avoided(ctx, queued.pool, now) =>
            {
                self.refuse(ctx, now, queued, PassReason::Degraded, Duration::ZERO, out);
            }
            Ok(cap) => self.grant(ctx, now, queued, warm, (epoch, cap), out),
            Err(reason) => self.enqueue_or_refuse(ctx, now, queued, reason, out),
        }
    }

    fn enqueue_or_refuse<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        mut queued: Queued<R>,
        reason: PassReason,
        out: &mut Outbox<R>,
    ) {
        if matches!(reason, PassReason::AtCap | PassReason::Degraded) {
            ctx.metrics.cap_reached.inc();
        }
        if queued.mode != AcquireMode::Queue || reason == PassReason::UnknownEndpoint {
            return self.refuse(ctx, now, queued, reason, Duration::ZERO, out);
        }
        queued.start_by = self.start_by(&queued, now);
        queued.predicted_wait = self.predict_wait(ctx, &queued);
        // the turn of a team without a backlog does not depend on later requests
        let has_backlog = self.queue.has_backlog(queued.team);
        let correct = |wait| if has_backlog { self.waits.correct(wait) } else { wait };
        let wait = queued.predicted_wait.map(correct);
        let left = queued.start_by.saturating_duration_since(now);
        if let Some(wait) = wait.filter(|wait| *wait > left) {
            let retry = (wait - left).max(MIN_RETRY);
            return self.refuse(ctx, now, queued, PassReason::Deadline, retry, out);
        }
        self.decide(now, queued.request, Decision::Queued, 0);
        let limits = &ctx.limits;
        let max = if queued.may_wait() { limits.may_wait_queue_max } else { limits.queue_max };
        if let Some(evicted) = self.queue.push(queued, max) {
            let retry = wait.unwrap_or(DEFAULT_RETRY).max(MIN_RETRY);
            self.refuse(ctx, now, evicted, PassReason::QueueFull, retry, out);
        }
    }

    /// Latest start at which the answer still ends by the deadline.
    fn start_by(&self, queued: &Queued<R>, now: Instant) -> Instant {
        let speed = self.health.latency(now);
        let run_ms = speed.first_token_ms + f64::from(queued.longest_tokens) * speed.gap_us / 1e3;
        let left = queued.deadline.saturating_duration_since(now);
        let run = Duration::from_secs_f64(run_ms / 1e3).min(left.mul_f64(MAX_RUN_SHARE));
        queued.deadline - run
    }

    /// Predicted wait of a request that would be queued now.
    fn predict_wait<A: Authority>(&self, ctx: &Context<A>, queued: &Queued<R>) -> Option<Duration> {
        let ahead = self.queue.ahead_of(queued, ctx.limits.may_wait_share);
        let long = self.permits.long_in_flight();
        if queued.long && !self.has_long_slot(ctx) {
            return self.waits.predict(ahead, 0, long);
        }
        self.waits.predict(ahead, self.permits.in_flight() - long, long)
    }

    /// Grants permits to waiting requests while there is room.
    pub(super) fn pump<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        out: &mut Outbox<R>,
    ) {
        while !self.queue.is_empty() && !self.is_closed(now) {
            let Some(epoch) = self.acting(ctx, now) else { return };
            let Some(queued) = self.pop_eligible(ctx, now) else { return };
            if queued.start_by <= now {
                let retry = DEFAULT_RETRY;
                self.refuse(ctx, now, queued, PassReason::Deadline, retry, out);
                continue;
            }
            let warm = self.warm.touch(queued.chat);
            let waited = now.saturating_duration_since(queued.arrived_at);
            ctx.metrics.wait.observe(waited.as_secs_f64());
            self.waits.observe_wait(queued.predicted_wait, waited);
            let cap = self.room(ctx, queued.pool, queued.long, now).unwrap_or(0);
            self.grant(ctx, now, queued, warm, (epoch, cap), out);
        }
    }

    fn pop_eligible<A: Authority>(&mut self, ctx: &Context<A>, now: Instant) -> Option<Queued<R>> {
        if self.permits.in_flight() >= self.slots {
            return None;
        }
        let has_room = |pool: &&Arc<PoolView>| self.room(ctx, pool.key, false, now).is_ok();
        let open: Vec<PoolKey> = self.pools.iter().filter(has_room).map(|p| p.key).collect();
        if open.is_empty() {
            return None;
        }
        let long_ok = self.has_long_slot(ctx);
        let eligible = |q: &Queued<R>| open.contains(&q.pool) && (long_ok || !q.long);
        self.queue.pop(ctx.limits.may_wait_share, &eligible)
    }

    fn grant<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        queued: Queued<R>,
        warm: bool,
        (epoch, cap): (Epoch, u32),
        out: &mut Outbox<R>,
    ) {
        let id = ctx.next_permit(epoch);
        let permit = queued.permit(warm, epoch, now, now + ctx.limits.unused_after());
        self.permits.insert(id, permit);
        self.warm.ran_here(queued.chat);
        self.decide(now, queued.request, Decision::Granted { mode: queued.mode, warm }, cap);
        ctx.metrics.count_grant(queued.mode);
        if warm {
            ctx.metrics.warm_grants.inc();
        }
        let speed = self.pool_latency(queued.pool, now);
        let grant = Grant {
            permit: id,
            endpoint: self.key,
            epoch,
            warm,
            priority: Permit::priority(queued.class, queued.long),
            long: queued.long,
            dispatch_within_ms: ctx.limits.dispatch.as_millis() as u32,
            expected_first_token_ms: self.health.expected_first_token_ms(warm, speed),
        };
        out.push((queued.reply, AcquireResult::Granted(grant)));
    }

    pub(super) fn refuse<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        queued: Queued<R>,
        reason: PassReason,
        retry: Duration,
        out: &mut Outbox<R>,
    ) {
        self.decide(now, queued.request, Decision::Refused(reason), 0);
        ctx.metrics.count_refusal(reason);
        let retry_after_ms = u32::try_from(retry.as_millis()).unwrap_or(u32::MAX);
        let moved_to = match queued.mode {
            AcquireMode::IfWarm => self.warm.moved_to(queued.chat).unwrap_or(0),
            AcquireMode::IfRoom | AcquireMode::Queue => 0,
        };
        let refuse = Refuse { reason, retry_after_ms, moved_to };
        out.push((queued.reply, AcquireResult::Refused(refuse)));
    }

    /// Refuses all that wait.
    pub(super) fn refuse_queue<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        reason: PassReason,
        out: &mut Outbox<R>,
    ) {
        for queued in self.queue.extract(|_| true) {
            self.refuse(ctx, now, queued, reason, Duration::ZERO, out);
        }
    }

    /// Sends waiting requests to engines that are free by gossip. One report of a
    /// free engine is used once, and its room is divided by the number of engines
    /// with a queue, so that not all owners fill the same engine.
    pub(super) fn redirect<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        out: &mut Outbox<R>,
    ) {
        if self.queue.is_empty() || ctx.limits.policy != Policy::Owner {
            return;
        }
        for at in 0..self.pools.len() {
            let pool = self.pools[at].clone();
            for free in pool.free_engines(self.key, now) {
                let report = (free.key, free.epoch, free.version);
                if self.redirected.contains(&report) {
                    continue;
                }
                self.redirected.retain(|(key, ..)| *key != free.key);
                self.redirected.push(report);
                self.redirect_some(ctx, now, pool.key, free.room, out);
            }
        }
    }

    fn redirect_some<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        pool: PoolKey,
        count: u32,
        out: &mut Outbox<R>,
    ) {
        for _ in 0..count {
            let eligible = |q: &Queued<R>| q.pool == pool;
            let Some(queued) = self.queue.pop(ctx.limits.may_wait_share, &eligible) else { return };
            self.refuse(ctx, now, queued, PassReason::AtCap, Duration::ZERO, out);
        }
    }
}
