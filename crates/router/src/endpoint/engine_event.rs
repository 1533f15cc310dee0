use {super::call_failure::CallFailure, bytes::Bytes};

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u32,
    pub(crate) completion_tokens: u32,
    pub(crate) cached_tokens: u32,
}

/// One token of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Token {
    pub(crate) index: u32,
    /// The engine's JSON chunk, forwarded as it is to streaming callers.
    pub(crate) chunk: Bytes,
    pub(crate) content: String,
}

/// Event of an engine's answer.
#[derive(Clone, Debug)]
pub(crate) enum EngineEvent {
    Token(Token),
    Done { usage: Usage, chunk: Option<Bytes> },
    Failed(CallFailure),
}
