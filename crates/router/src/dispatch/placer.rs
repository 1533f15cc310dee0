use {
    super::{
        dispatch_metrics::DispatchMetrics,
        permit::Permit,
        permit_client::{AcquireError, PermitClient, PermitParams},
        placement_trace::PlacementTrace,
        refusal::Refusal,
        request_context::RequestContext,
    },
    crate::{
        config::{EndpointInfo, PoolInfo},
        placement::{Candidate, CandidatePlan, Planner},
    },
    mango_http::CallerConnection,
    mango_wire::{
        EndpointKey, Reason,
        peer::{AcquireMode, PassReason},
    },
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Pause before a request that no endpoint has accepted is placed again.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Prefill time that each cached prompt token is assumed to save, in microseconds.
const PREFILL_US_PER_TOKEN: u64 = 200;
/// Maximum wait for room at an engine where the chat is warm, which means that the engine
/// has the chat's context cached. A longer wait would delay the first token more than a
/// start on an engine without it.
const MAX_WARM_WAIT: Duration = Duration::from_millis(300);

/// Properties of a request that decide where it may be placed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlacementOptions {
    pub(crate) has_history: bool,
    pub(crate) prompt_tokens: u32,
    /// Whether this is the second attempt of a hedged request, which does not wait for room.
    pub(crate) hedge: bool,
}

/// Finds endpoints for requests and acquires permits from their owners.
pub(crate) struct Placer {
    pub(crate) permits: Arc<PermitClient>,
    pub(crate) planner: Arc<Planner>,
    pub(crate) metrics: DispatchMetrics,
}

impl Placer {
    /// Finds an endpoint and acquires a permit that is still valid. Tries again until the
    /// request's deadline while no endpoint accepts the request; a hedge is tried only once.
    pub(crate) fn place(
        &self,
        context: &RequestContext,
        options: PlacementOptions,
        caller: &CallerConnection,
        trace: &mut PlacementTrace,
    ) -> Result<(Arc<EndpointInfo>, Permit), Refusal> {
        let started = Instant::now();
        loop {
            let mut owner_answered = false;
            for pool in &context.pools {
                let placed =
                    self.place_in_pool(context, pool, options, caller, trace, &mut owner_answered)?;
                if let Some((endpoint, permit)) = placed {
                    self.metrics.permit_wait_seconds.observe(started.elapsed().as_secs_f64());
                    return Ok((endpoint, permit));
                }
            }
            if options.hedge {
                return Err(Refusal::not_run(Reason::NoCapacity, "no other endpoint is free"));
            }
            let is_excluded = |endpoint: &Arc<EndpointInfo>| trace.excluded.contains(&endpoint.key);
            let all_excluded = context.pools.iter().all(|p| p.endpoints.iter().all(is_excluded));
            if let Some(failure) = trace.last_failure.as_ref().filter(|_| all_excluded) {
                return Err(failure.clone());
            }
            if Instant::now() + OWNER_RETRY_DELAY >= context.deadline {
                let reason =
                    if owner_answered { Reason::NoCapacity } else { Reason::OwnerUnavailable };
                let detail = format!("no endpoint took the request: {}", trace.steps.join(", "));
                return Err(Refusal::not_run(reason, detail).with_retry_after(1000));
            }
            thread::sleep(OWNER_RETRY_DELAY);
        }
    }

    /// Tries the candidates of one pool in the planner's order; `Ok(None)` if none of them
    /// accepts the request now. Sets `owner_answered` if an owner refused the request.
    fn place_in_pool(
        &self,
        context: &RequestContext,
        pool: &Arc<PoolInfo>,
        options: PlacementOptions,
        caller: &CallerConnection,
        trace: &mut PlacementTrace,
        owner_answered: &mut bool,
    ) -> Result<Option<(Arc<EndpointInfo>, Permit)>, Refusal> {
        let params = PermitParams {
            pool: pool.key,
            team: context.team.key,
            work: context.work.key,
            chat: context.chat,
            prompt_tokens: options.prompt_tokens,
            deadline: context.deadline,
        };
        let Some(mut plan) = self.planner.plan(pool.key, context.chat, options.has_history) else {
            return Ok(None);
        };
        let mut refusal = None;
        let mut waited_at_warm_engine = false;
        while let Some(Candidate { endpoint: key, mode }) = plan.next() {
            if trace.excluded.contains(&key) || (options.hedge && mode == AcquireMode::Queue) {
                continue;
            }
            let Some(endpoint) = context.config.endpoint(key).cloned() else { continue };
            let caller_left = || caller.is_closed();
            match self.permits.acquire(&params, key, mode, &caller_left) {
                Ok(permit) if permit.is_valid() => {
                    trace.add_step(format!("{}: {mode} granted", endpoint.id));
                    self.notify_home(&plan, context, key);
                    return Ok(Some((endpoint, permit)));
                }
                Ok(_) => trace.add_step(format!("{}: permit came too late", endpoint.id)),
                Err(AcquireError::CallerLeft) => {
                    return Err(Refusal::not_run(Reason::CallerLeft, "the caller left"));
                }
                Err(AcquireError::NoOwner) => trace.add_step(format!("{}: no owner", endpoint.id)),
                Err(AcquireError::Refused { reason, retry_after_ms, moved_to }) => {
                    *owner_answered = true;
                    trace.add_step(format!("{}: {mode} {reason}", endpoint.id));
                    plan.record_chat_move(key, moved_to);
                    let is_full = matches!(reason, PassReason::AtCap | PassReason::NoSlot);
                    if mode == AcquireMode::IfWarm
                        && is_full
                        && !options.hedge
                        && !waited_at_warm_engine
                    {
                        waited_at_warm_engine = true;
                        if let Some(permit) = self.wait_at_warm_engine(&params, key, &caller_left) {
                            trace.add_step(format!("{}: waited, granted", endpoint.id));
                            self.notify_home(&plan, context, key);
                            return Ok(Some((endpoint, permit)));
                        }
                    }
                    if mode == AcquireMode::Queue {
                        // the search goes on, since another engine's queue may be shorter
                        refusal = queue_refusal(reason, retry_after_ms).or(refusal);
                        if reason == PassReason::AtCap {
                            plan.restart_search();
                        }
                    }
                }
            }
        }
        refusal.map_or(Ok(None), Err)
    }

    /// Notifies the owner of the chat's home if the chat runs on another engine and the owner
    /// has not recorded that yet.
    fn notify_home(&self, plan: &CandidatePlan, context: &RequestContext, granted: EndpointKey) {
        if let Some(home) = plan.home_to_notify(granted) {
            self.permits.send_chat_moved(home, context.chat, granted);
        }
    }

    /// Waits in the queue of an engine where the chat is warm, at most as long as the prefill
    /// that the cached context may save.
    fn wait_at_warm_engine(
        &self,
        params: &PermitParams,
        endpoint: EndpointKey,
        caller_left: &impl Fn() -> bool,
    ) -> Option<Permit> {
        let prefill = Duration::from_micros(u64::from(params.prompt_tokens) * PREFILL_US_PER_TOKEN);
        let deadline = params.deadline.min(Instant::now() + prefill.min(MAX_WARM_WAIT));
        let params = PermitParams { deadline, ..*params };
        let permit = self.permits.acquire(&params, endpoint, AcquireMode::Queue, caller_left);
        permit.ok().filter(Permit::is_valid)
    }
}

/// Refusal that the caller gets if an owner did not queue the request for `reason`; `None`
/// if the placement is tried again.
fn queue_refusal(reason: PassReason, retry_after_ms: u32) -> Option<Refusal> {
    let (reason, detail) = match reason {
        PassReason::QueueFull => (Reason::QueueFull, "the queue is full"),
        PassReason::Deadline => (Reason::Deadline, "the wait would pass the deadline"),
        _ => return None,
    };
    Some(Refusal::not_run(reason, detail).with_retry_after(retry_after_ms.max(1)))
}
