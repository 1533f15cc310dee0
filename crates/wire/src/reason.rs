use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Why a request was refused or broke off, as told in problem documents.
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
    CrossedAnswer,
    KeyReused,
    KeyExpired,
    InProgress,
    OutcomeUnknown,
    OutcomeNotKept,
    LogUnavailable,
}
