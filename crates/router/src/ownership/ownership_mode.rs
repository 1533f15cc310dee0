use std::time::Instant;

/// On what grounds this host may act on the resources that it owns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OwnershipMode {
    /// It has confirmed the log's tail within the lease.
    Leased,
    /// More than half of the registered hosts confirmed that nobody reads the
    /// log; holds the time of the last confirmed read of this host.
    VerifiedOutage { since: Instant },
    /// Neither; it may not act.
    Lapsed,
}
