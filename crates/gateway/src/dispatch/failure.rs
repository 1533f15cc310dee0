use {
    crate::{http1::ResponseHead, retry::SendOutcome},
    strum::{Display, IntoStaticStr},
};

/// Why a send did not end in an answer that was passed on.
#[derive(Debug)]
pub(super) struct SendFailure {
    pub(super) outcome: SendOutcome,
    pub(super) cause: FailureCause,
    /// The endpoint's own failure, which may be passed on if nothing better follows.
    pub(super) answer: Option<(ResponseHead, Vec<u8>)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum FailureCause {
    ConnectFailed,
    ConnectionBroken,
    /// The connection broke as soon as it was used after an idle time.
    IdleConnectionBroken,
    /// The endpoint's bytes are no answer, or the answer of another request.
    BadAnswer,
    /// The body ended early or does not belong to the answer.
    Truncated,
    Refused,
    Misdirected,
    FailedStatus,
}

impl SendFailure {
    pub(super) fn new(outcome: SendOutcome, cause: FailureCause) -> SendFailure {
        SendFailure { outcome, cause, answer: None }
    }

    pub(super) fn may_have_run(cause: FailureCause) -> SendFailure {
        SendFailure::new(SendOutcome::MayHaveRun, cause)
    }
}
