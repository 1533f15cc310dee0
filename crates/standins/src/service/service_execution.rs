use std::time::Instant;

/// One execution of a request by a plain service.
#[derive(Clone, Debug)]
pub struct ServiceExecution {
    pub request_id: String,
    pub idempotency_key: Option<String>,
    pub method: String,
    /// Path and query.
    pub path: String,
    /// xxh3 digest of the body, as hexadecimal digits.
    pub body_digest: String,
    /// Identity of the service that ran it.
    pub identity: String,
    /// When the effect took place.
    pub started: Instant,
    /// When the answer was ready; `None` while it runs and after a crash.
    pub ended: Option<Instant>,
    /// Whether the connection was dropped after the effect.
    pub dropped: bool,
}
