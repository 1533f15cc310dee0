use bytes::Bytes;

/// A chat completion request to run.
pub(crate) struct ChatCall {
    pub(crate) body: Bytes,
    pub(crate) stream: bool,
    /// Whether the request contains earlier messages of the chat.
    pub(crate) has_history: bool,
    pub(crate) prompt_tokens: u32,
}
