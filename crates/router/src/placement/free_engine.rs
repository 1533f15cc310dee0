use mango_wire::{EndpointKey, Epoch};

/// An engine with room by gossip, and the report that says so.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FreeEngine {
    pub(crate) key: EndpointKey,
    pub(crate) epoch: Epoch,
    pub(crate) version: u32,
    /// Requests that one owner may send there.
    pub(crate) room: u32,
}
