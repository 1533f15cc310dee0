use {
    super::{
        authority::Authority, context::Context, decision::Decision, demotion::Demotion,
        engine_core::EngineCore, engine_grants::PendingReplies, permit::Permit,
    },
    mango_wire::{
        config::WorkClass,
        peer::{PassReason, PermitInUse, Progress, Release, ReleaseOutcome},
    },
    std::time::{Duration, Instant},
};

/// Fewest tokens from which the mean gap between tokens is meaningful.
const MIN_GAP_TOKENS: u32 = 4;
/// Time for which new work is refused after an engine did not accept a request; a
/// little longer than the interval of its load reports. A crashed engine has the
/// lowest load of its pool, so without the pause it attracted every request until
/// its reports were missed.
const NOT_ACCEPTED_PAUSE: Duration = Duration::from_millis(300);

impl<R> EngineCore<R> {
    pub(super) fn release<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        origin: u64,
        release: &Release,
        replies: &mut PendingReplies<R>,
    ) {
        self.permits.forget_freed(release.permit);
        if self.permits.get_mut(release.permit).is_none_or(|p| p.origin != origin) {
            return;
        }
        let Some(permit) = self.permits.remove(release.permit) else { return };
        self.update_models(ctx, now, &permit, release);
        self.grant_waiting(ctx, now, replies);
    }

    fn update_models<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        permit: &Permit,
        release: &Release,
    ) {
        let is_completed = release.outcome == ReleaseOutcome::Completed;
        if release.outcome == ReleaseOutcome::NotAccepted {
            self.paused_until = Some(now + NOT_ACCEPTED_PAUSE);
        }
        if !matches!(release.outcome, ReleaseOutcome::Unused | ReleaseOutcome::NotAccepted) {
            let held = now.saturating_duration_since(permit.granted_at);
            self.wait_model.observe_hold(permit.long, held);
        }
        if is_completed && release.tokens > 0 {
            ctx.length_model.observe(permit.team, permit.work, release.tokens);
        }
        if !permit.has_first_token && release.first_token_ms > 0 {
            self.observe_first_token(ctx, now, permit, f64::from(release.first_token_ms));
        }
        if release.tokens >= MIN_GAP_TOKENS && release.gap_us > 0 {
            self.observe_gap(ctx, now, permit, f64::from(release.gap_us));
        }
        let is_cached = is_completed || release.tokens > 0 || permit.warm;
        if !is_cached {
            self.warm_chats.remove(permit.chat);
        }
    }

    /// Records the first token or the current length of a running request. A
    /// first-token time of 0 only confirms that the request was sent. Returns the
    /// new priority of work that has just turned out to be long.
    pub(super) fn progress<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        progress: &Progress,
    ) -> Option<Demotion> {
        if self.permits.reinstate(progress.permit) {
            ctx.metrics.reinstated_permits.inc();
            self.record_decision(now, 0, Decision::Reinstated, 0);
        }
        let permit = self.permits.get_mut(progress.permit)?;
        permit.in_use = true;
        permit.free_at = None;
        let is_first = !permit.has_first_token && progress.first_token_ms > 0;
        permit.has_first_token |= is_first;
        let permit = permit.clone();
        if is_first {
            self.observe_first_token(ctx, now, &permit, f64::from(progress.first_token_ms));
        }
        if progress.tokens >= MIN_GAP_TOKENS && progress.gap_us > 0 {
            self.observe_gap(ctx, now, &permit, f64::from(progress.gap_us));
        }
        if progress.tokens > ctx.limits.long_tokens {
            ctx.length_model.observe_running(permit.team, permit.work, progress.tokens);
        }
        if progress.tokens <= ctx.limits.long_tokens || !self.permits.mark_long(progress.permit) {
            return None;
        }
        ctx.metrics.demoted.inc();
        self.record_decision(now, permit.request, Decision::Demoted, 0);
        Some(Demotion { permit: progress.permit, priority: permit.demoted_priority() })
    }

    fn observe_first_token<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        permit: &Permit,
        first_token_ms: f64,
    ) {
        let pool_latency = self.pool_latency(permit.pool, now);
        let settings = &ctx.limits.health;
        self.health.observe_first_token(first_token_ms, permit.warm, pool_latency, settings);
        self.load_cell.set_latency(self.health.latency(now));
    }

    fn observe_gap<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        permit: &Permit,
        gap_us: f64,
    ) {
        let pool_latency = self.pool_latency(permit.pool, now);
        let slowness = self.health.slowness();
        self.health.observe_gap(gap_us, pool_latency, &ctx.limits.health);
        if self.health.slowness() < slowness {
            // the engine recovers, so the next request may probe it at once
            self.next_probe_at = None;
        }
        self.load_cell.set_latency(self.health.latency(now));
    }

    /// Refuses a waiting request, or ends its permit unless its use was confirmed.
    pub(super) fn cancel<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        origin: u64,
        request: u64,
        replies: &mut PendingReplies<R>,
    ) {
        for pending in self.queue.extract(|q| q.origin == origin && q.request == request) {
            self.refuse(ctx, now, pending, PassReason::Cancelled, Duration::ZERO, replies);
        }
        // the grant and the cancellation crossed, so the permit will not be used
        if let Some(permit) = self.permits.find_unused(origin, request) {
            self.permits.remove(permit);
            self.grant_waiting(ctx, now, replies);
        }
    }

    pub(super) fn host_down<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        origin: u64,
        replies: &mut PendingReplies<R>,
    ) {
        let free_at = now + ctx.limits.permit_idle_timeout;
        for permit in self.permits.values_mut().filter(|p| p.origin == origin) {
            permit.free_at = Some(permit.free_at.map_or(free_at, |at| at.max(free_at)));
        }
        for pending in self.queue.extract(|q| q.origin == origin) {
            self.refuse(ctx, now, pending, PassReason::Cancelled, Duration::ZERO, replies);
        }
    }

    /// Applies the complete list of permits that a host uses on this engine.
    /// Unknown permits are added. Permits of the host that are not listed are
    /// freed, except recent ones, whose grants may not have arrived yet.
    pub(super) fn reregister<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        origin: u64,
        listed: &[(PermitInUse, WorkClass)],
        replies: &mut PendingReplies<R>,
    ) {
        for (in_use, class) in listed {
            self.permits.forget_freed(in_use.permit);
            match self.permits.get_mut(in_use.permit) {
                Some(permit) => confirm_in_use(permit, now),
                None => {
                    let permit = self.reregistered_permit(origin, in_use, *class, now);
                    self.permits.insert(in_use.permit, permit);
                }
            }
        }
        let is_listed = |id| listed.iter().any(|(p, _)| p.permit == id);
        let unused_after = ctx.limits.unused_permit_timeout();
        let freed = self.permits.retain(|id, p| {
            p.origin != origin || p.granted_at + unused_after > now || is_listed(id)
        });
        if freed > 0 {
            ctx.metrics.freed_permits.inc_by(freed as u64);
            self.record_decision(now, 0, Decision::FreedUnlisted, 0);
            self.grant_waiting(ctx, now, replies);
        }
    }

    fn reregistered_permit(
        &self,
        origin: u64,
        in_use: &PermitInUse,
        class: WorkClass,
        now: Instant,
    ) -> Permit {
        Permit {
            origin,
            request: 0,
            team: in_use.team,
            work: in_use.work,
            class,
            pool: self.pools.first().map_or(0, |pool| pool.key),
            chat: 0,
            warm: true,
            long: in_use.long,
            epoch: in_use.epoch,
            granted_at: now,
            free_at: None,
            in_use: true,
            // its first-token time began under another owner, so it is not comparable
            has_first_token: true,
            counted_late: true,
            reregistered_at: Some(now),
        }
    }

    /// Refuses expired requests, frees expired permits, records late first tokens,
    /// and grants or redirects waiting requests by the newest loads.
    pub(super) fn tick<A: Authority>(
        &mut self,
        ctx: &Context<A>,
        now: Instant,
        replies: &mut PendingReplies<R>,
    ) {
        if self.is_idle() {
            return;
        }
        for pending in self.queue.expire(now) {
            let waited = now.saturating_duration_since(pending.arrived_at);
            self.wait_model.observe_wait(pending.predicted_wait, waited);
            self.refuse(ctx, now, pending, PassReason::Deadline, Duration::ZERO, replies);
        }
        for permit in self.permits.free_expired(now) {
            let was_in_use = permit.in_use;
            let decision = if was_in_use { Decision::FreedHostDown } else { Decision::FreedUnused };
            ctx.metrics.freed_permits.inc();
            self.record_decision(now, permit.request, decision, 0);
        }
        self.count_late_first_tokens(ctx, now);
        if self.acting_epoch(ctx, now).is_none() {
            return self.refuse_waiting(ctx, now, PassReason::LeaseLapsed, replies);
        }
        self.grant_waiting(ctx, now, replies);
        self.redirect_waiting(ctx, now, replies);
    }

    /// Records each late first token once, with the time waited so far. Otherwise a
    /// stalled engine would look healthy until it answers.
    fn count_late_first_tokens<A: Authority>(&mut self, ctx: &Context<A>, now: Instant) {
        let Some(pool) = self.pools.first().map(|pool| pool.latency(now)) else { return };
        let Some(late_ms) = self.health.late_first_token_ms(pool, &ctx.limits.health) else {
            return;
        };
        let waited_ms =
            |p: &Permit| now.saturating_duration_since(p.granted_at).as_secs_f64() * 1000.0;
        let mut late = Vec::new();
        for permit in self.permits.values_mut() {
            let is_waiting = permit.in_use && !permit.has_first_token && !permit.counted_late;
            if is_waiting && waited_ms(permit) > late_ms {
                permit.counted_late = true;
                late.push(permit.clone());
            }
        }
        for permit in late {
            self.observe_first_token(ctx, now, &permit, waited_ms(&permit));
        }
    }
}

fn confirm_in_use(permit: &mut Permit, now: Instant) {
    permit.in_use = true;
    permit.free_at = None;
    permit.reregistered_at = Some(now);
}
