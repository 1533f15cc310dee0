use {
    super::{call_failure::CallFailure, engine_event_stream::EngineEventStream},
    bytes::Bytes,
    mango_wire::platform::{CacheEvents, CacheListing, LoadReport},
    std::time::Instant,
};

/// One generation request to an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineCall {
    /// Unique for each attempt; the engine's answer must carry it.
    pub(crate) attempt_id: String,
    /// Chat key in 16 hex digits; empty without a chat.
    pub(crate) chat: String,
    /// Lower runs first.
    pub(crate) priority: u16,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    /// Whether the call may be repeated. Calls that may not are sent on a fresh
    /// connection, so that a failed connect proves that nothing ran.
    pub(crate) repeatable: bool,
    /// Index of the first token; above 0 if the body contains a part of the answer.
    pub(crate) first_index: u32,
}

/// A model engine.
pub(crate) trait Engine: Send + Sync + 'static {
    /// Sends a request and returns its answer once the head has arrived.
    fn generate(&self, call: &EngineCall) -> Result<EngineEventStream, CallFailure>;

    /// Continues an answer whose connection broke, from a token index on.
    fn resume(&self, call: &EngineCall, from: u32) -> Result<EngineEventStream, CallFailure>;

    /// Stops a request and frees its slot.
    fn cancel(&self, attempt_id: &str) -> Result<(), CallFailure>;

    /// Changes the priority of a running request.
    fn set_priority(&self, attempt_id: &str, priority: u16) -> Result<(), CallFailure>;

    fn load_report(&self) -> Result<LoadReport, CallFailure>;

    fn cache_events(&self, since: u64) -> Result<CacheEvents, CallFailure>;

    fn cache_listing(&self) -> Result<CacheListing, CallFailure>;
}
