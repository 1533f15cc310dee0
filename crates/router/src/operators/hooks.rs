use {
    crate::{config::ConfigStore, metrics::Metrics, platform::LogClient},
    mango_config::{Explanation, MemberVersion, PlacementStep},
    serde_json::Value,
    std::sync::Arc,
};

/// Returns the endpoints, in the order in which they would be tried, for the work of an
/// explanation and an optional chat id.
pub(crate) type PlacementHook =
    Box<dyn Fn(&Explanation, Option<&str>) -> Vec<PlacementStep> + Send + Sync>;

/// State that the operators' server reads and functions that it calls.
pub(crate) struct OperatorHooks<L = LogClient> {
    pub(crate) config: Arc<ConfigStore<L>>,
    pub(crate) metrics: Metrics,
    /// State dump for `/state`; must contain no secrets.
    pub(crate) state: Box<dyn Fn() -> Value + Send + Sync>,
    /// Configuration versions of all live members, this host included.
    pub(crate) member_versions: Box<dyn Fn() -> Vec<MemberVersion> + Send + Sync>,
    /// Endpoints that would be tried now for the work of an explanation.
    pub(crate) placement: PlacementHook,
    /// Starts a planned stop; must not wait for its end.
    pub(crate) drain: Box<dyn Fn() + Send + Sync>,
    /// Whether a planned stop has begun.
    pub(crate) is_draining: Box<dyn Fn() -> bool + Send + Sync>,
}
