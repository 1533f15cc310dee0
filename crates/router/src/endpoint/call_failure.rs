use {
    mango_wire::{Reason, peer::ReleaseOutcome, problem::Verdict},
    std::{fmt, io},
    ureq::{Error, Timeout},
};

/// Why a call to an endpoint failed, and whether the request may have run.
#[derive(Clone, Debug)]
pub(crate) struct CallFailure {
    pub(crate) verdict: Verdict,
    pub(crate) reason: Reason,
    pub(crate) detail: String,
}

impl CallFailure {
    pub(crate) fn new(verdict: Verdict, reason: Reason, detail: impl Into<String>) -> Self {
        Self { verdict, reason, detail: detail.into() }
    }

    /// Failure of sending a request or of waiting for the head of its answer.
    /// Only a connection that was never made proves that nothing ran.
    pub(crate) fn of_send(error: &Error) -> Self {
        let (verdict, reason) = match error {
            Error::ConnectionFailed | Error::HostNotFound => {
                (Verdict::NotRun, Reason::EndpointUnreachable)
            }
            Error::Timeout(Timeout::Connect | Timeout::Resolve) => {
                (Verdict::NotRun, Reason::EndpointUnreachable)
            }
            Error::Timeout(_) => (Verdict::MayHaveRun, Reason::EndpointStalled),
            Error::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                (Verdict::NotRun, Reason::EndpointUnreachable)
            }
            _ => (Verdict::MayHaveRun, Reason::EndpointBroken),
        };
        Self::new(verdict, reason, error.to_string())
    }

    /// Outcome of the permit of a request that was not run, or of a service call.
    pub(crate) fn release_outcome(&self) -> ReleaseOutcome {
        if self.verdict == Verdict::NotRun {
            ReleaseOutcome::NotAccepted
        } else {
            ReleaseOutcome::Failed
        }
    }

    /// Failure while the body of an answer was read.
    pub(crate) fn of_read(error: &io::Error) -> Self {
        // ureq hands its own time-outs on as errors of kind `Other`
        let inner = error.get_ref().and_then(|e| e.downcast_ref::<Error>());
        let timed_out = matches!(inner, Some(Error::Timeout(_)))
            || matches!(error.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock);
        let reason = if timed_out { Reason::EndpointStalled } else { Reason::EndpointBroken };
        Self::new(Verdict::MayHaveRun, reason, error.to_string())
    }

    /// Refusal by the endpoint's status code. `unread` says that the endpoint
    /// itself declared that it did not read the request.
    pub(crate) fn of_status(status: u16, unread: bool) -> Self {
        let verdict = if unread { Verdict::NotRun } else { Verdict::MayHaveRun };
        Self::new(verdict, Reason::EndpointRefused, format!("endpoint answered {status}"))
    }
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.reason, self.verdict, self.detail)
    }
}
