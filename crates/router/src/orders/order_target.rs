use crate::config::EndpointInfo;

/// An engine that orders are sent to.
#[derive(Clone, Debug)]
pub(crate) struct OrderTarget {
    /// Id of the engine's endpoint.
    pub(crate) engine_id: String,
    /// Base URL without a trailing slash.
    pub(crate) base_url: String,
    /// Whether the engine refuses orders with an old fencing number.
    pub(crate) checks_fencing: bool,
}

impl OrderTarget {
    pub(crate) fn for_endpoint(endpoint: &EndpointInfo) -> Self {
        Self {
            engine_id: endpoint.id.clone(),
            base_url: format!("http://{}", endpoint.address),
            checks_fencing: endpoint.checks_fencing,
        }
    }
}
