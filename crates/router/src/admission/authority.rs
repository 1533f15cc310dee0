use {
    mango_wire::{EndpointKey, Epoch},
    std::time::Instant,
};

/// Decides for which engines this host may grant permits.
pub(crate) trait Authority: Send + Sync + 'static {
    /// Epoch under which this host may grant permits for the engine now; `None` if
    /// it may not. Called for each grant, so it must be fast.
    fn acting_epoch(&self, endpoint: EndpointKey) -> Option<Epoch>;

    /// Current time, which deadlines are compared with.
    fn now(&self) -> Instant {
        Instant::now()
    }
}
