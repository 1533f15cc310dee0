use {
    mango_wire::{
        Reason,
        problem::{Problem, Verdict},
    },
    std::time::Duration,
};

/// An answer of the router itself in place of an endpoint's.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: u16,
    pub(crate) reason: Reason,
    pub(crate) verdict: Verdict,
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    /// The request itself is wrong; it did not run and is not to be repeated.
    pub(crate) fn client_error(status: u16, reason: Reason) -> Refusal {
        Refusal { status, reason, verdict: Verdict::NotRun, retry_after: None }
    }

    /// The request did not run and may be repeated later.
    pub(crate) fn unavailable(reason: Reason, retry_after: Duration) -> Refusal {
        Refusal { status: 503, reason, verdict: Verdict::NotRun, retry_after: Some(retry_after) }
    }

    /// The request may have run, and its outcome is not known.
    pub(crate) fn outcome_unknown(reason: Reason) -> Refusal {
        let status = if reason == Reason::Deadline { 504 } else { 502 };
        Refusal { status, reason, verdict: Verdict::MayHaveRun, retry_after: None }
    }

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

    pub(crate) fn to_problem(&self, request_id: &str) -> Problem {
        let reason: &str = self.reason.into();
        Problem {
            detail: String::new(),
            field: None,
            reason: reason.to_owned(),
            request_id: request_id.to_owned(),
            retry_after_ms: self.retry_after.map(|pause| pause.as_millis() as i64),
            status: self.status,
            title: self.status_text().to_owned(),
            type_: format!("urn:mangobridge:problem:{reason}"),
            verdict: self.verdict,
        }
    }
}
