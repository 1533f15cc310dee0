use {
    super::{call_failure::CallFailure, engine_event_stream::EngineEventStream},
    bytes::Bytes,
    mango_wire::platform::{CacheEvents, CacheListing, LoadReport},
    std::time::Instant,
};

/// One generation request to an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineCall {
    /// Unique for each attempt; the engine's response must contain it.
    pub(crate) attempt_id: String,
    /// Chat key in 16 hex digits; empty if the request belongs to no chat.
    pub(crate) chat: String,
    /// Requests with a lower value run first.
    pub(crate) priority: u16,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    /// Whether the call may be repeated. A call that may not is sent on a new connection,
    /// so that a failure to connect proves that it did not run.
    pub(crate) repeatable: bool,
    /// Index of the first token to generate; greater than 0 if the body contains the
    /// tokens before it.
    pub(crate) first_index: u32,
}

/// A model engine, which generates answers token by token.
pub(crate) trait Engine: Send + Sync + 'static {
    /// Sends a request and returns its events once the head of the response has arrived.
    fn generate(&self, call: &EngineCall) -> Result<EngineEventStream, CallFailure>;

    /// Requests the rest of an answer whose connection broke, from token `from` on.
    fn resume(&self, call: &EngineCall, from: u32) -> Result<EngineEventStream, CallFailure>;

    /// Stops a request and frees its slot.
    fn cancel(&self, attempt_id: &str) -> Result<(), CallFailure>;

    /// Changes the priority of a running request.
    fn set_priority(&self, attempt_id: &str, priority: u16) -> Result<(), CallFailure>;

    fn load_report(&self) -> Result<LoadReport, CallFailure>;

    /// Returns the changes of the engine's cache from sequence number `since` on.
    fn cache_events(&self, since: u64) -> Result<CacheEvents, CallFailure>;

    /// Returns all chats in the engine's cache.
    fn cache_listing(&self) -> Result<CacheListing, CallFailure>;
}
