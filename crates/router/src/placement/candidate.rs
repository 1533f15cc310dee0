use mango_wire::{EndpointKey, peer::AcquireMode};

/// One step of an entry router's search for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) endpoint: EndpointKey,
    pub(crate) mode: AcquireMode,
}
