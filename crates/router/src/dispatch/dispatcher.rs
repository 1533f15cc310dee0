use {
    super::{
        attempt::Attempt,
        chat_answer::ChatAnswer,
        chat_call::ChatCall,
        chat_run::{ChatRun, RunLimits, RunParts, completion_body},
        chat_stream::ChatStream,
        claim_client::{ClaimClient, ClaimDecision, GrantedClaim},
        decision_log::{Decision, DecisionLog, now_ms},
        dispatch_metrics::DispatchMetrics,
        endpoint_clients::EndpointClients,
        engine_job::{AnswerStart, EngineJob, RemainingEvents},
        extra_call_budget::ExtraCallBudget,
        permit_client::PermitClient,
        placement_trace::PlacementTrace,
        placer::{PlacementOptions, Placer},
        refusal::Refusal,
        relocator::{ALL_TEAMS, Relocation, Relocator},
        request_context::RequestContext,
        service_reply::ServiceReply,
        service_request::ServiceRequest,
    },
    crate::{
        callers::InFlightGuard,
        endpoint::{CallFailure, EngineCall, EngineEvent, Service, ServiceCall, WorkerPool},
        orders::KvMoveCostModel,
        placement::Planner,
    },
    crossbeam::{channel::RecvTimeoutError, select},
    mango_http::CallerConnection,
    mango_wire::{
        Reason,
        peer::ReleaseOutcome,
        problem::Verdict,
        settings::{AdmissionSettings, DispatchSettings},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Maximum number of attempts of one request, the first one included; hedges and moves are
/// not counted.
const MAX_ATTEMPTS: u32 = 3;
/// Interval at which a waiting request checks whether its caller has disconnected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Places requests on endpoints and runs them there. Sends failed requests again (retry),
/// sends a request to a second engine if the first token is late (hedge), and continues an
/// answer that has become slow on another engine (move).
pub(crate) struct Dispatcher {
    settings: DispatchSettings,
    long_tokens: u32,
    placer: Placer,
    claims: Arc<ClaimClient>,
    endpoints: Arc<EndpointClients>,
    planner: Arc<Planner>,
    decisions: Arc<DecisionLog>,
    workers: Arc<WorkerPool<EngineJob>>,
    retry_budget: ExtraCallBudget,
    hedge_budget: Arc<ExtraCallBudget>,
    relocator: Arc<Relocator>,
    kv_cost: Arc<KvMoveCostModel>,
    metrics: DispatchMetrics,
}

/// Components that a dispatcher uses.
pub(crate) struct DispatcherParts {
    pub(crate) permits: Arc<PermitClient>,
    pub(crate) claims: Arc<ClaimClient>,
    pub(crate) endpoints: Arc<EndpointClients>,
    pub(crate) planner: Arc<Planner>,
    pub(crate) decisions: Arc<DecisionLog>,
    pub(crate) kv_cost: Arc<KvMoveCostModel>,
    pub(crate) metrics: DispatchMetrics,
}

impl Dispatcher {
    pub(crate) fn new(
        settings: DispatchSettings,
        admission_settings: &AdmissionSettings,
        parts: DispatcherParts,
    ) -> Self {
        let retry_budget = ExtraCallBudget::new(settings.retry_share, 3.0);
        let hedge_budget = Arc::new(ExtraCallBudget::new(settings.hedge_share, 1.0));
        let workers = Arc::new(WorkerPool::new());
        let DispatcherParts { permits, claims, endpoints, planner, decisions, kv_cost, metrics } =
            parts;
        let relocator = Arc::new(Relocator {
            permits: permits.clone(),
            endpoints: endpoints.clone(),
            planner: planner.clone(),
            workers: workers.clone(),
            budget: hedge_budget.clone(),
            token_gap_ratio: settings.hedge_ratio,
        });
        Self {
            settings,
            long_tokens: admission_settings.long_tokens,
            placer: Placer { permits, planner: planner.clone(), metrics: metrics.clone() },
            claims,
            endpoints,
            planner,
            decisions,
            workers,
            retry_budget,
            hedge_budget,
            kv_cost,
            relocator,
            metrics,
        }
    }

    /// Runs a chat completion. A streamed answer is returned when its first event has arrived.
    pub(crate) fn chat(
        &self,
        context: &RequestContext,
        call: ChatCall,
        guard: InFlightGuard,
        caller: &CallerConnection,
    ) -> Result<ChatAnswer, Refusal> {
        let claim = match self.claim(context)? {
            None => None,
            Some(ClaimDecision::Granted(claim)) => Some(claim),
            Some(ClaimDecision::Stored { status, content_type, body }) => {
                return Ok(ChatAnswer::Stored { status, content_type, body });
            }
        };
        let mut trace = PlacementTrace::default();
        let result = self
            .run_chat(context, call, claim, guard, caller, &mut trace)
            .map_err(|refusal| trace.apply_overall_verdict(refusal));
        self.log_decision(context, &trace, &result);
        result
    }

    fn run_chat(
        &self,
        context: &RequestContext,
        call: ChatCall,
        mut claim: Option<GrantedClaim>,
        guard: InFlightGuard,
        caller: &CallerConnection,
        trace: &mut PlacementTrace,
    ) -> Result<ChatAnswer, Refusal> {
        for attempt in 0..MAX_ATTEMPTS {
            let last = attempt + 1 == MAX_ATTEMPTS;
            let mut run = match self.start_chat(context, &call, &mut claim, attempt, caller, trace)
            {
                Ok(run) => run,
                Err(refusal) if !last && self.may_retry(context, &refusal) => {
                    trace.record_verdict(refusal.verdict);
                    continue;
                }
                Err(refusal) => {
                    let refusal = trace.apply_overall_verdict(refusal);
                    if let Some(claim) = claim {
                        claim.fail(&refusal, &context.request_id);
                    }
                    return Err(refusal);
                }
            };
            let endpoint_id = run.endpoint_id().to_owned();
            if call.stream {
                let stream = Box::new(ChatStream::new(run, guard));
                return Ok(ChatAnswer::Stream { stream, endpoint_id });
            }
            match run.collect() {
                Ok((text, usage)) => {
                    let body = completion_body(&context.request_id, &text, usage);
                    return Ok(ChatAnswer::Whole { body, endpoint_id });
                }
                // no part of the answer has been sent to the caller yet
                Err(refusal) => {
                    trace.record_verdict(refusal.verdict);
                    if last || !self.may_retry(context, &refusal) {
                        return Err(refusal);
                    }
                }
            }
        }
        Err(Refusal::not_run(Reason::NoCapacity, "no attempt was made"))
    }

    /// Sends the request and waits for the first event of its answer. Sends a hedge if the
    /// first attempt is slow.
    fn start_chat(
        &self,
        context: &RequestContext,
        call: &ChatCall,
        claim: &mut Option<GrantedClaim>,
        attempt: u32,
        caller: &CallerConnection,
        trace: &mut PlacementTrace,
    ) -> Result<ChatRun, Refusal> {
        let first = self.send_chat(context, call, attempt, caller, trace, false)?;
        let limits = RunLimits {
            deadline: context.deadline,
            long_tokens: self.long_tokens,
            max_resumes: self.settings.max_resumes,
        };
        let (winner, event) = self.await_first(context, call, first, caller, trace)?;
        let parts = RunParts {
            limits,
            metrics: self.metrics.clone(),
            claim: claim.take(),
            kv_cost: self.kv_cost.clone(),
            relocation: self.relocation(context, call),
        };
        Ok(ChatRun::new(context.request_id.clone(), winner, event, parts))
    }

    /// Data for moving the answer; `None` if it may not be moved. Only work that may be
    /// repeated is moved, and only under the `owner` placement policy.
    fn relocation(&self, context: &RequestContext, call: &ChatCall) -> Option<Relocation> {
        if !context.work.idempotent || !self.planner.is_owner_policy() {
            return None;
        }
        Some(Relocation {
            relocator: self.relocator.clone(),
            context: context.clone(),
            body: call.body.clone(),
            prompt_tokens: call.prompt_tokens,
            moves: 0,
        })
    }

    /// Acquires a permit and sends the request. `hedge` marks the second attempt of a hedged
    /// request.
    fn send_chat(
        &self,
        context: &RequestContext,
        call: &ChatCall,
        attempt: u32,
        caller: &CallerConnection,
        trace: &mut PlacementTrace,
        hedge: bool,
    ) -> Result<Attempt, Refusal> {
        let options = PlacementOptions {
            has_history: call.has_history,
            prompt_tokens: call.prompt_tokens,
            hedge,
        };
        let (endpoint, permit) = self.placer.place(context, options, caller, trace)?;
        let chat = match context.chat {
            0 => String::new(),
            chat => format!("{chat:016x}"),
        };
        let suffix = if hedge { "h" } else { "" };
        let engine_call = EngineCall {
            attempt_id: format!("{}-{attempt}{suffix}", context.request_id),
            chat,
            priority: permit.grant.priority,
            body: call.body.clone(),
            deadline: context.deadline,
            repeatable: context.work.idempotent,
            first_index: 0,
        };
        let engine = self.endpoints.engine(&endpoint);
        self.metrics.requests.inc();
        // piped events cost more per token, so they are used only while an engine of the
        // pool is degraded and the answer may have to be moved
        let piped = context.work.idempotent
            && context.pools.iter().any(|pool| self.planner.has_degraded_engines(pool.key));
        let workers = self.workers.clone();
        Attempt::start(endpoint, engine, permit, engine_call, workers, piped).map_err(|e| {
            Refusal::not_run(Reason::TooManyRequests, format!("no thread for the call: {e}"))
        })
    }

    /// Waits for the first event of the answer. Sends the request to a second endpoint if the
    /// first one is slow and the work may be repeated; the first answer wins.
    fn await_first(
        &self,
        context: &RequestContext,
        call: &ChatCall,
        first: Attempt,
        caller: &CallerConnection,
        trace: &mut PlacementTrace,
    ) -> Result<(Attempt, EngineEvent), Refusal> {
        let hedge_at = self.hedge_at(context, &first);
        let mut confirm_at = Some(first.permit.confirm_at());
        let mut first = first;
        let mut second: Option<Attempt> = None;
        let mut hedged = false;
        loop {
            let now = Instant::now();
            if now >= context.deadline {
                cancel_all(first, second, ReleaseOutcome::Failed);
                return Err(Refusal::new(Verdict::MayHaveRun, Reason::Deadline, "deadline passed"));
            }
            if context.work.idempotent && caller.is_closed() {
                cancel_all(first, second, ReleaseOutcome::Cancelled);
                return Err(Refusal::new(
                    Verdict::MayHaveRun,
                    Reason::CallerLeft,
                    "the caller closed the connection",
                ));
            }
            if confirm_at.is_some_and(|at| now >= at) {
                confirm_at = None;
                first.permit.report_progress();
            }
            if !hedged && hedge_at.is_some_and(|at| now >= at) && self.hedge_budget.take(ALL_TEAMS)
            {
                hedged = true;
                trace.excluded.push(first.endpoint.key);
                second = self.send_chat(context, call, 0, caller, trace, true).ok();
                if let Some(second) = &second {
                    second.permit.report_progress();
                    self.metrics.hedges.inc();
                }
            }
            let mut wake = (now + CALLER_CHECK_INTERVAL).min(context.deadline);
            if let Some(at) = hedge_at.filter(|at| !hedged && *at > now) {
                wake = wake.min(at);
            }
            let (from_second, answer_start) = match receive_either(&first, second.as_ref(), wake) {
                Some(received) => received,
                None => continue,
            };
            match answer_start.first_event {
                EngineEvent::Failed(failure) => {
                    let failed_first = !from_second;
                    let failed = if failed_first { Some(&first) } else { second.as_ref() };
                    if let Some(failed) = failed {
                        trace.add_failure(&failed.endpoint, &failure);
                    }
                    match (failed_first, second.take()) {
                        (true, Some(other)) => {
                            end_failed(std::mem::replace(&mut first, other), &failure);
                        }
                        (false, Some(other)) => end_failed(other, &failure),
                        (_, None) => {
                            end_failed(first, &failure);
                            return Err(failure.into());
                        }
                    }
                }
                event => {
                    let (mut winner, loser) = match second {
                        Some(second) if from_second => {
                            self.metrics.hedges_won.inc();
                            (second, Some(first))
                        }
                        second => (first, second),
                    };
                    if let Some(loser) = loser {
                        self.metrics.cancels.inc();
                        loser.cancel(ReleaseOutcome::Cancelled);
                    }
                    winner.set_remaining(answer_start.remaining);
                    return Ok((winner, event));
                }
            }
        }
    }

    /// Time at which a hedge is sent; `None` if the work may not be repeated or the owner has
    /// no estimate of the time to the first token.
    fn hedge_at(&self, context: &RequestContext, first: &Attempt) -> Option<Instant> {
        let expected_ms = first.permit.grant.expected_first_token_ms;
        if !context.work.idempotent || expected_ms == 0 {
            return None;
        }
        let wait_ms = f64::from(expected_ms) * self.settings.hedge_ratio;
        Some(first.sent_at + Duration::from_secs_f64(wait_ms / 1000.0))
    }

    /// Runs a request to a plain service.
    pub(crate) fn service(
        &self,
        context: &RequestContext,
        request: ServiceRequest,
        caller: &CallerConnection,
    ) -> Result<ServiceReply, Refusal> {
        let claim = match self.claim(context)? {
            None => None,
            Some(ClaimDecision::Granted(claim)) => Some(claim),
            Some(ClaimDecision::Stored { status, content_type, body }) => {
                let endpoint_id = String::new();
                return Ok(ServiceReply { status, content_type, body, endpoint_id });
            }
        };
        let mut trace = PlacementTrace::default();
        let result = self
            .run_service(context, &request, caller, &mut trace)
            .map_err(|refusal| trace.apply_overall_verdict(refusal));
        if let Some(claim) = claim {
            match &result {
                Ok(reply) => claim.complete(reply.status, &reply.content_type, reply.body.clone()),
                Err(refusal) => claim.fail(refusal, &context.request_id),
            }
        }
        self.log_decision(context, &trace, &result);
        result
    }

    /// Sends the request until an endpoint answers or no retry is left.
    fn run_service(
        &self,
        context: &RequestContext,
        request: &ServiceRequest,
        caller: &CallerConnection,
        trace: &mut PlacementTrace,
    ) -> Result<ServiceReply, Refusal> {
        let mut attempt = 0;
        loop {
            let (endpoint, mut permit) =
                self.placer.place(context, PlacementOptions::default(), caller, trace)?;
            let call = ServiceCall {
                attempt_id: format!("{}-{attempt}", context.request_id),
                method: request.method.clone(),
                path: request.path.clone(),
                content_type: request.content_type.clone(),
                idempotency_key: context.idempotency_key.clone(),
                body: request.body.clone(),
                deadline: context.deadline,
                repeatable: context.work.idempotent,
            };
            self.metrics.requests.inc();
            let sent_at = Instant::now();
            permit.report_progress();
            let result = self.endpoints.service(&endpoint).call(&call);
            permit.set_measurements(sent_at.elapsed().as_millis().max(1) as u32, 1, 0);
            match result {
                Ok(answer) => {
                    permit.set_outcome(ReleaseOutcome::Completed);
                    return Ok(ServiceReply {
                        status: answer.status,
                        content_type: answer.content_type,
                        body: answer.body,
                        endpoint_id: endpoint.id.clone(),
                    });
                }
                Err(failure) => {
                    permit.set_outcome(failure.release_outcome());
                    trace.add_failure(&endpoint, &failure);
                    attempt += 1;
                    let refusal = Refusal::from(failure);
                    if attempt == MAX_ATTEMPTS || !self.may_retry(context, &refusal) {
                        return Err(refusal);
                    }
                }
            }
        }
    }

    /// Claims a request that may not be repeated; `None` for all others.
    fn claim(&self, context: &RequestContext) -> Result<Option<ClaimDecision>, Refusal> {
        self.retry_budget.count_request(context.team.key);
        self.hedge_budget.count_request(ALL_TEAMS);
        match &context.idempotency_key {
            Some(key) if !context.work.idempotent => self.claims.claim(context, key).map(Some),
            _ => Ok(None),
        }
    }

    /// Whether a failed request is sent again. If so, the retry is taken from the team's
    /// budget.
    fn may_retry(&self, context: &RequestContext, refusal: &Refusal) -> bool {
        let endpoint_failed = matches!(
            refusal.reason,
            Reason::EndpointUnreachable
                | Reason::EndpointRefused
                | Reason::EndpointBroken
                | Reason::EndpointStalled
                | Reason::CrossedAnswer
        );
        let safe = refusal.verdict == Verdict::NotRun || context.work.idempotent;
        // an endpoint that refused the request unread, such as one that is draining, has done
        // no work for it, so the retry is not taken from the budget
        let refused_unread =
            refusal.verdict == Verdict::NotRun && refusal.reason == Reason::EndpointRefused;
        let retry = endpoint_failed
            && safe
            && Instant::now() < context.deadline
            && (refused_unread || self.retry_budget.take(context.team.key));
        if retry {
            self.metrics.retries.inc();
            log::info!(
                "event=request_retry request_id={} reason={} verdict={}",
                context.request_id,
                refusal.reason,
                refusal.verdict
            );
        }
        retry
    }

    fn log_decision<T>(
        &self,
        context: &RequestContext,
        trace: &PlacementTrace,
        result: &Result<T, Refusal>,
    ) {
        let outcome = match result {
            Ok(_) => "answered".to_owned(),
            Err(refusal) => format!("{} ({})", refusal.reason, refusal.verdict),
        };
        let endpoint = trace.steps.iter().rev().find_map(|t| t.strip_suffix(" granted"));
        let endpoint = endpoint.and_then(|t| t.split_once(": ")).map(|(id, _)| id.to_owned());
        log::info!(
            "event=request_placed request_id={} team={} work={} endpoint={} outcome=\"{outcome}\" tries={}",
            context.request_id,
            context.team.id,
            context.work.id,
            endpoint.as_deref().unwrap_or("-"),
            trace.steps.len()
        );
        self.decisions.push(Decision {
            at_ms: now_ms(),
            request_id: context.request_id.clone(),
            team: context.team.id.clone(),
            work: context.work.id.clone(),
            endpoint,
            outcome,
            tries: trace.steps.clone(),
        });
    }
}

/// Receives the first event of either attempt and whether it is from the second one; `None`
/// if none arrives until `wake`.
fn receive_either(
    first: &Attempt,
    second: Option<&Attempt>,
    wake: Instant,
) -> Option<(bool, AnswerStart)> {
    let call_ended = || {
        let detail = "call ended early";
        let failure = CallFailure::new(Verdict::MayHaveRun, Reason::EndpointBroken, detail);
        AnswerStart {
            first_event: EngineEvent::Failed(failure),
            remaining: RemainingEvents::Closed,
        }
    };
    let Some(second) = second else {
        return match first.answer_start.recv_deadline(wake) {
            Ok(event) => Some((false, event)),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => Some((false, call_ended())),
        };
    };
    let timeout = wake.saturating_duration_since(Instant::now());
    select! {
        recv(first.answer_start) -> event => Some((false, event.unwrap_or_else(|_| call_ended()))),
        recv(second.answer_start) -> event => Some((true, event.unwrap_or_else(|_| call_ended()))),
        default(timeout) => None,
    }
}

/// Ends an attempt that failed, and cancels it at the engine if it may have run.
fn end_failed(mut attempt: Attempt, failure: &CallFailure) {
    if failure.verdict == Verdict::NotRun {
        attempt.permit.set_outcome(failure.release_outcome());
    } else {
        attempt.cancel(ReleaseOutcome::Failed);
    }
}

fn cancel_all(first: Attempt, second: Option<Attempt>, outcome: ReleaseOutcome) {
    first.cancel(outcome);
    if let Some(second) = second {
        second.cancel(outcome);
    }
}
