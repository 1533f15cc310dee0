use std::time::{Duration, Instant};

/// What a caller asked for.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    /// Work that may run once only.
    Booking { key: String, body_digest: String },
    /// Work that may be repeated, with the answer that only this request gets.
    Chat { expected: String },
}

/// Answer that a caller got.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    /// 0 if there was no head of an answer.
    pub(crate) status: u16,
    pub(crate) request_id: String,
    pub(crate) verdict: Option<String>,
    pub(crate) reason: Option<String>,
    /// Whether it ended properly.
    pub(crate) complete: bool,
    pub(crate) text: String,
    /// Digest of the body that ran, and id of the execution, of a booking.
    pub(crate) executed_digest: String,
    pub(crate) executed_attempt_id: String,
}

/// One call of one router, answered or not.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) host: usize,
    pub(crate) work: Work,
    pub(crate) started: Instant,
    pub(crate) ended: Instant,
    pub(crate) answer: Answer,
}

/// One execution, as the endpoint recorded it.
#[derive(Clone, Debug)]
pub(crate) struct Execution {
    /// Id of the request with the number of the attempt.
    pub(crate) attempt_id: String,
    /// Idempotency key of a booking.
    pub(crate) key: Option<String>,
    pub(crate) started: Instant,
}

/// Configuration of one router at one time.
#[derive(Clone, Debug)]
pub(crate) struct ConfigSample {
    pub(crate) process: usize,
    pub(crate) version: u64,
    pub(crate) content: String,
}

/// One object of a change that is accepted by the order of the log.
#[derive(Clone, Debug)]
pub(crate) struct ConfigChange {
    pub(crate) version: u64,
    pub(crate) object: String,
    pub(crate) content: String,
}

/// Objects of one live router after the faults.
#[derive(Clone, Debug)]
pub(crate) struct FinalConfig {
    pub(crate) process: usize,
    pub(crate) version: u64,
    /// Names of objects with their contents.
    pub(crate) objects: Vec<(String, String)>,
}

/// An endpoint's leave, with the times at which it still got new work.
#[derive(Clone, Debug)]
pub(crate) struct LeftEndpoint {
    pub(crate) left_at: Instant,
    pub(crate) grace: Duration,
    pub(crate) new_request_times: Vec<Instant>,
}

/// A planned stop of a router that no other fault concerned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStop {
    pub(crate) host: usize,
    pub(crate) requested_at: Instant,
}

/// All that happened in one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    pub(crate) calls: Vec<Call>,
    pub(crate) executions: Vec<Execution>,
    pub(crate) config_samples: Vec<ConfigSample>,
    pub(crate) config_changes: Vec<ConfigChange>,
    /// Versions of the changes that operators were told to be accepted.
    pub(crate) accepted_versions: Vec<u64>,
    pub(crate) final_configs: Vec<FinalConfig>,
    pub(crate) left_endpoints: Vec<LeftEndpoint>,
    pub(crate) planned_stops: Vec<PlannedStop>,
    /// Latest time before which an owner of a key range, after an outage that is on
    /// record, treats unknown keys as uncertain; in milliseconds since 1970.
    pub(crate) uncertain_before_ms: u64,
    /// Records of the streams `fleet` and `claims-<n>`, to explain violations.
    pub(crate) records: Vec<String>,
}
