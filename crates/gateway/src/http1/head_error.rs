use strum::{Display, IntoStaticStr};

/// Why the head of an HTTP message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum HeadError {
    /// The bytes are not a valid HTTP/1.x message head.
    Malformed,
    /// The head has more bytes than allowed.
    TooLarge,
    /// The head has more headers than the parser has room for.
    TooManyHeaders,
    /// The body length is ambiguous or the transfer encoding is not supported.
    Framing,
}

impl From<httparse::Error> for HeadError {
    fn from(error: httparse::Error) -> HeadError {
        match error {
            httparse::Error::TooManyHeaders => HeadError::TooManyHeaders,
            _ => HeadError::Malformed,
        }
    }
}
