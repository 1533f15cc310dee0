use {
    mango_wire::{EndpointKey, Epoch},
    std::time::Instant,
};

/// Says for which engines this host may grant permits.
pub(crate) trait Authority: Send + Sync + 'static {
    /// Epoch under which this host may act on the engine now. Asked at each grant,
    /// so it must be fast.
    fn acting_epoch(&self, endpoint: EndpointKey) -> Option<Epoch>;

    /// Time by which deadlines are judged.
    fn now(&self) -> Instant {
        Instant::now()
    }
}
