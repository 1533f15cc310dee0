use mango_wire::EndpointKey;

/// Configured size of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EngineSpec {
    pub(crate) key: EndpointKey,
    pub(crate) id: String,
    /// Requests it serves at once.
    pub(crate) slots: u32,
    /// Size relative to the other endpoints of its pools.
    pub(crate) weight: f64,
}
