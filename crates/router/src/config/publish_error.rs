use {mango_config::Rejection, std::fmt};

/// Why a change is not known to be in force.
#[derive(Clone, Debug)]
pub(crate) enum PublishError {
    /// This router can't decide it now; nothing was appended.
    NotReady(String),
    /// The change does not fit into a log record.
    TooLarge { bytes: usize, limit: usize },
    /// The change was rejected, and by what.
    Rejected(Box<Rejection>),
    /// The log did not take the change.
    NotApplied(String),
    /// The change may still take effect.
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
