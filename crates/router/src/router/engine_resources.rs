use {
    crate::{config::Config, ownership::ResourceId},
    arc_swap::ArcSwap,
    mango_wire::EndpointKey,
    std::collections::HashMap,
};

/// Ids of the resources that represent the configured endpoints in the ownership. Reads take no lock, because they are on the
/// request path.
#[derive(Default)]
pub(crate) struct EngineResources {
    by_key: ArcSwap<HashMap<EndpointKey, ResourceId>>,
}

impl EngineResources {
    /// Replaces the endpoints by those of a new configuration.
    pub(crate) fn set(&self, config: &Config) {
        let by_key = config.endpoints().map(|e| (e.key, ResourceId::engine(&e.id))).collect();
        self.by_key.store(std::sync::Arc::new(by_key));
    }

    /// Calls `use_resource` with the endpoint's resource, if it is configured.
    pub(crate) fn with<T>(
        &self,
        endpoint: EndpointKey,
        use_resource: impl FnOnce(&ResourceId) -> Option<T>,
    ) -> Option<T> {
        self.by_key.load().get(&endpoint).and_then(use_resource)
    }
}
