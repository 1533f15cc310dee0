use {
    crate::config::{Config, PoolInfo, TeamInfo, WorkInfo},
    mango_wire::ChatKey,
    std::{sync::Arc, time::Instant},
};

/// Data of a request that are known before it is placed.
#[derive(Clone)]
pub(crate) struct RequestContext {
    pub(crate) request_id: String,
    pub(crate) config: Arc<Config>,
    pub(crate) team: Arc<TeamInfo>,
    pub(crate) work: Arc<WorkInfo>,
    /// Pools of the routes that admit the request, in the order in which they are tried.
    pub(crate) pools: Vec<Arc<PoolInfo>>,
    /// Key of the chat; 0 if the request belongs to no chat.
    pub(crate) chat: ChatKey,
    pub(crate) idempotency_key: Option<String>,
    /// Digest that detects an idempotency key that is used again with another request.
    pub(crate) body_digest: u64,
    pub(crate) deadline: Instant,
}
