use {
    crate::endpoint::CallFailure,
    mango_wire::{
        Reason,
        problem::{Problem, Verdict},
    },
};

/// Why a request got no complete answer, as told to the caller.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: u16,
    pub(crate) verdict: Verdict,
    pub(crate) reason: Reason,
    pub(crate) detail: String,
    pub(crate) field: Option<String>,
    pub(crate) retry_after_ms: Option<u32>,
}

impl Refusal {
    /// A refusal of a request of which nothing was sent to an endpoint.
    pub(crate) fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, reason, detail)
    }

    pub(crate) fn new(verdict: Verdict, reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            status: status_of(reason, verdict),
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

    /// The problem document for this refusal.
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

fn status_of(reason: Reason, verdict: Verdict) -> u16 {
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
        | Reason::LogUnavailable => 503,
        Reason::Deadline if verdict == Verdict::NotRun => 503,
        Reason::Deadline | Reason::EndpointStalled => 504,
        Reason::EndpointUnreachable
        | Reason::EndpointRefused
        | Reason::EndpointBroken
        | Reason::CrossedAnswer => 502,
    }
}
