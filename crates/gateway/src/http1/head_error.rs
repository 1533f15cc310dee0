use strum::{Display, IntoStaticStr};

/// Why the head of an HTTP message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum HeadError {
    /// The bytes are not a valid HTTP/1.x message head.
    Malformed,
    /// The head has more headers or bytes than allowed.
    TooLarge,
    /// The body length is ambiguous or the transfer encoding is not supported.
    Framing,
}
