use mango_wire::{EndpointKey, PoolKey};

/// Configuration of a pool.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PoolSpec {
    pub(crate) key: PoolKey,
    /// Largest allowed load of an engine, as a multiple of the pool's mean load.
    pub(crate) cap_multiple: f64,
    /// Endpoints of the pool.
    pub(crate) engines: Vec<EndpointKey>,
}
