use mango_wire::{EndpointKey, peer::AcquireMode};

/// An engine whose owner the entry router asks for a permit, and how it asks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) endpoint: EndpointKey,
    pub(crate) mode: AcquireMode,
}
