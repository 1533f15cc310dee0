use mango_wire::{Epoch, HostId};

/// Owner of a resource as the log defines it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Owner {
    pub(crate) host_id: HostId,
    /// Identity of the owning process.
    pub(crate) identity: String,
    /// Offset of the record by which it took the resource.
    pub(crate) epoch: Epoch,
}
