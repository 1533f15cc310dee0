use {mango_wire::platform::Order, std::time::Instant};

/// An order that an engine received.
#[derive(Clone, Debug)]
pub struct ReceivedOrder {
    pub order: Order,
    pub accepted: bool,
    /// Identity of the engine when it received the order.
    pub identity: String,
    pub at: Instant,
}
