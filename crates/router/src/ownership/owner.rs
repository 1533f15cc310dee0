use mango_wire::{Epoch, HostId};

/// Owner of a resource, as defined by the records of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Owner {
    pub(crate) host_id: HostId,
    /// Identity of the owning process. Each start of a router has a new one.
    pub(crate) identity: String,
    /// Offset of the Take by which it became the owner.
    pub(crate) epoch: Epoch,
}
