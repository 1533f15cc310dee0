use mango_wire::Epoch;

/// What the ownership of resources tells the sender of orders.
pub(crate) trait EngineAuthority: Send + Sync + 'static {
    /// Epoch of this host's ownership of `engine/<engine>`, while its stored lease
    /// deadline has not passed.
    fn acting_epoch(&self, engine: &str) -> Option<Epoch>;
}
