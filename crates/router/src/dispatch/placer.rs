use {
    super::{
        dispatch_metrics::DispatchMetrics,
        permit::Permit,
        permit_client::{NoPermit, PermitAsk, PermitClient},
        refusal::Refusal,
        request_context::RequestContext,
        trace::Trace,
    },
    crate::{
        config::{EndpointInfo, PoolInfo},
        placement::{Candidate, CandidatePlan, Planner},
    },
    mango_http::CallerLink,
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

/// Pause before endpoints without a reachable owner are tried again.
const OWNER_RETRY: Duration = Duration::from_millis(50);
/// Prefill time that a cached token is taken to save.
const PREFILL_US_PER_TOKEN: u64 = 200;
/// Longest wait for room where a chat is warm. A longer one would delay the first
/// token more than a cold start.
const MAX_WARM_WAIT: Duration = Duration::from_millis(300);

/// What a request needs of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Wanted {
    pub(crate) has_history: bool,
    pub(crate) prompt_tokens: u32,
    /// A second sending, which does not wait.
    pub(crate) hedge: bool,
}

/// Finds endpoints for requests by asking their owners for permits.
pub(crate) struct Placer {
    pub(crate) permits: Arc<PermitClient>,
    pub(crate) planner: Arc<Planner>,
    pub(crate) metrics: DispatchMetrics,
}

impl Placer {
    /// Finds an endpoint with a permit that is still valid.
    pub(crate) fn place(
        &self,
        context: &RequestContext,
        wanted: Wanted,
        link: &CallerLink,
        trace: &mut Trace,
    ) -> Result<(Arc<EndpointInfo>, Permit), Refusal> {
        let started = Instant::now();
        loop {
            let mut saw_owner = false;
            for pool in &context.pools {
                let placed =
                    self.place_in_pool(context, pool, wanted, link, trace, &mut saw_owner)?;
                if let Some((endpoint, permit)) = placed {
                    self.metrics.permit_wait_seconds.observe(started.elapsed().as_secs_f64());
                    return Ok((endpoint, permit));
                }
            }
            if wanted.hedge {
                return Err(Refusal::not_run(Reason::NoCapacity, "no other endpoint is free"));
            }
            let is_excluded = |endpoint: &Arc<EndpointInfo>| trace.excluded.contains(&endpoint.key);
            let all_excluded = context.pools.iter().all(|p| p.endpoints.iter().all(is_excluded));
            if let Some(failed) = trace.failed.as_ref().filter(|_| all_excluded) {
                return Err(failed.clone());
            }
            if Instant::now() + OWNER_RETRY >= context.deadline {
                let reason = if saw_owner { Reason::NoCapacity } else { Reason::OwnerUnavailable };
                let detail = format!("no endpoint took the request: {}", trace.tries.join(", "));
                return Err(Refusal::not_run(reason, detail).with_retry_after(1000));
            }
            thread::sleep(OWNER_RETRY);
        }
    }

    fn place_in_pool(
        &self,
        context: &RequestContext,
        pool: &Arc<PoolInfo>,
        wanted: Wanted,
        link: &CallerLink,
        trace: &mut Trace,
        saw_owner: &mut bool,
    ) -> Result<Option<(Arc<EndpointInfo>, Permit)>, Refusal> {
        let ask = PermitAsk {
            pool: pool.key,
            team: context.team.key,
            work: context.work.key,
            chat: context.chat,
            prompt_tokens: wanted.prompt_tokens,
            deadline: context.deadline,
        };
        let Some(mut plan) = self.planner.plan(pool.key, context.chat, wanted.has_history) else {
            return Ok(None);
        };
        let mut refusal = None;
        let mut waited_warm = false;
        while let Some(Candidate { endpoint: key, mode }) = plan.next() {
            if trace.excluded.contains(&key) || (wanted.hedge && mode == AcquireMode::Queue) {
                continue;
            }
            let Some(endpoint) = context.config.endpoint(key).cloned() else { continue };
            let caller_left = || link.is_closed();
            match self.permits.acquire(&ask, key, mode, &caller_left) {
                Ok(permit) if permit.is_valid() => {
                    trace.add(format!("{}: {mode} granted", endpoint.id));
                    self.note_home(&plan, context, key);
                    return Ok(Some((endpoint, permit)));
                }
                Ok(_) => trace.add(format!("{}: permit came too late", endpoint.id)),
                Err(NoPermit::CallerLeft) => {
                    return Err(Refusal::not_run(Reason::CallerLeft, "the caller left"));
                }
                Err(NoPermit::NoOwner) => trace.add(format!("{}: no owner", endpoint.id)),
                Err(NoPermit::Refused { reason, retry_after_ms, moved_to }) => {
                    *saw_owner = true;
                    trace.add(format!("{}: {mode} {reason}", endpoint.id));
                    plan.record_chat_move(key, moved_to);
                    let is_full = matches!(reason, PassReason::AtCap | PassReason::NoSlot);
                    if mode == AcquireMode::IfWarm && is_full && !wanted.hedge && !waited_warm {
                        waited_warm = true;
                        if let Some(permit) = self.wait_warm(&ask, key, &caller_left) {
                            trace.add(format!("{}: waited, granted", endpoint.id));
                            self.note_home(&plan, context, key);
                            return Ok(Some((endpoint, permit)));
                        }
                    }
                    if mode == AcquireMode::Queue {
                        // another queue may be shorter
                        refusal = final_refusal(reason, retry_after_ms).or(refusal);
                        if reason == PassReason::AtCap {
                            plan.restart_search();
                        }
                    }
                }
            }
        }
        refusal.map_or(Ok(None), Err)
    }

    /// Tells the owner of a chat's home where the chat runs instead.
    fn note_home(&self, plan: &CandidatePlan, context: &RequestContext, granted: EndpointKey) {
        if let Some(home) = plan.home_to_notify(granted) {
            self.permits.chat_moved(home, context.chat, granted);
        }
    }

    /// Waits in the queue of an engine where the chat is warm, as long as the prefill
    /// that this may save.
    fn wait_warm(
        &self,
        ask: &PermitAsk,
        endpoint: EndpointKey,
        caller_left: &impl Fn() -> bool,
    ) -> Option<Permit> {
        let prefill = Duration::from_micros(u64::from(ask.prompt_tokens) * PREFILL_US_PER_TOKEN);
        let deadline = ask.deadline.min(Instant::now() + prefill.min(MAX_WARM_WAIT));
        let ask = PermitAsk { deadline, ..*ask };
        let permit = self.permits.acquire(&ask, endpoint, AcquireMode::Queue, caller_left);
        permit.ok().filter(Permit::is_valid)
    }
}

/// Refusal of a queue that is not tried again.
fn final_refusal(reason: PassReason, retry_after_ms: u32) -> Option<Refusal> {
    let (reason, detail) = match reason {
        PassReason::QueueFull => (Reason::QueueFull, "the queue is full"),
        PassReason::Deadline => (Reason::Deadline, "the wait would pass the deadline"),
        _ => return None,
    };
    Some(Refusal::not_run(reason, detail).with_retry_after(retry_after_ms.max(1)))
}
