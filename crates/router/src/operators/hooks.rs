use {
    crate::{config::ConfigStore, metrics::Metrics, platform::LogClient},
    mango_config::MemberVersion,
    serde_json::Value,
    std::sync::Arc,
};

/// What the operators' server shows and calls.
pub(crate) struct OperatorHooks<L = LogClient> {
    pub(crate) config: Arc<ConfigStore<L>>,
    pub(crate) metrics: Metrics,
    /// State dump for `/state`; must hold no secrets.
    pub(crate) state: Box<dyn Fn() -> Value + Send + Sync>,
    /// Configuration versions of all live members, this host included.
    pub(crate) member_versions: Box<dyn Fn() -> Vec<MemberVersion> + Send + Sync>,
    /// Starts a planned stop; must not wait for its end.
    pub(crate) drain: Box<dyn Fn() + Send + Sync>,
    /// Whether a planned stop has begun.
    pub(crate) is_draining: Box<dyn Fn() -> bool + Send + Sync>,
}
