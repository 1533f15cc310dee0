use {super::call_failure::CallFailure, bytes::Bytes, std::time::Instant};

/// One request to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCall {
    /// Unique for each attempt; the response must contain it.
    pub(crate) attempt_id: String,
    pub(crate) method: http::Method,
    /// Path and query without the prefix `/services/NAME`.
    pub(crate) path: String,
    pub(crate) content_type: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    /// Whether the call may be repeated. A call that may not is sent on a new connection,
    /// so that a failure to connect proves that it did not run.
    pub(crate) repeatable: bool,
}

/// Complete response of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceResponse {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

/// A plain service: an endpoint that is not a model engine.
pub(crate) trait Service: Send + Sync + 'static {
    /// Sends the request and blocks until the response is complete, at most until the
    /// deadline.
    fn call(&self, call: &ServiceCall) -> Result<ServiceResponse, CallFailure>;
}
