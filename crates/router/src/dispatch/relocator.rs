use {
    super::{
        attempt::Attempt,
        endpoint_clients::EndpointClients,
        engine_job::EngineJob,
        extra_call_budget::ExtraCallBudget,
        permit::Permit,
        permit_client::{PermitClient, PermitParams},
        request_context::RequestContext,
    },
    crate::{
        config::EndpointInfo,
        endpoint::{EngineCall, WorkerPool},
        placement::Planner,
    },
    bytes::Bytes,
    mango_wire::{EndpointKey, PoolKey, peer::AcquireMode},
    serde_json::{Value, json},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Key of the budget for hedges and moves, which all teams share.
pub(crate) const ALL_TEAMS: u32 = 0;
/// Cost of a move to the budget, in extra calls: the share of a request's work that is done
/// twice, which is the prefill and the tokens that the slow engine generates until it is
/// cancelled.
const MOVE_COST: f64 = 0.25;
/// Lower bound of the token gap from which on an answer is slow. Thread scheduling on busy
/// hosts causes shorter gaps.
const MIN_TOKEN_GAP_LIMIT: Duration = Duration::from_millis(50);

/// Moves answers that have become slow: another engine continues the text, and the request
/// is cancelled at the slow engine.
pub(crate) struct Relocator {
    pub(crate) permits: Arc<PermitClient>,
    pub(crate) endpoints: Arc<EndpointClients>,
    pub(crate) planner: Arc<Planner>,
    pub(crate) workers: Arc<WorkerPool<EngineJob>>,
    /// Budget that limits moves; shared with the hedges.
    pub(crate) budget: Arc<ExtraCallBudget>,
    /// Multiple of the pool's usual token gap after which an answer is slow.
    pub(crate) token_gap_ratio: f64,
}

/// Data needed to continue the answer to one request on another engine.
pub(crate) struct Relocation {
    pub(crate) relocator: Arc<Relocator>,
    pub(crate) context: RequestContext,
    pub(crate) body: Bytes,
    pub(crate) prompt_tokens: u32,
    /// Number of moves started so far.
    pub(crate) moves: u32,
}

impl Relocation {
    /// Time without a token after which the answer is moved; `None` while the pool's usual
    /// token gap is not known.
    pub(crate) fn token_gap_limit(&self) -> Option<Duration> {
        let pool = self.context.pools.first()?;
        let gap_us = self.relocator.planner.pool_latency(pool.key).gap_us?;
        let limit = Duration::from_secs_f64(gap_us * self.relocator.token_gap_ratio / 1e6);
        Some(limit.max(MIN_TOKEN_GAP_LIMIT))
    }

    /// Starts to continue the answer at token index `from` on another engine that has room
    /// at once; `None` if there is none or the budget is used up. `text` is the answer so far.
    pub(crate) fn start_on_other_engine(
        &mut self,
        slow: &Attempt,
        text: &str,
        from: u32,
    ) -> Option<Attempt> {
        let relocator = self.relocator.clone();
        let body = continued_body(&self.body, text, from)?;
        if !relocator.budget.take_cost(ALL_TEAMS, MOVE_COST) {
            return None;
        }
        let (endpoint, permit) = self.acquire_permit(slow.endpoint.key)?;
        self.moves += 1;
        let call = EngineCall {
            attempt_id: format!("{}-m{}", self.context.request_id, self.moves),
            priority: permit.grant.priority,
            body,
            first_index: from,
            ..slow.call.clone()
        };
        let engine = relocator.endpoints.engine(&endpoint);
        let workers = relocator.workers.clone();
        let attempt = Attempt::start(endpoint, engine, permit, call, workers, true).ok()?;
        attempt.permit.report_progress();
        Some(attempt)
    }

    fn acquire_permit(&self, slow: EndpointKey) -> Option<(Arc<EndpointInfo>, Permit)> {
        self.context.pools.iter().find_map(|pool| self.acquire_in_pool(pool.key, slow))
    }

    fn acquire_in_pool(
        &self,
        pool: PoolKey,
        slow: EndpointKey,
    ) -> Option<(Arc<EndpointInfo>, Permit)> {
        let context = &self.context;
        let params = PermitParams {
            pool,
            team: context.team.key,
            work: context.work.key,
            chat: context.chat,
            prompt_tokens: self.prompt_tokens,
            deadline: context.deadline,
        };
        // planned without the chat, since the engine that is preferred for it is often the
        // slow one
        let plan = self.relocator.planner.plan(pool, 0, false)?;
        for candidate in plan.filter(|c| c.mode == AcquireMode::IfRoom && c.endpoint != slow) {
            let Some(endpoint) = context.config.endpoint(candidate.endpoint) else { continue };
            let permits = &self.relocator.permits;
            match permits.acquire(&params, candidate.endpoint, AcquireMode::IfRoom, &|| false) {
                Ok(permit) if permit.is_valid() => return Some((endpoint.clone(), permit)),
                _ => {}
            }
        }
        None
    }
}

/// Body of the request with the answer so far added as its last message, which the engine
/// continues. The engine numbers its tokens from `from` on.
pub(crate) fn continued_body(body: &Bytes, text: &str, from: u32) -> Option<Bytes> {
    let mut value: Value = serde_json::from_slice(body).ok()?;
    let object = value.as_object_mut()?;
    let messages = object.get_mut("messages")?.as_array_mut()?;
    messages.push(json!({ "role": "assistant", "content": text }));
    object.insert("continue_final_message".to_owned(), true.into());
    object.insert("add_generation_prompt".to_owned(), false.into());
    object.insert("continue_from".to_owned(), from.into());
    Some(value.to_string().into())
}

/// Time by which the other engine must send its first token; otherwise the answer is not
/// moved.
pub(crate) fn move_deadline(deadline: Instant) -> Instant {
    const MAX_MOVE_WAIT: Duration = Duration::from_millis(500);
    deadline.min(Instant::now() + MAX_MOVE_WAIT)
}
