use std::fmt;

/// Reason for the failure of a command. Each variant has an exit code of its own.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The router rejected the request, a local check or search failed, or
    /// configuration files cannot be read.
    Refused(String),
    /// The command line is invalid, or a token or log file cannot be read.
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
