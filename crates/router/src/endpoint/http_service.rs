use {
    super::{
        call_failure::CallFailure,
        http_client::{HttpClient, time_left},
        service::{Service, ServiceCall, ServiceResponse},
    },
    mango_wire::{Reason, problem::Verdict, settings::DispatchSettings},
    std::net::SocketAddr,
    ureq::{Body, http::Response},
};

/// Largest body of a response of a plain service, in bytes.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;

/// Plain service with an HTTP interface.
pub(crate) struct HttpService {
    client: HttpClient,
}

impl HttpService {
    /// Creates a client of the service. The first call opens a connection.
    pub(crate) fn open(address: SocketAddr, settings: &DispatchSettings) -> Self {
        Self { client: HttpClient::open(address, settings) }
    }

    fn send(&self, call: &ServiceCall) -> Result<Response<Body>, CallFailure> {
        let left = time_left(call.deadline)?;
        let mut request = http::Request::builder()
            .method(call.method.clone())
            .uri(self.client.url(&call.path))
            .header("X-Request-Id", &call.attempt_id);
        if let Some(content_type) = &call.content_type {
            request = request.header(http::header::CONTENT_TYPE, content_type);
        }
        if let Some(key) = &call.idempotency_key {
            request = request.header("Idempotency-Key", key);
        }
        let not_sent =
            |e: http::Error| CallFailure::new(Verdict::NotRun, Reason::BadHeader, e.to_string());
        let agent = self.client.agent(call.repeatable);
        let request = request.body(call.body.to_vec()).map_err(not_sent)?;
        let request = agent
            .configure_request(request)
            .timeout_global(Some(left))
            .allow_non_standard_methods(true)
            .build();
        agent.run(request).map_err(|e| CallFailure::from_send_error(&e))
    }
}

impl Service for HttpService {
    fn call(&self, call: &ServiceCall) -> Result<ServiceResponse, CallFailure> {
        let mut response = self.send(call)?;
        let status = response.status().as_u16();
        if response.headers().get("X-Refused").is_some_and(|v| v == "unread") {
            return Err(CallFailure::from_status(status, true));
        }
        let id = response.headers().get("X-Request-Id").and_then(|v| v.to_str().ok());
        if id != Some(call.attempt_id.as_str()) {
            let detail = format!("answer carries request id {}", id.unwrap_or("none"));
            return Err(CallFailure::new(Verdict::MayHaveRun, Reason::CrossedAnswer, detail));
        }
        let content_type = response
            .headers()
            .get(http::header::CONTENT_TYPE)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        let body =
            response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec().map_err(
                |e| CallFailure {
                    verdict: Verdict::MayHaveRun,
                    ..CallFailure::from_send_error(&e)
                },
            )?;
        Ok(ServiceResponse { status, content_type, body: body.into() })
    }
}
