use {
    super::call_failure::CallFailure,
    mango_wire::{Reason, problem::Verdict, settings::DispatchSettings},
    serde::de::DeserializeOwned,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    ureq::{Agent, Body, http::Response},
};

/// Largest control answer of an endpoint, in bytes. A listing of a full cache
/// with 20,000 chats has about 1.5 MB.
const MAX_CONTROL_BYTES: u64 = 8 * 1024 * 1024;
/// Longest wait for a control answer.
const CONTROL_WAIT: Duration = Duration::from_millis(1000);
const MAX_IDLE_PER_ENDPOINT: usize = 64;
/// Buffer of each direction of a connection. ureq's 128 KiB made a request in flight
/// take 377 KB, 162 MB at the 430 requests of a host at its peak.
const BUFFER_BYTES: usize = 16 * 1024;

/// HTTP connections to one endpoint.
#[derive(Clone)]
pub(crate) struct HttpClient {
    pooled: Agent,
    fresh: Agent,
    base_url: String,
}

impl HttpClient {
    /// Opens a client; connections are made on the first call.
    pub(crate) fn open(address: SocketAddr, settings: &DispatchSettings) -> Self {
        let agent = |idle: usize| {
            Agent::config_builder()
                .http_status_as_error(false)
                .timeout_connect(Some(millis(settings.connect_ms)))
                .timeout_per_read(Some(millis(settings.stall_ms)))
                .input_buffer_size(BUFFER_BYTES)
                .output_buffer_size(BUFFER_BYTES)
                .max_idle_connections(idle)
                .max_idle_connections_per_host(idle)
                .build()
                .new_agent()
        };
        Self {
            pooled: agent(MAX_IDLE_PER_ENDPOINT),
            fresh: agent(0),
            base_url: format!("http://{address}"),
        }
    }

    /// Agent for a call that may, or may not, be repeated.
    pub(crate) fn agent(&self, repeatable: bool) -> &Agent {
        if repeatable { &self.pooled } else { &self.fresh }
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }

    /// Reads a small JSON document.
    pub(crate) fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallFailure> {
        let response = self
            .pooled
            .get(self.url(path))
            .config()
            .timeout_global(Some(CONTROL_WAIT))
            .build()
            .call()
            .map_err(|e| CallFailure::of_send(&e))?;
        parse(response)
    }

    /// Posts a small document and ignores the answer's body.
    pub(crate) fn post(&self, path: &str, body: &str) -> Result<(), CallFailure> {
        let mut response = self
            .pooled
            .post(self.url(path))
            .config()
            .timeout_global(Some(CONTROL_WAIT))
            .build()
            .content_type("application/json")
            .send(body)
            .map_err(|e| CallFailure::of_send(&e))?;
        if !response.status().is_success() {
            return Err(CallFailure::of_status(response.status().as_u16(), false));
        }
        response.body_mut().read_to_vec().map_err(|e| CallFailure::of_send(&e))?;
        Ok(())
    }
}

fn parse<T: DeserializeOwned>(mut response: Response<Body>) -> Result<T, CallFailure> {
    if !response.status().is_success() {
        return Err(CallFailure::of_status(response.status().as_u16(), false));
    }
    let bytes = response
        .body_mut()
        .with_config()
        .limit(MAX_CONTROL_BYTES)
        .read_to_vec()
        .map_err(|e| CallFailure::of_send(&e))?;
    serde_json::from_slice(&bytes)
        .map_err(|e| CallFailure::new(Verdict::MayHaveRun, Reason::EndpointBroken, e.to_string()))
}

/// Time left until a deadline, or a failure that says that nothing was sent.
pub(crate) fn time_left(deadline: Instant) -> Result<Duration, CallFailure> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(CallFailure::new(Verdict::NotRun, Reason::Deadline, "deadline passed"));
    }
    Ok(left)
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
