use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Reason why a request was refused or aborted. Its snake_case name is the `reason`
/// of a problem document.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Hash, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    BadHeader,
    BadBody,
    BodyTooLarge,
    HeadersTooLarge,
    UnknownPath,
    MethodNotAllowed,
    UnknownTeam,
    UnknownWork,
    NoRoute,
    NotReady,
    Draining,
    TooManyConnections,
    TooManyRequests,
    TeamLimit,
    SlowCaller,
    CallerLeft,
    QueueFull,
    Deadline,
    NoCapacity,
    OwnerUnavailable,
    EndpointUnreachable,
    EndpointRefused,
    EndpointBroken,
    EndpointStalled,
    /// The endpoint's response carries the id of another request.
    CrossedAnswer,
    KeyReused,
    KeyExpired,
    InProgress,
    OutcomeUnknown,
    /// The request ran before, but its answer was too large to keep for repeats.
    OutcomeNotKept,
    LogUnavailable,
    /// A part of the prompt crashes the endpoints that begin a response to it.
    PartBlocked,
    /// The software version at which a stream began is not known, and several are possible.
    StreamOriginUnknown,
}
