use {
    crate::config::{Config, PoolInfo, TeamInfo, WorkInfo},
    mango_wire::ChatKey,
    std::{sync::Arc, time::Instant},
};

/// What is known of a request before it is placed.
#[derive(Clone)]
pub(crate) struct RequestContext {
    pub(crate) request_id: String,
    pub(crate) config: Arc<Config>,
    pub(crate) team: Arc<TeamInfo>,
    pub(crate) work: Arc<WorkInfo>,
    pub(crate) pools: Vec<Arc<PoolInfo>>,
    pub(crate) chat: ChatKey,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) body_digest: u64,
    pub(crate) deadline: Instant,
}
