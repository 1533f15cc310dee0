use {mango_config::Rejection, std::fmt};

/// Reason why a published change is not confirmed to be in force.
#[derive(Clone, Debug)]
pub(crate) enum PublishError {
    /// This router has not read the log far enough to check the change; nothing
    /// was appended.
    NotReady(String),
    /// The serialised change exceeds the size limit of a log record.
    TooLarge { bytes: usize, limit: usize },
    /// The change is invalid or conflicts with a preceding change.
    Rejected(Box<Rejection>),
    /// The change could not be serialised, or the log did not append it.
    NotApplied(String),
    /// The outcome is unknown: the change may still take effect.
    Unknown(String),
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotReady(detail) => write!(f, "not ready: {detail}"),
            Self::TooLarge { bytes, limit } => {
                write!(f, "change of {bytes} bytes, limit {limit}; split it into several")
            }
            Self::Rejected(rejection) => write!(f, "rejected: {rejection}"),
            Self::NotApplied(detail) => write!(f, "not applied: {detail}"),
            Self::Unknown(detail) => write!(f, "may still take effect: {detail}"),
        }
    }
}

impl std::error::Error for PublishError {}
