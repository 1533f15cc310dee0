use strum::{Display, IntoStaticStr};

/// Why a call to a peer returned no reply.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum CallError {
    /// There is no link and none could be opened; the message was not sent.
    Unreachable,
    /// The link's send queue is full; the message was not sent.
    QueueFull,
    /// The message exceeds the largest allowed size; it was not sent.
    TooLarge,
    /// The link closed; the peer may have handled the message.
    LinkLost,
    /// The deadline passed; the peer may have handled the message.
    Timeout,
}

impl CallError {
    /// Whether the peer may have handled the message.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(self, Self::LinkLost | Self::Timeout)
    }
}
