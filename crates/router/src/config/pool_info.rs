use {
    super::{endpoint_info::EndpointInfo, key_map::Keyed},
    mango_config::{Selector, SelectorError},
    mango_wire::{PoolKey, config::Pool, pool_key},
    std::sync::Arc,
};

/// Compiled pool with the endpoints that match its selector.
#[derive(Clone, Debug)]
pub(crate) struct PoolInfo {
    pub(crate) key: PoolKey,
    pub(crate) id: String,
    /// Limit on an engine's load, as a multiple of its share of the pool's requests.
    pub(crate) cap_multiple: f64,
    /// Endpoints ordered by id.
    pub(crate) endpoints: Arc<[Arc<EndpointInfo>]>,
    pub(crate) selector: Selector,
    pub(crate) version: u64,
    selector_text: String,
}

impl PoolInfo {
    /// Compiles a pool without endpoints.
    pub(crate) fn new(pool: Pool, version: u64) -> Result<Self, SelectorError> {
        Ok(Self {
            key: pool_key(&pool.id),
            id: pool.id,
            cap_multiple: pool.cap_multiple,
            endpoints: Arc::new([]),
            selector: pool.selector.parse()?,
            version,
            selector_text: pool.selector,
        })
    }

    /// Whether the selector matches an endpoint.
    pub(crate) fn selects(&self, endpoint: &EndpointInfo) -> bool {
        self.selector.matches(|key| endpoint.label(key))
    }

    /// Whether the endpoint is in `endpoints`, as of the last `with_endpoints`.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.endpoints.binary_search_by(|endpoint| endpoint.id.as_str().cmp(id)).is_ok()
    }

    /// Copy of the pool with its endpoints selected again from `all`.
    pub(crate) fn with_endpoints<'a>(
        &self,
        all: impl Iterator<Item = &'a Arc<EndpointInfo>>,
    ) -> Self {
        let mut matching: Vec<_> = all.filter(|endpoint| self.selects(endpoint)).cloned().collect();
        matching.sort_by(|a, b| a.id.cmp(&b.id));
        Self { endpoints: matching.into(), ..self.clone() }
    }

    /// Converts back to the configuration object.
    pub(crate) fn to_pool(&self) -> Pool {
        Pool {
            cap_multiple: self.cap_multiple,
            id: self.id.clone(),
            selector: self.selector_text.clone(),
        }
    }
}

impl Keyed for PoolInfo {
    fn key(&self) -> u32 {
        self.key
    }

    fn id(&self) -> &str {
        &self.id
    }

    fn version(&self) -> u64 {
        self.version
    }
}
