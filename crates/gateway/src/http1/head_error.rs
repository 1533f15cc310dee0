use strum::{Display, IntoStaticStr};

/// Why a message head is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum HeadError {
    /// Not HTTP/1.x.
    Malformed,
    /// More headers or bytes than allowed.
    TooLarge,
    /// The end of the body is ambiguous or its coding is unknown.
    Framing,
}
