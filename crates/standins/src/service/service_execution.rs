use std::time::Instant;

/// One execution of a request by a stand-in service.
#[derive(Clone, Debug)]
pub struct ServiceExecution {
    pub request_id: String,
    pub idempotency_key: Option<String>,
    pub method: String,
    /// Path and query.
    pub path: String,
    /// xxh3 digest of the body, as hexadecimal digits.
    pub body_digest: String,
    /// Identity of the service when it executed the request.
    pub identity: String,
    /// When the execution started and took effect.
    pub started: Instant,
    /// When the execution ended; `None` while it runs and if a crash interrupted it.
    pub ended: Option<Instant>,
    /// Whether the connection was closed without a response although the request took
    /// effect.
    pub dropped: bool,
}
