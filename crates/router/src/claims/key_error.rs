use std::fmt;

/// Why a text is not a usable idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum KeyError {
    /// Not a UUID in its lower-case hyphenated form.
    NotCanonical,
    /// A UUID of another version than 7; holds the version.
    WrongVersion(usize),
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotCanonical => f.write_str("not a UUID in lower-case hyphenated form"),
            Self::WrongVersion(version) => write!(f, "UUID version {version}, expected 7"),
        }
    }
}

impl std::error::Error for KeyError {}
