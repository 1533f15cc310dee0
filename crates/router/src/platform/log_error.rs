use std::fmt;

/// Why a call to the platform's log failed.
#[derive(Clone, Debug)]
pub(crate) enum LogError {
    /// The append certainly had no effect, or the call was a read.
    NotApplied(String),
    /// The append may have taken effect.
    Unknown(String),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotApplied(detail) => write!(f, "not applied: {detail}"),
            Self::Unknown(detail) => write!(f, "may have been applied: {detail}"),
        }
    }
}

impl std::error::Error for LogError {}
