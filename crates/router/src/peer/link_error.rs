use {
    mango_wire::CodecError,
    std::{fmt, io},
    strum::{EnumIter, IntoStaticStr},
};

/// Why a link closed.
#[derive(Debug)]
pub(crate) enum LinkError {
    /// The connection failed or was not HTTP/2.
    Transport(String),
    /// The peer closed the link between two messages.
    Closed,
    /// The link ended within a message.
    Truncated,
    /// The bytes are not a valid message, or the message is too large.
    Decode(CodecError),
    /// The handshake was not completed in time.
    HandshakeTimeout,
    /// The peer speaks another version of the protocol; holds its version.
    Version(u32),
    /// The peer did not prove the shared secret.
    BadProof,
    /// The peer may not connect; holds the reason.
    Refused(&'static str),
    /// The peer sent a message that is not allowed at this point.
    Unexpected(&'static str),
    /// The peer accepted no data for too long.
    Stalled,
}

/// Label of a `LinkError` in metrics.
#[derive(Clone, Copy, Debug, EnumIter, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum LinkErrorKind {
    Transport,
    Closed,
    Truncated,
    TooLarge,
    Malformed,
    HandshakeTimeout,
    Version,
    BadProof,
    Refused,
    Unexpected,
    Stalled,
}

impl LinkError {
    pub(crate) fn kind(&self) -> LinkErrorKind {
        match self {
            Self::Transport(_) => LinkErrorKind::Transport,
            Self::Closed => LinkErrorKind::Closed,
            Self::Truncated => LinkErrorKind::Truncated,
            Self::Decode(CodecError::TooLarge { .. }) => LinkErrorKind::TooLarge,
            Self::Decode(_) => LinkErrorKind::Malformed,
            Self::HandshakeTimeout => LinkErrorKind::HandshakeTimeout,
            Self::Version(_) => LinkErrorKind::Version,
            Self::BadProof => LinkErrorKind::BadProof,
            Self::Refused(_) => LinkErrorKind::Refused,
            Self::Unexpected(_) => LinkErrorKind::Unexpected,
            Self::Stalled => LinkErrorKind::Stalled,
        }
    }
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Transport(detail) => write!(f, "transport: {detail}"),
            Self::Closed => f.write_str("closed by the peer"),
            Self::Truncated => f.write_str("the stream ended within a message"),
            Self::Decode(error) => error.fmt(f),
            Self::HandshakeTimeout => f.write_str("handshake timed out"),
            Self::Version(version) => write!(f, "unsupported protocol version {version}"),
            Self::BadProof => f.write_str("wrong proof of the shared secret"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::Unexpected(what) => write!(f, "unexpected message: {what}"),
            Self::Stalled => f.write_str("the peer accepts no data"),
        }
    }
}

impl From<h2::Error> for LinkError {
    fn from(error: h2::Error) -> Self {
        Self::Transport(error.to_string())
    }
}

impl From<io::Error> for LinkError {
    fn from(error: io::Error) -> Self {
        Self::Transport(error.to_string())
    }
}

impl From<CodecError> for LinkError {
    fn from(error: CodecError) -> Self {
        Self::Decode(error)
    }
}
