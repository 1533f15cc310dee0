use std::time::{Duration, Instant};

/// Work that a caller requested.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    /// Call of the service, which must not run more than once under its key.
    Booking { key: String, body_digest: String },
    /// Chat completion, which may be repeated. The expected text is unique to the request.
    Chat { expected: String },
}

/// Answer that a caller received.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    /// HTTP status; 0 if the connection failed before the response headers.
    pub(crate) status: u16,
    pub(crate) request_id: String,
    pub(crate) verdict: Option<String>,
    pub(crate) reason: Option<String>,
    /// Whether the whole answer was received, without an error.
    pub(crate) complete: bool,
    pub(crate) text: String,
    /// For a booking, the digest of the request body that the service received.
    pub(crate) executed_digest: String,
    /// For a booking, the attempt id of its execution.
    pub(crate) executed_attempt_id: String,
}

/// One request to one router, answered or not.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Index of the router's host.
    pub(crate) host: usize,
    pub(crate) work: Work,
    pub(crate) started: Instant,
    pub(crate) ended: Instant,
    pub(crate) answer: Answer,
}

/// One execution of a request, as recorded by the endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Execution {
    /// Request id and number of the attempt, separated by `-`.
    pub(crate) attempt_id: String,
    /// Idempotency key of a booking.
    pub(crate) key: Option<String>,
    pub(crate) started: Instant,
}

/// Configuration that a router process returned for one `GET /config`.
#[derive(Clone, Debug)]
pub(crate) struct ConfigSample {
    /// Number of the router process, unique in the run.
    pub(crate) process: usize,
    pub(crate) version: u64,
    pub(crate) content: String,
}

/// One object of a change that is accepted if the log's records are applied in order.
#[derive(Clone, Debug)]
pub(crate) struct ConfigChange {
    /// Offset of the change in the log.
    pub(crate) version: u64,
    /// Kind and id of the object.
    pub(crate) object: String,
    pub(crate) content: String,
}

/// Configuration of one running router after all faults have ended.
#[derive(Clone, Debug)]
pub(crate) struct FinalConfig {
    /// Number of the router process, unique in the run.
    pub(crate) process: usize,
    pub(crate) version: u64,
    /// Kind and id of each object, and its content.
    pub(crate) objects: Vec<(String, String)>,
}

/// An endpoint that left the fleet.
#[derive(Clone, Debug)]
pub(crate) struct LeftEndpoint {
    pub(crate) left_at: Instant,
    /// Time after the leave in which new requests are still allowed.
    pub(crate) grace: Duration,
    /// Arrival times of the requests that it refused after the leave.
    pub(crate) new_request_times: Vec<Instant>,
}

/// A planned stop of a router. No other fault of the run interrupts requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStop {
    /// Index of the router's host.
    pub(crate) host: usize,
    pub(crate) requested_at: Instant,
}

/// Everything that was recorded in one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    pub(crate) calls: Vec<Call>,
    pub(crate) executions: Vec<Execution>,
    pub(crate) config_samples: Vec<ConfigSample>,
    pub(crate) config_changes: Vec<ConfigChange>,
    /// Versions of the changes that routers reported to operators as accepted.
    pub(crate) accepted_versions: Vec<u64>,
    pub(crate) final_configs: Vec<FinalConfig>,
    pub(crate) left_endpoints: Vec<LeftEndpoint>,
    pub(crate) planned_stops: Vec<PlannedStop>,
    /// After a recorded log outage, a booking may have run although the log has no record
    /// of its key, if the key was issued before this time. The latest such time that the
    /// log contains, in milliseconds since 1970; 0 for none.
    pub(crate) uncertain_before_ms: u64,
    /// Records of all log streams except `config`, for the details of violations.
    pub(crate) records: Vec<String>,
}
