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

/// Largest response to a control request, in bytes. The listing of a full cache with
/// 20,000 chats has about 1.5 MB.
const MAX_CONTROL_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;
/// Time-out of a control request, such as a load report or a cancellation.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1000);
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Size of the input buffer and of the output buffer of a connection. With ureq's
/// default of 128 KiB a request in flight takes 377 KB of memory, or 162 MB for the 430
/// requests of a host at its peak.
const BUFFER_BYTES: usize = 16 * 1024;

/// HTTP client of one endpoint.
#[derive(Clone)]
pub(crate) struct HttpClient {
    /// Reuses idle connections.
    pooled: Agent,
    /// Opens a new connection for each request.
    unpooled: Agent,
    base_url: String,
}

impl HttpClient {
    /// Creates a client. The first call opens a connection.
    pub(crate) fn open(address: SocketAddr, settings: &DispatchSettings) -> Self {
        let agent = |max_idle: usize| {
            Agent::config_builder()
                .http_status_as_error(false)
                .timeout_connect(Some(millis(settings.connect_ms)))
                .timeout_per_read(Some(millis(settings.stall_ms)))
                .input_buffer_size(BUFFER_BYTES)
                .output_buffer_size(BUFFER_BYTES)
                .max_idle_connections(max_idle)
                .max_idle_connections_per_host(max_idle)
                .build()
                .new_agent()
        };
        Self {
            pooled: agent(MAX_IDLE_CONNECTIONS),
            unpooled: agent(0),
            base_url: format!("http://{address}"),
        }
    }

    /// Agent for a call. A call that may not be repeated gets a new connection.
    pub(crate) fn agent(&self, repeatable: bool) -> &Agent {
        if repeatable { &self.pooled } else { &self.unpooled }
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }

    /// Sends a control request that gets a JSON document.
    pub(crate) fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallFailure> {
        let response = self
            .pooled
            .get(self.url(path))
            .config()
            .timeout_global(Some(CONTROL_TIMEOUT))
            .build()
            .call()
            .map_err(|e| CallFailure::from_send_error(&e))?;
        parse_json(response)
    }

    /// Sends a control request with a JSON body and discards the body of the response.
    pub(crate) fn post(&self, path: &str, body: &str) -> Result<(), CallFailure> {
        let mut response = self
            .pooled
            .post(self.url(path))
            .config()
            .timeout_global(Some(CONTROL_TIMEOUT))
            .build()
            .content_type("application/json")
            .send(body)
            .map_err(|e| CallFailure::from_send_error(&e))?;
        if !response.status().is_success() {
            return Err(CallFailure::from_status(response.status().as_u16(), false));
        }
        response.body_mut().read_to_vec().map_err(|e| CallFailure::from_send_error(&e))?;
        Ok(())
    }
}

fn parse_json<T: DeserializeOwned>(mut response: Response<Body>) -> Result<T, CallFailure> {
    if !response.status().is_success() {
        return Err(CallFailure::from_status(response.status().as_u16(), false));
    }
    let bytes = response
        .body_mut()
        .with_config()
        .limit(MAX_CONTROL_RESPONSE_BYTES)
        .read_to_vec()
        .map_err(|e| CallFailure::from_send_error(&e))?;
    serde_json::from_slice(&bytes)
        .map_err(|e| CallFailure::new(Verdict::MayHaveRun, Reason::EndpointBroken, e.to_string()))
}

/// Time left until a deadline. Fails with the verdict that the request was not run if
/// the deadline has passed.
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
