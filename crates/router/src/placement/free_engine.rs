use mango_wire::{EndpointKey, Epoch};

/// An engine with free capacity, and the epoch and version of the load report that shows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FreeEngine {
    pub(crate) key: EndpointKey,
    pub(crate) epoch: Epoch,
    pub(crate) version: u32,
    /// Queued requests that one owner may redirect to this engine.
    pub(crate) max_redirects: u32,
}
