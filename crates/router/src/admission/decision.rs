use mango_wire::peer::{AcquireMode, PassReason};

/// Decision of an owner on a request or permit, with its reason. The names appear
/// in the state dump.
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
    /// A freed permit turned out to be in use.
    Reinstated,
    /// The permit is missing in its holder's list of permits in use.
    FreedUnlisted,
    /// A running request turned out to be long and got a lower priority.
    Demoted,
}
