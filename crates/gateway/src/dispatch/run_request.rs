use {
    super::{
        answer_watch::AnswerWatch,
        attempt::{Delivery, Target, attempt},
        candidates::{CandidateLimits, with_candidates},
        failure::{FailureCause, SendFailure},
        held_response::HeldResponse,
        placement_log::log_placement,
        request_parts::RequestParts,
        stream_origin::{allowed_versions, find_origin},
        stream_progress::StreamProgress,
    },
    crate::{
        blocklist::BlockedPart,
        callers::{AdmittedRequest, CallerSink, Protocol, Refusal, recheck_api_key, with_jitter},
        clock::BootInstant,
        endpoints::{Endpoint, EndpointId},
        placement::{PlacementRequest, choose_endpoint},
        queueing::{Arrival, NoPermit, Permit, PermitRequest},
        retry::{AttemptHistory, NextStep, RetryPolicy, SendOutcome, next_step},
        server::Gateway,
        stream_origins::version_hash,
        telemetry::event,
    },
    mango_wire::{Reason, problem::Verdict},
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Time that the router waits beyond the deadline, since endpoints respond at the deadline too.
const DEADLINE_SLACK: Duration = Duration::from_millis(120);
/// Shortest mean `Retry-After` time of a request for which there is no capacity.
const MIN_MEAN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Mean `Retry-After` time of a request that no endpoint ran.
const MEAN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Sends a request to endpoints until the caller has a response. Returns whether the caller's
/// connection may carry another request.
pub(crate) async fn run_request<P: Protocol>(
    gateway: &Rc<Gateway<P>>,
    request: &AdmittedRequest,
    sink: &mut CallerSink<'_, P>,
) -> bool {
    let mut dispatch = Dispatch::new(gateway, request);
    let run_end = tokio::select! {
        biased;
        is_reusable = dispatch.respond(sink) => RunEnd::Responded { is_reusable },
        _ = sleep(request.time_left() + DEADLINE_SLACK) => RunEnd::Deadline,
        _ = gateway.stop.wait_for_requests_end() => RunEnd::Stop,
    };
    let is_reusable = match run_end {
        RunEnd::Responded { is_reusable } => is_reusable,
        RunEnd::Deadline => dispatch.give_up_at_deadline(sink).await,
        RunEnd::Stop => dispatch.give_up_at_stop(sink).await,
    };
    dispatch.log_end();
    is_reusable
}

/// Why a request is no longer run.
enum RunEnd {
    Responded {
        is_reusable: bool,
    },
    /// Its deadline passed.
    Deadline,
    /// The process stops.
    Stop,
}

/// State of one request while it is sent to endpoints.
struct Dispatch<'a, P> {
    gateway: &'a Gateway<P>,
    request: &'a AdmittedRequest,
    history: AttemptHistory,
    progress: StreamProgress,
    /// Endpoints that were chosen for the request, in order, including those to which no
    /// connection could be opened.
    tried: Vec<EndpointId>,
    /// Endpoints that reported that they did not run the request.
    refused_by: Vec<EndpointId>,
    /// The last signed 5xx response of an endpoint, forwarded if no later send succeeds.
    failed_response: Option<HeldResponse>,
    last_cause: Option<FailureCause>,
    permit: Option<Rc<Permit>>,
    parts: RequestParts<'a>,
    /// Time for which the request waited for a permit.
    wait: Duration,
    /// Outcome of the request in metrics and in the log.
    outcome: &'static str,
    /// Status of the response to the caller; 0 if there is none.
    status: u16,
}

impl<'a, P: Protocol> Dispatch<'a, P> {
    fn new(gateway: &'a Gateway<P>, request: &'a AdmittedRequest) -> Dispatch<'a, P> {
        gateway.count_request(&request.service);
        if request.route.is_resumable {
            gateway.origins.record_wait(request.caller.time_left.unwrap_or(Duration::MAX));
        }
        let last_event_id = request.caller.last_event_id;
        Dispatch {
            gateway,
            request,
            history: AttemptHistory::default(),
            progress: StreamProgress { last_event_id, ..StreamProgress::default() },
            tried: Vec::new(),
            refused_by: Vec::new(),
            failed_response: None,
            last_cause: None,
            permit: None,
            parts: RequestParts::new(request),
            wait: Duration::ZERO,
            outcome: "unfinished",
            status: 0,
        }
    }

    /// Sends the request until a response is forwarded or the request is given up. Returns
    /// whether the caller's connection may carry another request.
    async fn respond(&mut self, sink: &mut CallerSink<'_, P>) -> bool {
        if let Err(blocked) = self.parts.admit(self.gateway) {
            let refusal = self.refuse_part(blocked);
            return self.give_up(sink, refusal).await;
        }
        match find_origin(self.gateway, self.request).await {
            Ok(origin) => self.progress.origin = origin,
            Err(refusal) => return self.give_up(sink, refusal).await,
        }
        let permit = match self.wait_for_permit().await {
            Ok(permit) => self.permit.insert(permit).clone(),
            Err(refusal) => return self.give_up(sink, refusal).await,
        };
        loop {
            if let Err(refusal) = self.check_allowed() {
                return self.give_up(sink, refusal).await;
            }
            let Some((endpoint, prefix_source)) = self.choose() else {
                let refusal = match self.last_cause {
                    None => Refusal::unavailable(Reason::NoCapacity, self.retry_after()),
                    Some(_) => self.final_refusal(),
                };
                return self.give_up(sink, refusal).await;
            };
            self.tried.push(endpoint.record.borrow().id.clone());
            // if endpoints drop idle connections, the next one is likely to be dropped as well
            let may_reuse_connection = self.last_cause != Some(FailureCause::IdleConnectionBroken);
            let watch = AnswerWatch::start(self.gateway, self.request, &endpoint);
            let target = Target {
                watch: &watch,
                endpoint: &endpoint,
                version: version_hash(&endpoint.record.borrow().software_version),
                permit: &permit,
                prefix_source,
                may_reuse_connection,
            };
            let send = attempt(self.gateway, self.request, &target, &mut self.progress, sink);
            let result = watch.run(send).await;
            let failure = match result {
                Ok(delivery) => {
                    if matches!(delivery, Delivery::Completed { .. }) {
                        permit.record_completion(&self.request.route.name);
                    }
                    return self.finish(sink, delivery);
                }
                Err(failure) => failure,
            };
            if !self.handle_failure(failure, &endpoint) {
                let refusal = self.final_refusal();
                return self.give_up(sink, refusal).await;
            }
        }
    }

    /// Waits until the request may be sent to the service.
    async fn wait_for_permit(&mut self) -> Result<Rc<Permit>, Refusal> {
        let request = self.request;
        let arrived_at = Instant::now();
        let arrival = Arrival {
            priority: request.priority,
            team: request.team.clone(),
            route: request.route.name.clone(),
            deadline: arrived_at + request.time_left(),
        };
        let (id, service) = (request.caller.id.clone(), request.service.clone());
        let permit_request = PermitRequest { id, service, arrival };
        let result = self.gateway.permits.acquire(permit_request).await;
        self.wait = arrived_at.elapsed();
        self.gateway.metrics.observe_wait(self.wait.as_secs_f64());
        result.map(Rc::new).map_err(|NoPermit { backlog }| {
            Refusal::unavailable(Reason::QueueFull, with_jitter(backlog.max(MIN_MEAN_RETRY_AFTER)))
        })
    }

    /// Checks before each send that the deadline has not passed and that the caller's key is
    /// still valid.
    fn check_allowed(&self) -> Result<(), Refusal> {
        if self.request.time_left().is_zero() {
            return Err(Refusal::unavailable(Reason::Deadline, with_jitter(MEAN_RETRY_AFTER)));
        }
        recheck_api_key(
            &self.gateway.config,
            self.gateway.settings.bounds.refuses_unconfirmed_keys,
            &self.request.caller,
            self.request.team.is_some(),
        )?;
        let recheck = self.parts.recheck(self.gateway, self.tried.is_empty());
        recheck.map_err(|blocked| self.refuse_part(blocked))
    }

    /// The refusal of a request whose prompt has a part that crashes endpoints.
    fn refuse_part(&self, blocked: BlockedPart) -> Refusal {
        event!("part_refused", "id={} part={:016x}", self.request.caller.id, blocked.part);
        let left = blocked.until.saturating_duration_since(Instant::now());
        Refusal::unavailable(Reason::PartBlocked, left.max(MEAN_RETRY_AFTER))
    }

    /// Chooses the endpoint of the next send and the address from which it may fetch the cache of
    /// the prompt's prefix.
    fn choose(&self) -> Option<(Rc<Endpoint>, Option<SocketAddr>)> {
        let prefix = self.request.caller.prefix;
        let limits = CandidateLimits {
            tried: &self.tried,
            refused_by: &self.refused_by,
            versions: allowed_versions(self.gateway, self.request, &self.progress),
        };
        with_candidates(self.gateway, &self.request.service, prefix, &limits, |candidates| {
            let placement_request = PlacementRequest {
                prefix_hash: prefix.map(|prefix| prefix.hash),
                shared_tokens: prefix.map_or(0, |prefix| prefix.shared_tokens),
                tie_breaker: rand::random(),
            };
            let placement = choose_endpoint(&placement_request, &candidates.list)?;
            let endpoint = &candidates.endpoints[placement.target];
            endpoint.record_send(Instant::now());
            if let Some(prefix) = prefix {
                self.gateway.peers.record_prefix_use(prefix.hash, endpoint.hash);
            }
            log_placement(self.request, &self.progress, self.tried.len(), candidates, &placement);
            let source = placement.prefix_source.map(|index| candidates.records[index].address);
            Some((endpoint.clone(), source))
        })
    }

    /// Records the result of a finished send. Returns whether the caller's connection may carry
    /// another request.
    fn finish(&mut self, sink: &CallerSink<'_, P>, delivery: Delivery) -> bool {
        match delivery {
            Delivery::Completed { status } => {
                self.outcome = "answered";
                self.status = status;
                self.gateway.metrics.count_send("answered");
                sink.is_connection_reusable()
            }
            Delivery::CallerDisconnected => {
                self.outcome = "caller_lost";
                false
            }
        }
    }

    /// Records a failed send. Returns whether the request is sent again.
    fn handle_failure(&mut self, failure: SendFailure, endpoint: &Rc<Endpoint>) -> bool {
        let SendFailure { outcome, cause, response } = failure;
        self.gateway.metrics.count_send(outcome.into());
        // a failed connection was already recorded; the other causes say nothing about the
        // endpoint's health
        let is_excluded_from_health = matches!(
            cause,
            FailureCause::ConnectFailed
                | FailureCause::Misdirected
                | FailureCause::IdleConnectionBroken
        );
        if !is_excluded_from_health {
            endpoint.update_health(|health| health.record_failure(Instant::now()));
        }
        if outcome == SendOutcome::NotRun {
            self.refused_by.push(endpoint.record.borrow().id.clone());
        }
        self.parts.check_for_crash(self.gateway, cause, &self.progress, endpoint);
        self.history.record(outcome);
        self.last_cause = Some(cause);
        if response.is_some() {
            self.failed_response = response;
        }
        let policy = RetryPolicy {
            may_rerun: self.request.route.may_rerun(),
            max_attempts: self.request.route.max_attempts,
        };
        let step = next_step(&policy, &self.history, outcome);
        let continues = match step {
            NextStep::Reconnect => true,
            NextStep::Repeat => self.gateway.take_retry(&self.request.service),
            NextStep::GiveUp => false,
        };
        event!(
            "send_failed",
            "id={} endpoint={} outcome={outcome} cause={cause} step={step:?} continues={continues} \
             runs={} has_begun={} parts={} elapsed_ms={} {}",
            self.request.caller.id,
            endpoint.record.borrow().id,
            self.history.possible_runs,
            self.progress.has_begun_send,
            self.parts,
            self.request.elapsed().as_millis(),
            self.gateway.describe_retry_budget(&self.request.service)
        );
        continues
    }

    /// The router's own response after the last send failed.
    fn final_refusal(&self) -> Refusal {
        match self.last_cause {
            _ if !self.history.has_not_run() => Refusal::outcome_unknown(Reason::EndpointBroken),
            Some(FailureCause::ConnectFailed) => {
                Refusal::unavailable(Reason::EndpointUnreachable, self.retry_after())
            }
            _ => Refusal::unavailable(Reason::EndpointRefused, self.retry_after()),
        }
    }

    /// When the caller of a request that did not run may come back: after a short time, or when the first
    /// endpoint takes requests again if none does now.
    fn retry_after(&self) -> Duration {
        let now = Instant::now();
        let closed = self.gateway.directory.closed_time_of_service(&self.request.service, now);
        let pause = || with_jitter(MEAN_RETRY_AFTER);
        closed.map_or_else(pause, |closed| closed.caller_retry_after(now))
    }

    /// Ends the request without success: forwards the last 5xx response if there is one, else
    /// sends the refusal. A response that was already started is aborted. A refusal that reports
    /// that the request did not run is replaced if an endpoint may have run it.
    async fn give_up(&mut self, sink: &mut CallerSink<'_, P>, refusal: Refusal) -> bool {
        if !sink.is_unanswered() {
            // the connection is closed before the end of the stream
            self.outcome = "broken_off";
            return false;
        }
        if let Some(response) = self.failed_response.take() {
            self.outcome = "endpoint_failed";
            self.status = response.head.status;
            let written = sink.send_response(&response.head, &response.body).await;
            return written.is_ok() && sink.is_connection_reusable();
        }
        let is_accurate = refusal.verdict != Verdict::NotRun || self.history.has_not_run();
        let refusal = if is_accurate { refusal } else { Refusal::outcome_unknown(refusal.reason) };
        self.outcome = refusal.reason.into();
        self.status = refusal.status;
        sink.send_refusal(&refusal).await.is_ok() && sink.is_connection_reusable()
    }

    /// Ends a request whose deadline passed during a send.
    async fn give_up_at_deadline(&mut self, sink: &mut CallerSink<'_, P>) -> bool {
        if let Some(permit) = self.permit.as_ref().filter(|_| !self.progress.has_started) {
            permit.record_start(Duration::from_millis(self.request.route.target_latency_ms));
        }
        // a request that was being sent at the deadline may have run
        self.history.record(SendOutcome::MayHaveRun);
        self.give_up(sink, Refusal::outcome_unknown(Reason::Deadline)).await
    }

    /// Ends a request that outlasts the process.
    async fn give_up_at_stop(&mut self, sink: &mut CallerSink<'_, P>) -> bool {
        if !self.request.has_been_sent.get() {
            let refusal = Refusal::unavailable(Reason::Draining, with_jitter(MEAN_RETRY_AFTER));
            return self.give_up(sink, refusal).await;
        }
        self.history.record(SendOutcome::MayHaveRun);
        self.give_up(sink, Refusal::outcome_unknown(Reason::Draining)).await
    }

    fn log_end(&self) {
        let kind = self.request.route.kind;
        let team = self.request.team.as_deref();
        self.gateway.metrics.count_ended_request(kind.into(), team, self.outcome);
        let age = self.gateway.config.confirmation_age(BootInstant::now());
        event!(
            "request_ended",
            "id={} route={} kind={kind} team={} outcome={} status={} sends={} runs={} \
             wait_ms={} elapsed_ms={} config_version={} config_age_ms={}",
            self.request.caller.id,
            self.request.route.name,
            self.request.team.as_deref().unwrap_or("-"),
            self.outcome,
            self.status,
            self.tried.len(),
            self.history.possible_runs,
            self.wait.as_millis(),
            self.request.elapsed().as_millis(),
            self.request.config_version,
            age.map_or(0, |age| age.as_millis())
        );
    }
}
