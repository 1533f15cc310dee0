use bytes::Bytes;

/// A chat completion to run.
pub(crate) struct ChatCall {
    pub(crate) body: Bytes,
    pub(crate) stream: bool,
    pub(crate) has_history: bool,
    pub(crate) prompt_tokens: u32,
}
