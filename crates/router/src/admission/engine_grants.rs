use {
    super::{
        acquire_result::AcquireResult, authority::Authority, context::Context, decision::Decision,
        engine_core::EngineCore, pending_request::PendingRequest, permit::Permit,
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

/// Replies with their results, to be sent once the engine's lock is released.
pub(super) type PendingReplies<R> = Vec<(R, AcquireResult)>;

/// Retry delay of a refusal where no predicted wait is available.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// Shortest retry delay of a refusal. After a shorter one, the load would be the same.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Largest share of a request's remaining time that is reserved for its answer.
/// Work whose estimated answer time exceeds its deadline may still be queued for a
/// short time.
const MAX_ANSWER_TIME_SHARE: f64 = 0.9;

impl<R> EngineCore<R> {
    /// Grants, queues or refuses a request for a permit.
    pub(super) fn acquire<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        pending: PendingRequest<R>,
        replies: &mut PendingReplies<R>,
    ) {
        let was_acting = self.epoch.is_some();
        let Some(epoch) = self.acting_epoch(ctx, now) else {
            let reason = if was_acting { PassReason::LeaseLapsed } else { PassReason::NotOwner };
            return self.refuse(ctx, now, pending, reason, Duration::ZERO, replies);
        };
        if self.refuses_new_work(now) {
            return self.refuse(ctx, now, pending, PassReason::Draining, Duration::ZERO, replies);
        }
        if pending.deadline <= now {
            return self.refuse(ctx, now, pending, PassReason::Deadline, Duration::ZERO, replies);
        }
        let warm = self.warm_chats.touch(pending.chat);
        if pending.mode == AcquireMode::IfWarm && !warm {
            return self.refuse(ctx, now, pending, PassReason::Cold, Duration::ZERO, replies);
        }
        // if gossip has raised the cap since the last release, waiting requests come first
        self.grant_waiting(ctx, now, replies);
        match self.check_capacity(ctx, pending.pool, pending.long, now) {
            Ok(_)
                if pending.mode != AcquireMode::Queue
                    && self.should_refuse_degraded(ctx, pending.pool, now) =>
            {
                self.refuse(ctx, now, pending, PassReason::Degraded, Duration::ZERO, replies);
            }
            Ok(cap) => self.grant(ctx, now, pending, warm, (epoch, cap), replies),
            Err(reason) => self.enqueue_or_refuse(ctx, now, pending, reason, replies),
        }
    }

    /// Queues a request that may not start now, or refuses it if it may not queue or
    /// would start too late. A full queue evicts and refuses one of its requests.
    fn enqueue_or_refuse<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        mut pending: PendingRequest<R>,
        reason: PassReason,
        replies: &mut PendingReplies<R>,
    ) {
        if matches!(reason, PassReason::AtCap | PassReason::Degraded) {
            ctx.metrics.cap_reached.inc();
        }
        if pending.mode != AcquireMode::Queue || reason == PassReason::UnknownEndpoint {
            return self.refuse(ctx, now, pending, reason, Duration::ZERO, replies);
        }
        pending.latest_start = self.latest_start(&pending, now);
        pending.predicted_wait = self.predict_wait(ctx, &pending);
        // the correction allows for later requests of other teams, which do not delay a
        // team without a backlog
        let has_backlog = self.queue.has_backlog(pending.team);
        let correct = |wait| if has_backlog { self.wait_model.correct(wait) } else { wait };
        let wait = pending.predicted_wait.map(correct);
        let left = pending.latest_start.saturating_duration_since(now);
        if let Some(wait) = wait.filter(|wait| *wait > left) {
            let retry = (wait - left).max(MIN_RETRY_AFTER);
            return self.refuse(ctx, now, pending, PassReason::Deadline, retry, replies);
        }
        self.record_decision(now, pending.request, Decision::Queued, 0);
        let limits = &ctx.limits;
        let max = if pending.may_wait() { limits.may_wait_queue_max } else { limits.queue_max };
        if let Some(evicted) = self.queue.push(pending, max) {
            let retry = wait.unwrap_or(DEFAULT_RETRY_AFTER).max(MIN_RETRY_AFTER);
            self.refuse(ctx, now, evicted, PassReason::QueueFull, retry, replies);
        }
    }

    /// Latest start time at which the answer still ends by the deadline.
    fn latest_start(&self, pending: &PendingRequest<R>, now: Instant) -> Instant {
        let latency = self.health.latency(now);
        let answer_ms =
            latency.first_token_ms + f64::from(pending.longest_tokens) * latency.gap_us / 1e3;
        let left = pending.deadline.saturating_duration_since(now);
        let answer_time =
            Duration::from_secs_f64(answer_ms / 1e3).min(left.mul_f64(MAX_ANSWER_TIME_SHARE));
        pending.deadline - answer_time
    }

    /// Predicted wait of a request if it is queued now.
    fn predict_wait<A: Authority>(
        &self,
        ctx: &Context<A>,
        pending: &PendingRequest<R>,
    ) -> Option<Duration> {
        let ahead = self.queue.estimate_ahead(pending, ctx.limits.may_wait_share);
        let long = self.permits.long_in_flight();
        if pending.long && !self.has_free_long_slot(ctx) {
            return self.wait_model.predict(ahead, 0, long);
        }
        self.wait_model.predict(ahead, self.permits.in_flight() - long, long)
    }

    /// Grants permits to waiting requests while the engine has capacity.
    pub(super) fn grant_waiting<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        replies: &mut PendingReplies<R>,
    ) {
        while !self.queue.is_empty() && !self.refuses_new_work(now) {
            let Some(epoch) = self.acting_epoch(ctx, now) else { return };
            let Some(pending) = self.pop_eligible(ctx, now) else { return };
            if pending.latest_start <= now {
                let retry = DEFAULT_RETRY_AFTER;
                self.refuse(ctx, now, pending, PassReason::Deadline, retry, replies);
                continue;
            }
            let warm = self.warm_chats.touch(pending.chat);
            let waited = now.saturating_duration_since(pending.arrived_at);
            ctx.metrics.wait.observe(waited.as_secs_f64());
            self.wait_model.observe_wait(pending.predicted_wait, waited);
            let cap = self.check_capacity(ctx, pending.pool, pending.long, now).unwrap_or(0);
            self.grant(ctx, now, pending, warm, (epoch, cap), replies);
        }
    }

    /// Removes the next request that may start now from the queue.
    fn pop_eligible<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
    ) -> Option<PendingRequest<R>> {
        if self.permits.in_flight() >= self.slots {
            return None;
        }
        let has_capacity =
            |pool: &&Arc<PoolView>| self.check_capacity(ctx, pool.key, false, now).is_ok();
        let open_pools: Vec<PoolKey> =
            self.pools.iter().filter(has_capacity).map(|p| p.key).collect();
        if open_pools.is_empty() {
            return None;
        }
        let has_long_slot = self.has_free_long_slot(ctx);
        let eligible =
            |q: &PendingRequest<R>| open_pools.contains(&q.pool) && (has_long_slot || !q.long);
        self.queue.pop(ctx.limits.may_wait_share, &eligible)
    }

    fn grant<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        pending: PendingRequest<R>,
        warm: bool,
        (epoch, cap): (Epoch, u32),
        replies: &mut PendingReplies<R>,
    ) {
        let id = ctx.next_permit_number(epoch);
        let permit = pending.permit(warm, epoch, now, now + ctx.limits.unused_permit_timeout());
        self.permits.insert(id, permit);
        self.warm_chats.record_run(pending.chat);
        self.record_decision(
            now,
            pending.request,
            Decision::Granted { mode: pending.mode, warm },
            cap,
        );
        ctx.metrics.count_grant(pending.mode);
        if warm {
            ctx.metrics.warm_grants.inc();
        }
        let pool_latency = self.pool_latency(pending.pool, now);
        let grant = Grant {
            permit: id,
            endpoint: self.key,
            epoch,
            warm,
            priority: Permit::priority(pending.class, pending.long),
            long: pending.long,
            dispatch_within_ms: ctx.limits.dispatch_timeout.as_millis() as u32,
            expected_first_token_ms: self.health.expected_first_token_ms(warm, pool_latency),
        };
        replies.push((pending.reply, AcquireResult::Granted(grant)));
    }

    pub(super) fn refuse<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        pending: PendingRequest<R>,
        reason: PassReason,
        retry: Duration,
        replies: &mut PendingReplies<R>,
    ) {
        self.record_decision(now, pending.request, Decision::Refused(reason), 0);
        ctx.metrics.count_refusal(reason);
        let retry_after_ms = u32::try_from(retry.as_millis()).unwrap_or(u32::MAX);
        let moved_to = match pending.mode {
            AcquireMode::IfWarm => self.warm_chats.moved_to(pending.chat).unwrap_or(0),
            AcquireMode::IfRoom | AcquireMode::Queue => 0,
        };
        let refuse = Refuse { reason, retry_after_ms, moved_to };
        replies.push((pending.reply, AcquireResult::Refused(refuse)));
    }

    /// Refuses all waiting requests.
    pub(super) fn refuse_waiting<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        reason: PassReason,
        replies: &mut PendingReplies<R>,
    ) {
        for pending in self.queue.extract(|_| true) {
            self.refuse(ctx, now, pending, reason, Duration::ZERO, replies);
        }
    }

    /// Refuses waiting requests with `AtCap`, so that their entry routers try other
    /// engines, which are free according to gossip. Each report of a free engine is
    /// used once, and its free capacity is divided by the number of engines with a
    /// queue, so that not all owners send requests to the same engine.
    pub(super) fn redirect_waiting<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        replies: &mut PendingReplies<R>,
    ) {
        if self.queue.is_empty() || ctx.limits.policy != Policy::Owner {
            return;
        }
        for at in 0..self.pools.len() {
            let pool = self.pools[at].clone();
            for free in pool.free_engines(self.key, now) {
                let report = (free.key, free.epoch, free.version);
                if self.used_reports.contains(&report) {
                    continue;
                }
                self.used_reports.retain(|(key, ..)| *key != free.key);
                self.used_reports.push(report);
                self.redirect_from_pool(ctx, now, pool.key, free.max_redirects, replies);
            }
        }
    }

    fn redirect_from_pool<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        pool: PoolKey,
        count: u32,
        replies: &mut PendingReplies<R>,
    ) {
        for _ in 0..count {
            let eligible = |q: &PendingRequest<R>| q.pool == pool;
            let Some(pending) = self.queue.pop(ctx.limits.may_wait_share, &eligible) else {
                return;
            };
            self.refuse(ctx, now, pending, PassReason::AtCap, Duration::ZERO, replies);
        }
    }
}
