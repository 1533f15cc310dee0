use strum::{Display, EnumString, IntoStaticStr};

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A sequence of events; runs at most once unless its route allows resuming.
    Streaming,
}
