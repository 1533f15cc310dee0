use mango_wire::Epoch;

/// Provides the epochs under which this host may send orders to engines.
pub(crate) trait EngineAuthority: Send + Sync + 'static {
    /// Epoch of this host's ownership of the resource `engine/ENGINE_ID`; `None` if the
    /// host does not own it or the stored deadline of its lease has passed.
    fn acting_epoch(&self, engine_id: &str) -> Option<Epoch>;
}
