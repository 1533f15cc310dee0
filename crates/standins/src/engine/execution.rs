use std::time::Instant;

/// One execution of a request on an engine, from the time at which it gets a slot. A
/// request that is cancelled while it waits for a slot has no execution.
#[derive(Clone, Debug)]
pub struct Execution {
    pub request_id: String,
    pub chat: Option<String>,
    /// Identity of the engine when it executed the request.
    pub identity: String,
    /// When the engine admitted the request.
    pub admitted: Instant,
    /// When it got a slot.
    pub started: Instant,
    /// When it left the slot; `None` while it runs.
    pub ended: Option<Instant>,
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Number of tokens generated; 0 while it runs.
    pub tokens: u32,
    /// Whether it ended early, by a cancel request, a lost connection or a crash.
    pub cancelled: bool,
}
