use {
    mango_wire::Epoch,
    std::time::{Duration, Instant},
};

/// Permission to run one load from the weight store until the deadline.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct LoadTicket {
    /// Epoch of the ownership of `weights` under which it was issued.
    pub(crate) epoch: Epoch,
    /// Unique within the epoch.
    pub(crate) number: u64,
    /// Time at which the ticket expires. The order of the load times out by then.
    pub(crate) deadline: Instant,
}

/// Refusal of a ticket, because none is free or the epoch is not current.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TicketRefusal {
    /// Time after which another request can succeed even if no ticket is released.
    pub(crate) retry_after: Duration,
}
