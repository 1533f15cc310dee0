use {
    crate::endpoint::CallFailure,
    mango_wire::{
        Reason,
        problem::{Problem, Verdict},
    },
};

/// Reason why a request got no complete answer, as it is reported to the caller.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// HTTP status of the answer to the caller.
    pub(crate) status: u16,
    pub(crate) verdict: Verdict,
    pub(crate) reason: Reason,
    pub(crate) detail: String,
    /// Header or field of the request that is at fault.
    pub(crate) field: Option<String>,
    pub(crate) retry_after_ms: Option<u32>,
}

impl Refusal {
    /// Creates the refusal of a request that no endpoint has run.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, reason, detail)
    }

    pub(crate) fn new(verdict: Verdict, reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            status: http_status(reason, verdict),
            verdict,
            reason,
            detail: detail.into(),
            field: None,
            retry_after_ms: None,
        }
    }

    pub(crate) fn with_field(mut self, field: &str) -> Self {
        self.field = Some(field.to_owned());
        self
    }

    pub(crate) fn with_retry_after(mut self, ms: u32) -> Self {
        self.retry_after_ms = (ms > 0).then_some(ms);
        self
    }

    /// Converts the refusal to the problem document that callers get.
    pub(crate) fn to_problem(&self, request_id: &str) -> Problem {
        let reason: &'static str = self.reason.into();
        Problem {
            type_: format!("urn:mangobridge:{reason}"),
            title: reason.replace('_', " "),
            status: self.status,
            detail: self.detail.clone(),
            verdict: self.verdict,
            reason: reason.to_owned(),
            request_id: request_id.to_owned(),
            field: self.field.clone(),
            retry_after_ms: self.retry_after_ms.map(i64::from),
        }
    }
}

impl From<CallFailure> for Refusal {
    fn from(failure: CallFailure) -> Self {
        Self::new(failure.verdict, failure.reason, failure.detail)
    }
}

fn http_status(reason: Reason, verdict: Verdict) -> u16 {
    match reason {
        Reason::BadHeader | Reason::BadBody => 400,
        Reason::UnknownTeam | Reason::NoRoute => 403,
        Reason::UnknownWork => 400,
        Reason::UnknownPath => 404,
        Reason::MethodNotAllowed => 405,
        Reason::SlowCaller | Reason::CallerLeft => 408,
        Reason::InProgress | Reason::OutcomeUnknown | Reason::OutcomeNotKept => 409,
        Reason::KeyExpired => 410,
        Reason::BodyTooLarge => 413,
        Reason::KeyReused => 422,
        Reason::TeamLimit | Reason::TooManyRequests => 429,
        Reason::HeadersTooLarge => 431,
        Reason::NotReady
        | Reason::Draining
        | Reason::TooManyConnections
        | Reason::QueueFull
        | Reason::NoCapacity
        | Reason::OwnerUnavailable
        | Reason::LogUnavailable
        | Reason::PartBlocked
        | Reason::StreamOriginUnknown => 503,
        Reason::Deadline if verdict == Verdict::NotRun => 503,
        Reason::Deadline | Reason::EndpointStalled => 504,
        Reason::EndpointUnreachable
        | Reason::EndpointRefused
        | Reason::EndpointBroken
        | Reason::CrossedAnswer => 502,
    }
}
