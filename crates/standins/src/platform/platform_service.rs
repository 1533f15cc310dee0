use {
    crate::{
        endpoint::{AbortedResponse, json_response, query_number, status_response},
        platform::{FaultInjector, HostHistory, LogStore, WeightRateLimiter},
    },
    http::{HeaderValue, Method, StatusCode, header},
    mango_http::{BodyError, CallerConnection, Handler, Request},
    mango_wire::platform::{AppendReply, HostList},
    parking_lot::Mutex,
    std::time::{Duration, Instant},
};

type Response = mango_http::Response<AbortedResponse>;

// Limit for `wait_ms`, so that a wrong value cannot block a thread forever.
const MAX_WAIT_MS: u64 = 60_000;

/// HTTP handler of the platform's log, host list and weight store.
pub(crate) struct PlatformService {
    pub(crate) log: LogStore,
    pub(crate) hosts: Mutex<HostHistory>,
    pub(crate) hosts_faults: FaultInjector,
    pub(crate) weights: Mutex<WeightRateLimiter>,
    pub(crate) weights_faults: FaultInjector,
}

impl Handler for PlatformService {
    type Source = AbortedResponse;

    fn handle(&self, request: Request, _: &CallerConnection) -> Response {
        let (parts, body) = request.into_parts();
        let body = match body {
            Ok(body) => body,
            Err(BodyError::TooLarge) => return status_response(StatusCode::PAYLOAD_TOO_LARGE),
            Err(BodyError::TimedOut | BodyError::Broken(_)) => {
                return status_response(StatusCode::BAD_REQUEST);
            }
        };
        let query = parts.uri.query().unwrap_or_default();
        let segments: Vec<_> = parts.uri.path().trim_matches('/').split('/').collect();
        match (&parts.method, segments.as_slice()) {
            (&Method::POST, ["streams", stream, "records"]) => self.append(stream, &body),
            (&Method::GET, ["streams", stream, "records"]) => self.read(stream, query),
            (&Method::GET, ["hosts"]) => self.hosts(),
            (&Method::GET, ["weights", name]) => self.weight(name),
            _ => status_response(StatusCode::NOT_FOUND),
        }
    }
}

impl PlatformService {
    /// Refuses all requests from now on, waiting ones included.
    pub(crate) fn close(&self) {
        for faults in [&self.log.faults, &self.hosts_faults, &self.weights_faults] {
            faults.close();
        }
        self.log.wake_readers();
    }

    fn append(&self, stream: &str, body: &[u8]) -> Response {
        let Ok(record) = str::from_utf8(body) else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        if self.log.faults.delay_and_wait().is_err() {
            return self.refuse_log();
        }
        let offset = self.log.append(stream, record.to_owned());
        if self.log.count_append() {
            return AbortedResponse::response();
        }
        json_response(StatusCode::OK, &AppendReply { offset })
    }

    fn read(&self, stream: &str, query: &str) -> Response {
        if self.log.faults.delay_and_wait().is_err() {
            return self.refuse_log();
        }
        let from = query_number(query, "from").unwrap_or(0);
        let wait_ms = query_number(query, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        match self.log.read(stream, from, deadline) {
            Ok(reply) => json_response(StatusCode::OK, &reply),
            Err(_) => self.refuse_log(),
        }
    }

    fn refuse_log(&self) -> Response {
        self.log.count_refused();
        status_response(StatusCode::SERVICE_UNAVAILABLE)
    }

    fn hosts(&self) -> Response {
        if self.hosts_faults.delay_and_wait().is_err() {
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let hosts = self.hosts.lock().visible();
        json_response(StatusCode::OK, &HostList { hosts })
    }

    fn weight(&self, name: &str) -> Response {
        if self.weights_faults.delay_and_wait().is_err() {
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let admitted = self.weights.lock().admit();
        match admitted {
            Ok(()) => json_response(StatusCode::OK, &serde_json::json!({ "name": name })),
            Err(wait) => {
                let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
                let mut response = status_response(StatusCode::TOO_MANY_REQUESTS);
                response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
                response
            }
        }
    }
}
