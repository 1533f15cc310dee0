use {
    super::held_response::HeldResponse,
    crate::{memory::PoolExhausted, retry::SendOutcome},
    strum::{Display, IntoStaticStr},
};

/// A send that did not end with a forwarded response.
#[derive(Debug)]
pub(super) struct SendFailure {
    pub(super) outcome: SendOutcome,
    pub(super) cause: FailureCause,
    /// The endpoint's 5xx response, which is forwarded if no later send succeeds.
    pub(super) response: Option<HeldResponse>,
}

/// Why a send failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum FailureCause {
    ConnectFailed,
    ConnectionBroken,
    /// An idle connection broke as soon as it was reused.
    IdleConnectionBroken,
    /// The response is malformed, unsigned or encoded, or belongs to another request.
    BadAnswer,
    /// The response exceeds a size limit, or all responses together exceed theirs.
    TooLarge,
    /// The body or the last event of a stream ended early.
    Truncated,
    /// The endpoint reported that it did not run the request.
    Refused,
    /// The address now belongs to another endpoint.
    Misdirected,
    /// The response has a 5xx status.
    FailedStatus,
}

impl From<PoolExhausted> for SendFailure {
    fn from(_: PoolExhausted) -> SendFailure {
        SendFailure::may_have_run(FailureCause::TooLarge)
    }
}

impl SendFailure {
    pub(super) fn new(outcome: SendOutcome, cause: FailureCause) -> SendFailure {
        SendFailure { outcome, cause, response: None }
    }

    pub(super) fn may_have_run(cause: FailureCause) -> SendFailure {
        SendFailure::new(SendOutcome::MayHaveRun, cause)
    }
}
