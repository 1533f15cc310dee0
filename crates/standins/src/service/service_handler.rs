use {
    crate::{
        endpoint::{
            AbortedResponse, header_text, json_response, refuse_unread, request_id, status_response,
        },
        service::{Admission, Outcome, ServiceCore, ServiceExecution},
    },
    http::{HeaderValue, StatusCode},
    mango_http::{BodyError, CallerConnection, Handler, Request, Response},
    std::{sync::Arc, time::Instant},
};

/// HTTP handler of a stand-in service between one start and the next crash.
pub(crate) struct ServiceHandler {
    core: Arc<ServiceCore>,
    generation: u64,
}

impl Handler for ServiceHandler {
    type Source = AbortedResponse;

    fn handle(&self, request: Request, _: &CallerConnection) -> Response<AbortedResponse> {
        let (parts, body) = request.into_parts();
        let id = request_id(&parts.headers);
        let mut response = match body {
            Ok(body) => self.execute(&id, &parts, &body),
            Err(BodyError::TooLarge) => status_response(StatusCode::PAYLOAD_TOO_LARGE),
            Err(BodyError::TimedOut | BodyError::Broken(_)) => {
                status_response(StatusCode::BAD_REQUEST)
            }
        };
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("X-Request-Id", value);
        }
        response
    }
}

impl ServiceHandler {
    pub(crate) fn new(core: Arc<ServiceCore>) -> Self {
        let generation = core.with(|state| state.generation);
        Self { core, generation }
    }

    fn execute(
        &self,
        id: &str,
        parts: &http::request::Parts,
        body: &[u8],
    ) -> Response<AbortedResponse> {
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let body_digest = format!("{:016x}", mango_wire::digest(body));
        let execution = ServiceExecution {
            request_id: id.to_owned(),
            idempotency_key: header_text(&parts.headers, "Idempotency-Key").map(str::to_owned),
            method: parts.method.to_string(),
            path: path.to_owned(),
            body_digest: body_digest.clone(),
            identity: String::new(),
            started: Instant::now(),
            ended: None,
            dropped: false,
        };
        let index = match self.core.admit(self.generation, execution) {
            Admission::Admitted(index) => index,
            Admission::Leaving => return refuse_unread(StatusCode::SERVICE_UNAVAILABLE),
            Admission::Full => return refuse_unread(StatusCode::TOO_MANY_REQUESTS),
            Admission::Crashed => return AbortedResponse::response(),
        };
        match self.core.execute(self.generation, index) {
            Outcome::Dropped => AbortedResponse::response(),
            Outcome::Answered => {
                let reply = serde_json::json!({
                    "request_id": id,
                    "path": path,
                    "execution": index + 1,
                    "body_digest": body_digest,
                });
                json_response(StatusCode::OK, &reply)
            }
        }
    }
}
