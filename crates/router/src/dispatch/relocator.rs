use {
    super::{
        attempt::Attempt,
        endpoint_table::EndpointTable,
        engine_job::EngineJob,
        permit::Permit,
        permit_client::{PermitAsk, PermitClient},
        request_context::RequestContext,
        share_budget::ShareBudget,
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

/// Budget key for extra work, which is limited over all teams.
pub(crate) const ALL_TEAMS: u32 = 0;
/// Share of a request's work that a move repeats: the prefill, and the tokens that the
/// slow engine generates until it is cancelled.
const MOVE_COST: f64 = 0.25;
/// Shorter silences come from the scheduling of threads on busy hosts.
const MIN_SILENCE: Duration = Duration::from_millis(50);

/// Moves answers that became slow to other engines.
pub(crate) struct Relocator {
    pub(crate) permits: Arc<PermitClient>,
    pub(crate) endpoints: Arc<EndpointTable>,
    pub(crate) planner: Arc<Planner>,
    pub(crate) workers: Arc<WorkerPool<EngineJob>>,
    pub(crate) extra: Arc<ShareBudget>,
    /// Multiple of the pool's usual token gap after which an answer is slow.
    pub(crate) silence_ratio: f64,
}

/// What is needed to continue one request elsewhere.
pub(crate) struct Relocation {
    pub(crate) relocator: Arc<Relocator>,
    pub(crate) context: RequestContext,
    pub(crate) body: Bytes,
    pub(crate) prompt_tokens: u32,
    pub(crate) moves: u32,
}

impl Relocation {
    /// Silence after which the answer is to be moved; `None` while no usual gap is known.
    pub(crate) fn silence(&self) -> Option<Duration> {
        let pool = self.context.pools.first()?;
        let gap_us = self.relocator.planner.pool_latency(pool.key).gap_us?;
        let silence = Duration::from_secs_f64(gap_us * self.relocator.silence_ratio / 1e6);
        Some(silence.max(MIN_SILENCE))
    }

    /// Starts the rest of an answer on another engine that has room at once; `None` if
    /// there is none or the budget is used up.
    pub(crate) fn start(&mut self, slow: &Attempt, text: &str, from: u32) -> Option<Attempt> {
        let relocator = self.relocator.clone();
        let body = continued_body(&self.body, text, from)?;
        if !relocator.extra.take_cost(ALL_TEAMS, MOVE_COST) {
            return None;
        }
        let (endpoint, permit) = self.permit(slow.endpoint.key)?;
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

    fn permit(&self, slow: EndpointKey) -> Option<(Arc<EndpointInfo>, Permit)> {
        self.context.pools.iter().find_map(|pool| self.permit_in(pool.key, slow))
    }

    fn permit_in(&self, pool: PoolKey, slow: EndpointKey) -> Option<(Arc<EndpointInfo>, Permit)> {
        let context = &self.context;
        let ask = PermitAsk {
            pool,
            team: context.team.key,
            work: context.work.key,
            chat: context.chat,
            prompt_tokens: self.prompt_tokens,
            deadline: context.deadline,
        };
        // without the chat, whose home is often the slow engine
        let plan = self.relocator.planner.plan(pool, 0, false)?;
        for candidate in plan.filter(|c| c.mode == AcquireMode::IfRoom && c.endpoint != slow) {
            let Some(endpoint) = context.config.endpoint(candidate.endpoint) else { continue };
            let permits = &self.relocator.permits;
            match permits.acquire(&ask, candidate.endpoint, AcquireMode::IfRoom, &|| false) {
                Ok(permit) if permit.is_valid() => return Some((endpoint.clone(), permit)),
                _ => {}
            }
        }
        None
    }
}

/// The request with the answer so far as its last message, which the engine continues.
/// Tokens are numbered from `from` on.
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

/// Longest wait for the first token of a moved answer.
pub(crate) fn move_wait(deadline: Instant) -> Instant {
    const MOVE_WAIT: Duration = Duration::from_millis(500);
    deadline.min(Instant::now() + MOVE_WAIT)
}
