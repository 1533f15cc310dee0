use mango_wire::{EndpointKey, PoolKey};

/// A pool and its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PoolSpec {
    pub(crate) key: PoolKey,
    /// Largest load of an engine as a multiple of the pool's mean.
    pub(crate) cap_multiple: f64,
    pub(crate) engines: Vec<EndpointKey>,
}
