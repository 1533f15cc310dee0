use std::time::Instant;

/// Whether this host may act on the resources that it owns, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OwnershipMode {
    /// A read of the log's tail was confirmed within the lease.
    Leased,
    /// More than half of the registered hosts answered that they can't read the log either.
    /// `since` is the start of this host's last confirmed read.
    VerifiedOutage { since: Instant },
    /// Neither holds, so this host may not act.
    Lapsed,
}
