use {
    super::{
        call_failure::CallFailure,
        engine::{Engine, EngineCall},
        engine_event_stream::{EngineEventStream, crossed_answer},
        http_client::{HttpClient, time_left},
    },
    mango_wire::{
        platform::{CacheEvents, CacheListing, LoadReport},
        problem::Verdict,
        settings::DispatchSettings,
    },
    std::net::SocketAddr,
    ureq::{Body, http::Response},
};

/// Model engine with an OpenAI-style HTTP interface.
pub(crate) struct HttpEngine {
    client: HttpClient,
}

impl HttpEngine {
    /// Creates a client of the engine. The first call opens a connection.
    pub(crate) fn open(address: SocketAddr, settings: &DispatchSettings) -> Self {
        Self { client: HttpClient::open(address, settings) }
    }

    pub(crate) fn client(&self) -> &HttpClient {
        &self.client
    }

    fn send(&self, call: &EngineCall) -> Result<Response<Body>, CallFailure> {
        let left = time_left(call.deadline)?;
        self.client
            .agent(call.repeatable)
            .post(self.client.url("/v1/chat/completions"))
            .config()
            .timeout_global(Some(left))
            .build()
            .content_type("application/json")
            .header("X-Request-Id", &call.attempt_id)
            .header("X-Chat", &call.chat)
            .header("X-Priority", call.priority.to_string())
            .send(&call.body[..])
            .map_err(|e| CallFailure::from_send_error(&e))
    }

    fn send_resume(&self, call: &EngineCall, from: u32) -> Result<Response<Body>, CallFailure> {
        let left = time_left(call.deadline)?;
        let path = format!("/v1/requests/{}/stream?from={from}", call.attempt_id);
        self.client
            .agent(true)
            .get(self.client.url(&path))
            .config()
            .timeout_global(Some(left))
            .build()
            .call()
            .map_err(|e| CallFailure::from_send_error(&e))
    }
}

impl Engine for HttpEngine {
    fn generate(&self, call: &EngineCall) -> Result<EngineEventStream, CallFailure> {
        let response = self.send(call).and_then(|response| check_response_head(response, call))?;
        Ok(EngineEventStream::new(response.into_body(), &call.attempt_id, call.first_index))
    }

    fn resume(&self, call: &EngineCall, from: u32) -> Result<EngineEventStream, CallFailure> {
        let head =
            self.send_resume(call, from).and_then(|response| check_response_head(response, call));
        // the original request was sent before, so it may have run even if this one did not
        let response =
            head.map_err(|failure| CallFailure { verdict: Verdict::MayHaveRun, ..failure })?;
        Ok(EngineEventStream::new(response.into_body(), &call.attempt_id, from))
    }

    fn cancel(&self, attempt_id: &str) -> Result<(), CallFailure> {
        self.client.post(&format!("/v1/requests/{attempt_id}/cancel"), "{}")
    }

    fn set_priority(&self, attempt_id: &str, priority: u16) -> Result<(), CallFailure> {
        let body = format!("{{\"priority\":{priority}}}");
        self.client.post(&format!("/v1/requests/{attempt_id}/priority"), &body)
    }

    fn load_report(&self) -> Result<LoadReport, CallFailure> {
        self.client.get_json("/v1/load")
    }

    fn cache_events(&self, since: u64) -> Result<CacheEvents, CallFailure> {
        self.client.get_json(&format!("/v1/cache/events?since={since}"))
    }

    fn cache_listing(&self) -> Result<CacheListing, CallFailure> {
        self.client.get_json("/v1/cache")
    }
}

/// Checks that the engine accepted the call and that the response belongs to it.
fn check_response_head(
    response: Response<Body>,
    call: &EngineCall,
) -> Result<Response<Body>, CallFailure> {
    if !response.status().is_success() {
        let unread = response.headers().get("X-Refused").is_some_and(|v| v == "unread");
        return Err(CallFailure::from_status(response.status().as_u16(), unread));
    }
    let id = response.headers().get("X-Request-Id").and_then(|v| v.to_str().ok());
    if id != Some(call.attempt_id.as_str()) {
        return Err(crossed_answer(id.unwrap_or("none"), &call.attempt_id));
    }
    Ok(response)
}
