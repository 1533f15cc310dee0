use mango_wire::peer::{AcquireMode, PassReason};

/// What an owner did with a request or permit, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Decision {
    Granted {
        mode: AcquireMode,
        warm: bool,
    },
    Queued,
    Refused(PassReason),
    /// The holder did not confirm the permit's use in time.
    FreedUnused,
    /// The holder's host is down.
    FreedHostDown,
    /// A permit freed as unused turned out to be in use.
    Reinstated,
    /// The holder does not list the permit any more.
    FreedUnlisted,
    Demoted,
}
