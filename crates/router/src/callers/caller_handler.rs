use {
    super::{
        caller_metrics::CallerMetrics,
        chat_body::ChatBody,
        in_flight_limiter::{InFlightGuard, InFlightLimiter, LimitReached},
        problem_response::{ENDPOINT_HEADER, full_response, problem_response},
        request_headers::{
            IDEMPOTENCY_KEY_HEADER, RequestHeaders, TEAM_HEADER, WORK_HEADER, bad_header,
        },
        sse_source::SseSource,
    },
    crate::{
        claims::key_issued_at_ms,
        config::{Config, ConfigStore},
        dispatch::{
            ChatAnswer, ChatCall, Dispatcher, Refusal, RequestContext, ServiceRequest, now_ms,
        },
    },
    bytes::Bytes,
    http::{HeaderValue, Method, header::CONTENT_TYPE},
    mango_http::{BodyError, CallerConnection, Handler, Request, Response, ResponseBody},
    mango_wire::{
        Reason, chat_key, digest,
        settings::{CallerSettings, ClaimSettings, Settings},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

const CHAT_PATH: &str = "/v1/chat/completions";
const SERVICE_PREFIX: &str = "/services/";

/// Serves the requests of callers: checks path, headers, body and limits, then runs the
/// request through the dispatcher.
pub(crate) struct CallerHandler {
    caller_settings: CallerSettings,
    claim_settings: ClaimSettings,
    config: Arc<ConfigStore>,
    dispatcher: Dispatcher,
    in_flight: InFlightLimiter,
    metrics: CallerMetrics,
    draining: AtomicBool,
}

/// What a request is addressed to, according to its path.
enum RequestTarget<'a> {
    Chat,
    /// A plain service and the path below it, with its leading slash.
    Service {
        service: &'a str,
        path: &'a str,
    },
}

impl CallerHandler {
    pub(crate) fn new(
        settings: &Settings,
        config: Arc<ConfigStore>,
        dispatcher: Dispatcher,
        in_flight: InFlightLimiter,
        metrics: CallerMetrics,
    ) -> Self {
        Self {
            caller_settings: settings.callers.clone().unwrap_or_default(),
            claim_settings: settings.claims.clone().unwrap_or_default(),
            config,
            dispatcher,
            in_flight,
            metrics,
            draining: AtomicBool::new(false),
        }
    }

    /// Refuses all requests that arrive from now on.
    pub(crate) fn set_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Checks a request, runs it and creates the response.
    fn run(
        &self,
        request: Request,
        request_id: &str,
        caller: &CallerConnection,
    ) -> Result<Response<SseSource>, Refusal> {
        let now = Instant::now();
        let (parts, body) = request.into_parts();
        let target = parse_target(&parts.method, parts.uri.path())?;
        if self.draining.load(Ordering::SeqCst) {
            return Err(Refusal::not_run(Reason::Draining, "this host is being stopped")
                .with_retry_after(100));
        }
        let config = self.config.current();
        if config.version() == 0 {
            return Err(Refusal::not_run(Reason::NotReady, "no configuration is in force yet")
                .with_retry_after(1000));
        }
        let headers = RequestHeaders::parse(&parts.headers, now)?;
        let body = body.map_err(body_refusal)?;
        let service = match target {
            RequestTarget::Chat => None,
            RequestTarget::Service { service, .. } => Some(service),
        };
        let path = parts.uri.path_and_query().map_or("", |p| p.as_str());
        let mut context = build_context(config, &headers, service, now)?;
        context.request_id = request_id.to_owned();
        context.body_digest = digest_request(&parts.method, path, &body);
        self.check_idempotency_key(&context)?;
        let guard = self.acquire_in_flight_guard(&context)?;
        match target {
            RequestTarget::Chat => self.run_chat(&context, &body, guard, caller),
            RequestTarget::Service { path, .. } => {
                let query = parts.uri.query().map(|q| format!("?{q}")).unwrap_or_default();
                let call = ServiceRequest {
                    method: parts.method,
                    path: format!("{path}{query}"),
                    content_type: parts
                        .headers
                        .get(CONTENT_TYPE)
                        .and_then(|v| v.to_str().ok())
                        .map(str::to_owned),
                    body,
                };
                let reply = self.dispatcher.service(&context, call, caller)?;
                let mut response =
                    full_response(reply.status, &reply.content_type, reply.body, request_id);
                set_endpoint_header(&mut response, &reply.endpoint_id);
                Ok(response)
            }
        }
    }

    fn run_chat(
        &self,
        context: &RequestContext,
        body: &Bytes,
        guard: InFlightGuard,
        caller: &CallerConnection,
    ) -> Result<Response<SseSource>, Refusal> {
        let body = ChatBody::parse(body)?;
        let call = ChatCall {
            body: body.engine_body,
            stream: body.stream,
            has_history: body.has_history,
            prompt_tokens: body.prompt_tokens,
        };
        let id = &context.request_id;
        match self.dispatcher.chat(context, call, guard, caller)? {
            ChatAnswer::Whole { body, endpoint_id } => {
                let mut response = full_response(200, "application/json", body, id);
                set_endpoint_header(&mut response, &endpoint_id);
                Ok(response)
            }
            ChatAnswer::Stored { status, content_type, body: stored } => {
                if body.stream && status == 200 {
                    return Ok(sse_response(id, SseSource::stored(id, &stored)));
                }
                Ok(full_response(status, &content_type, stored, id))
            }
            ChatAnswer::Stream { stream, endpoint_id } => {
                let mut response = sse_response(id, SseSource::streaming(id, stream));
                set_endpoint_header(&mut response, &endpoint_id);
                Ok(response)
            }
        }
    }

    /// Checks that a request of work that is not idempotent has an idempotency key whose
    /// issue time does not lie in the future by more than the allowed clock skew.
    fn check_idempotency_key(&self, context: &RequestContext) -> Result<(), Refusal> {
        if context.work.idempotent {
            return Ok(());
        }
        let key = context.idempotency_key.as_deref().ok_or_else(|| {
            bad_header(
                IDEMPOTENCY_KEY_HEADER,
                "work that is not idempotent needs an Idempotency-Key",
            )
        })?;
        let issued_at_ms =
            key_issued_at_ms(key).map_err(|e| bad_header(IDEMPOTENCY_KEY_HEADER, e.to_string()))?;
        if issued_at_ms > now_ms() + u64::from(self.claim_settings.clock_skew_ms) {
            return Err(bad_header(
                IDEMPOTENCY_KEY_HEADER,
                "the time in the Idempotency-Key lies in the future",
            ));
        }
        Ok(())
    }

    /// Counts the request as in flight, or refuses it if a limit is reached.
    fn acquire_in_flight_guard(&self, context: &RequestContext) -> Result<InFlightGuard, Refusal> {
        let team = &context.team;
        let max = self.caller_settings.max_in_flight;
        self.in_flight.try_acquire(team.key, max, team.max_in_flight).map_err(|limit| {
            let (reason, detail) = match limit {
                LimitReached::Total => (Reason::TooManyRequests, "too many requests in progress"),
                LimitReached::Team => {
                    (Reason::TeamLimit, "the team has too many requests in progress")
                }
            };
            Refusal::not_run(reason, detail).with_retry_after(1000)
        })
    }
}

impl Handler for CallerHandler {
    type Source = SseSource;

    fn handle(&self, request: Request, caller: &CallerConnection) -> Response<SseSource> {
        let started = Instant::now();
        let request_id = Uuid::now_v7().simple().to_string();
        let result = self.run(request, &request_id, caller);
        let response = result.unwrap_or_else(|refusal| {
            log::info!(
                "event=request_refused request_id={request_id} status={} verdict={} reason={} detail={:?}",
                refusal.status,
                refusal.verdict,
                refusal.reason,
                refusal.detail
            );
            self.metrics.record_refusal(refusal.reason, refusal.verdict);
            problem_response(&refusal, &request_id)
        });
        self.metrics.record_response(response.status().as_u16(), started.elapsed());
        response
    }

    fn refuse_connection(&self) -> String {
        let refusal = Refusal::not_run(Reason::TooManyConnections, "too many connections")
            .with_retry_after(1000);
        self.metrics.record_refusal(refusal.reason, refusal.verdict);
        let body = serde_json::to_string(&refusal.to_problem("")).unwrap_or_default();
        format!(
            "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/problem+json\r\n\
             retry-after: 1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

fn parse_target<'a>(method: &Method, path: &'a str) -> Result<RequestTarget<'a>, Refusal> {
    if path == CHAT_PATH {
        if method != Method::POST {
            let detail = format!("{CHAT_PATH} takes POST only");
            return Err(Refusal::not_run(Reason::MethodNotAllowed, detail));
        }
        return Ok(RequestTarget::Chat);
    }
    let unknown = || Refusal::not_run(Reason::UnknownPath, format!("unknown path {path}"));
    let rest = path.strip_prefix(SERVICE_PREFIX).ok_or_else(unknown)?;
    let (service, _) = rest.split_once('/').ok_or_else(unknown)?;
    if service.is_empty() {
        return Err(unknown());
    }
    Ok(RequestTarget::Service { service, path: &rest[service.len()..] })
}

/// Builds the context of a request, with an empty id and a body digest of 0, which are set
/// later.
fn build_context(
    config: Arc<Config>,
    headers: &RequestHeaders,
    service: Option<&str>,
    now: Instant,
) -> Result<RequestContext, Refusal> {
    let team = config.team(&headers.team).cloned().ok_or_else(|| {
        Refusal::not_run(Reason::UnknownTeam, format!("unknown team {}", headers.team))
            .with_field(TEAM_HEADER)
    })?;
    let work = config.work(&headers.work).cloned().ok_or_else(|| {
        Refusal::not_run(Reason::UnknownWork, format!("unknown kind of work {}", headers.work))
            .with_field(WORK_HEADER)
    })?;
    let pools = config.pools_for(&team, &work, service);
    if pools.is_empty() {
        let detail = format!("no route for work {} of team {}", work.id, team.id);
        return Err(Refusal::not_run(Reason::NoRoute, detail));
    }
    let default_deadline = now + Duration::from_millis(u64::from(work.deadline_ms));
    Ok(RequestContext {
        request_id: String::new(),
        chat: headers.chat.as_deref().map_or(0, |chat| chat_key(&team.id, chat)),
        idempotency_key: headers.idempotency_key.clone(),
        body_digest: 0,
        deadline: headers.deadline.unwrap_or(default_deadline),
        config,
        team,
        work,
        pools,
    })
}

/// Digest that detects an idempotency key that is used again with another request.
fn digest_request(method: &Method, path: &str, body: &[u8]) -> u64 {
    let mut bytes = format!("{method} {path}\n").into_bytes();
    bytes.extend_from_slice(body);
    digest(&bytes)
}

fn body_refusal(error: BodyError) -> Refusal {
    let reason = match error {
        BodyError::TooLarge => Reason::BodyTooLarge,
        BodyError::TimedOut => Reason::SlowCaller,
        BodyError::Broken(_) => Reason::CallerLeft,
    };
    Refusal::not_run(reason, error.to_string())
}

fn sse_response(request_id: &str, source: SseSource) -> Response<SseSource> {
    let mut response = full_response(200, "text/event-stream", Bytes::new(), request_id);
    *response.body_mut() = ResponseBody::streamed(source);
    response
}

/// Adds the header that names the endpoint which served the request.
fn set_endpoint_header(response: &mut Response<SseSource>, endpoint_id: &str) {
    if let Ok(value) = HeaderValue::from_str(endpoint_id) {
        response.headers_mut().insert(ENDPOINT_HEADER, value);
    }
}
