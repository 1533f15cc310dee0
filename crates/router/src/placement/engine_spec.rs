use mango_wire::EndpointKey;

/// Configured capacity of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EngineSpec {
    pub(crate) key: EndpointKey,
    pub(crate) id: String,
    /// Requests that the endpoint serves at the same time.
    pub(crate) slots: u32,
    /// Capacity relative to the other endpoints of its pools.
    pub(crate) weight: f64,
}
