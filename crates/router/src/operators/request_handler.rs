use {
    super::{
        api_response::{
            ApiResponse, NoChunkSource, error_response, json_response, rejection_response,
            text_response,
        },
        hooks::OperatorHooks,
        query::Query,
        token_check::TokenCheck,
    },
    crate::{config::PublishError, logging::quoted, platform::RecordLog},
    http::{Method, StatusCode, header::AUTHORIZATION},
    log::info,
    mango_config::{
        ChangeReply, ConfigListing, HistoryListing, MemberVersion, ObjectName, object_name,
    },
    mango_http::{BodyError, CallerConnection, Handler, Request},
    mango_wire::config::{Change, ObjectKind},
    serde_json::json,
    std::{
        sync::atomic::{AtomicUsize, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Longest wait for the outcome of a configuration change.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);
/// Upper limit of the parameter `wait_ms`.
const MAX_MEMBER_WAIT_MS: u64 = 60_000;
/// Interval at which the versions of the members are requested during that wait.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Greatest number of changes in progress. A change occupies a thread of the server until
/// its outcome is known and, with `wait_ms`, until the members have it. The limit leaves
/// threads for health checks.
const MAX_CHANGES_IN_PROGRESS: usize = 8;
/// Number of changes that `/history` lists without the parameter `limit`.
const DEFAULT_HISTORY_LIMIT: u64 = 100;

/// Handles the HTTP requests of operators.
pub(super) struct RequestHandler<L> {
    token: TokenCheck,
    hooks: OperatorHooks<L>,
    /// Number of changes in progress.
    changes_in_progress: AtomicUsize,
}

impl<L: RecordLog> RequestHandler<L> {
    pub(super) fn new(token: &str, hooks: OperatorHooks<L>) -> Self {
        Self { token: TokenCheck::new(token), hooks, changes_in_progress: AtomicUsize::new(0) }
    }

    /// Checks the token, the path and the method, and handles the request.
    fn respond(&self, request: Request) -> ApiResponse {
        let path = request.uri().path().to_owned();
        let allowed = match path.as_str() {
            "/healthz" | "/readyz" | "/metrics" | "/state" | "/explain" | "/history" => {
                &[Method::GET][..]
            }
            "/config" => &[Method::GET, Method::POST],
            "/drain" => &[Method::POST],
            _ => &[],
        };
        let needs_no_token = matches!(path.as_str(), "/healthz" | "/readyz");
        let authorization = request.headers().get(AUTHORIZATION).map(|header| header.as_bytes());
        if !needs_no_token && !self.token.accepts(authorization) {
            let detail = "expected the header `Authorization: Bearer` with the operators' token";
            return error_response(StatusCode::UNAUTHORIZED, "unauthorized", detail);
        }
        if allowed.is_empty() {
            return error_response(
                StatusCode::NOT_FOUND,
                "unknown_path",
                format!("no path {path:?}"),
            );
        }
        if !allowed.contains(request.method()) {
            let detail = format!("{} is not supported on {path}", request.method());
            return error_response(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", detail);
        }
        self.route(&path, request)
            .unwrap_or_else(|detail| error_response(StatusCode::BAD_REQUEST, "bad_request", detail))
    }

    fn route(&self, path: &str, request: Request) -> Result<ApiResponse, String> {
        let query = request.uri().query().unwrap_or_default().to_owned();
        match path {
            "/healthz" => Ok(text_response("text/plain", "ok\n".to_owned())),
            "/readyz" => Ok(self.ready()),
            "/metrics" => self.metrics(),
            "/state" => Ok(json_response(StatusCode::OK, &(self.hooks.state)())),
            "/explain" => self.explain(&query),
            "/history" => self.history(&query),
            "/config" if request.method() == Method::GET => self.config(&query),
            "/config" => self.change_if_below_limit(&query, request),
            _ => Ok(self.drain()),
        }
    }

    fn ready(&self) -> ApiResponse {
        let status = self.hooks.config.status();
        let draining = (self.hooks.is_draining)();
        let ready = status.version > 0 && !draining;
        let code = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let body = json!({
            "ready": ready,
            "draining": draining,
            "config_version": status.version,
            "detail": status.trouble,
        });
        json_response(code, &body)
    }

    fn metrics(&self) -> Result<ApiResponse, String> {
        let encoded = self.hooks.metrics.encode().map_err(|e| e.to_string())?;
        Ok(text_response("application/openmetrics-text; version=1.0.0; charset=utf-8", encoded))
    }

    fn explain(&self, query: &str) -> Result<ApiResponse, String> {
        let query = Query::parse(query, &["team", "work", "service", "chat"])?;
        let (team, work) = (query.require("team")?, query.require("work")?);
        let service = query.get("service").filter(|service| !service.is_empty());
        let chat = query.get("chat").filter(|chat| !chat.is_empty());
        let mut explanation = self.hooks.config.current().explain(team, work, service);
        explanation.placement = (self.hooks.placement)(&explanation, chat);
        Ok(json_response(StatusCode::OK, &explanation))
    }

    fn history(&self, query: &str) -> Result<ApiResponse, String> {
        let query = Query::parse(query, &["limit"])?;
        let limit = query.number("limit")?.unwrap_or(DEFAULT_HISTORY_LIMIT);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let changes = self.hooks.config.history(limit);
        Ok(json_response(StatusCode::OK, &HistoryListing { changes }))
    }

    fn config(&self, query: &str) -> Result<ApiResponse, String> {
        let query = Query::parse(query, &["kind", "id"])?;
        let config = self.hooks.config.current();
        let kind = match query.get("kind") {
            Some(text) => Some(text.parse::<ObjectKind>().map_err(|_| {
                format!("kind {text:?}, expected endpoint, pool, team, work or route")
            })?),
            None => None,
        };
        let id = query.get("id");
        if id.is_some() && kind.is_none() {
            return Err("parameter \"id\" needs the parameter \"kind\"".to_owned());
        }
        let mut objects = config.objects();
        objects.retain(|entry| {
            let name = object_name(&entry.object);
            kind.is_none_or(|kind| kind == name.kind) && id.is_none_or(|id| id == name.id)
        });
        if let (Some(kind), Some(id)) = (kind, id)
            && objects.is_empty()
        {
            let detail = format!("{} does not exist", ObjectName::new(kind, id));
            return Ok(error_response(StatusCode::NOT_FOUND, "unknown_object", detail));
        }
        Ok(json_response(StatusCode::OK, &ConfigListing { version: config.version(), objects }))
    }

    /// Publishes a change unless too many are in progress.
    fn change_if_below_limit(&self, query: &str, request: Request) -> Result<ApiResponse, String> {
        let others_in_progress = self.changes_in_progress.fetch_add(1, Ordering::AcqRel);
        let result = if others_in_progress < MAX_CHANGES_IN_PROGRESS {
            self.change(query, request)
        } else {
            let detail = format!("{MAX_CHANGES_IN_PROGRESS} changes are in progress, try again");
            Ok(error_response(StatusCode::SERVICE_UNAVAILABLE, "too_many_changes", detail))
        };
        self.changes_in_progress.fetch_sub(1, Ordering::AcqRel);
        result
    }

    fn change(&self, query: &str, request: Request) -> Result<ApiResponse, String> {
        let query = Query::parse(query, &["wait_ms"])?;
        let wait_ms = query.number("wait_ms")?.map(|ms| ms.min(MAX_MEMBER_WAIT_MS));
        let body = match request.into_body() {
            Ok(body) => body,
            Err(e) => return Ok(body_error_response(&e)),
        };
        let mut json_body = serde_json::Deserializer::from_slice(&body);
        let change: Change = serde_path_to_error::deserialize(&mut json_body)
            .map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
        if change.change_id.is_empty() || change.author.is_empty() {
            return Err("change_id and author must not be empty".to_owned());
        }
        let change_id = change.change_id.clone();
        info!(
            "event=config_change_received change={} author={}",
            quoted(&change_id),
            quoted(&change.author)
        );
        let version = match self.hooks.config.publish(change, Instant::now() + PUBLISH_TIMEOUT) {
            Ok(version) => version,
            Err(e) => return Ok(publish_error_response(e)),
        };
        let members_pending = wait_ms.map(|ms| self.wait_for_members(version, ms));
        Ok(json_response(StatusCode::OK, &ChangeReply { change_id, version, members_pending }))
    }

    /// Waits until all live members use the version or the time has passed. Returns the members
    /// that do not use it yet.
    fn wait_for_members(&self, version: u64, wait_ms: u64) -> Vec<MemberVersion> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let mut members = (self.hooks.member_versions)();
            members.retain(|member| member.version.is_none_or(|known| known < version));
            let left = deadline.saturating_duration_since(Instant::now());
            if members.is_empty() || left.is_zero() {
                return members;
            }
            thread::sleep(MEMBER_POLL_INTERVAL.min(left));
        }
    }

    fn drain(&self) -> ApiResponse {
        info!("event=drain_requested");
        (self.hooks.drain)();
        json_response(StatusCode::ACCEPTED, &json!({ "draining": true }))
    }
}

impl<L: RecordLog> Handler for RequestHandler<L> {
    type Source = NoChunkSource;

    fn handle(&self, request: Request, _: &CallerConnection) -> ApiResponse {
        self.respond(request)
    }
}

fn publish_error_response(error: PublishError) -> ApiResponse {
    let detail = error.to_string();
    match error {
        PublishError::Rejected(rejection) => rejection_response(*rejection),
        PublishError::TooLarge { .. } => {
            error_response(StatusCode::PAYLOAD_TOO_LARGE, "change_too_large", detail)
        }
        PublishError::NotReady(_) => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, "not_ready", detail)
        }
        PublishError::NotApplied(_) => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, "log_unavailable", detail)
        }
        PublishError::Unknown(_) => {
            error_response(StatusCode::GATEWAY_TIMEOUT, "outcome_unknown", detail)
        }
    }
}

fn body_error_response(error: &BodyError) -> ApiResponse {
    match error {
        BodyError::TooLarge => {
            error_response(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", error)
        }
        BodyError::TimedOut => error_response(StatusCode::REQUEST_TIMEOUT, "body_too_slow", error),
        BodyError::Broken(_) => error_response(StatusCode::BAD_REQUEST, "bad_request", error),
    }
}
