use strum::{Display, EnumString, IntoStaticStr};

/// Whether the requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// The response is a stream of events; runs at most once unless the route allows streams to
    /// be resumed.
    Streaming,
}
