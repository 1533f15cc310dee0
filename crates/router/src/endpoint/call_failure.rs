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

    /// Failure to send a request or to receive the head of its response. Only a
    /// connection that was never established proves that the request did not run.
    pub(crate) fn from_send_error(error: &Error) -> Self {
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

    /// Outcome with which the permit is released, for a request that was not run or for a
    /// service call. A generation request that may have run is cancelled instead.
    pub(crate) fn release_outcome(&self) -> ReleaseOutcome {
        if self.verdict == Verdict::NotRun {
            ReleaseOutcome::NotAccepted
        } else {
            ReleaseOutcome::Failed
        }
    }

    /// Failure to read the body of a response.
    pub(crate) fn from_read_error(error: &io::Error) -> Self {
        // ureq returns its own time-outs as I/O errors of kind `Other`
        let inner = error.get_ref().and_then(|e| e.downcast_ref::<Error>());
        let timed_out = matches!(inner, Some(Error::Timeout(_)))
            || matches!(error.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock);
        let reason = if timed_out { Reason::EndpointStalled } else { Reason::EndpointBroken };
        Self::new(Verdict::MayHaveRun, reason, error.to_string())
    }

    /// Failure of a call that the endpoint refused with a status code. `unread` is set if
    /// the endpoint stated that it did not read the request.
    pub(crate) fn from_status(status: u16, unread: bool) -> Self {
        let verdict = if unread { Verdict::NotRun } else { Verdict::MayHaveRun };
        Self::new(verdict, Reason::EndpointRefused, format!("endpoint answered {status}"))
    }
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.reason, self.verdict, self.detail)
    }
}
