use {
    mango_wire::Epoch,
    std::time::{Duration, Instant},
};

/// Leave to run one load from the weight store until the deadline.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct LoadTicket {
    /// Epoch of the ownership of `weights` that gave it.
    pub(crate) epoch: Epoch,
    /// Unique within the epoch.
    pub(crate) number: u64,
    /// The load's order must be answered or given up by then.
    pub(crate) deadline: Instant,
}

/// No ticket is free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LoadRefusal {
    /// Earliest time at which asking again can succeed without a release.
    pub(crate) retry_after: Duration,
}
