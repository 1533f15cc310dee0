use {super::call_failure::CallFailure, bytes::Bytes, std::time::Instant};

/// One call of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCall {
    /// Unique for each attempt; the answer must carry it.
    pub(crate) attempt_id: String,
    pub(crate) method: http::Method,
    /// Path and query below the service.
    pub(crate) path: String,
    pub(crate) content_type: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    /// Whether the call may be repeated.
    pub(crate) repeatable: bool,
}

/// Whole answer of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceAnswer {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

/// A plain service.
pub(crate) trait Service: Send + Sync + 'static {
    /// Blocks until the whole answer is there, at the longest until the deadline.
    fn call(&self, call: &ServiceCall) -> Result<ServiceAnswer, CallFailure>;
}
