use {
    mango_wire::{
        Reason,
        problem::{Problem, Verdict},
    },
    std::time::Duration,
};

/// An error response that the router sends in place of an endpoint's response.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: u16,
    pub(crate) reason: Reason,
    pub(crate) verdict: Verdict,
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// A 4xx response: the request is invalid, did not run and must not be retried unchanged.
    pub(crate) fn client_error(status: u16, reason: Reason) -> Refusal {
        Refusal { status, reason, verdict: Verdict::NotRun, retry_after: None }
    }

    /// A 503 response: the request did not run and may be retried later.
    pub(crate) fn unavailable(reason: Reason, retry_after: Duration) -> Refusal {
        Refusal { status: 503, reason, verdict: Verdict::NotRun, retry_after: Some(retry_after) }
    }

    /// A 502 or 504 response: the request may have run, and its outcome is unknown.
    pub(crate) fn outcome_unknown(reason: Reason) -> Refusal {
        let status = if reason == Reason::Deadline { 504 } else { 502 };
        Refusal { status, reason, verdict: Verdict::MayHaveRun, retry_after: None }
    }

    /// Reason phrase of the status.
    pub(crate) fn status_text(&self) -> &'static str {
        match self.status {
            400 => "Bad Request",
            401 => "Unauthorized",
            404 => "Not Found",
            408 => "Request Timeout",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            502 => "Bad Gateway",
            504 => "Gateway Timeout",
            _ => "Service Unavailable",
        }
    }

    /// Body of the response.
    pub(crate) fn to_problem(&self, request_id: &str) -> Problem {
        let reason: &str = self.reason.into();
        Problem {
            detail: String::new(),
            field: None,
            reason: reason.to_owned(),
            request_id: request_id.to_owned(),
            retry_after_ms: self.retry_after.map(|delay| delay.as_millis() as i64),
            status: self.status,
            title: self.status_text().to_owned(),
            type_: format!("urn:mangobridge:problem:{reason}"),
            verdict: self.verdict,
        }
    }
}
