use mango_wire::{EndpointKey, peer::AcquireMode};

/// An engine whose owner the entry router asks for a permit, and how it asks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) endpoint: EndpointKey,
    /// Whether the owner is to grant only if the engine should have the chat cached, only if it
    /// can grant at once, or after waiting too.
    pub(crate) mode: AcquireMode,
}
