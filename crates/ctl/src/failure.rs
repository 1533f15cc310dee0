use std::fmt;

/// Why a command did not succeed; each kind has its exit code.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The router or a check refused.
    Refused(String),
    /// The command line or a file named on it can't be used.
    Usage(String),
    /// The router did not answer, or the effect is not confirmed.
    Unreachable(String),
}

impl Failure {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) => 1,
            Self::Usage(_) => 2,
            Self::Unreachable(_) => 3,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(detail) | Self::Usage(detail) | Self::Unreachable(detail) => {
                f.write_str(detail)
            }
        }
    }
}
