use {super::call_failure::CallFailure, bytes::Bytes};

/// Token counts of a generation request.
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
    /// The engine's JSON chunk, which is forwarded unchanged to streaming callers.
    pub(crate) chunk: Bytes,
    pub(crate) content: String,
}

/// Event in the stream of an engine.
#[derive(Clone, Debug)]
pub(crate) enum EngineEvent {
    Token(Token),
    /// End of the answer, with the final chunk unless it was forwarded with a token.
    Done {
        usage: Usage,
        chunk: Option<Bytes>,
    },
    Failed(CallFailure),
}
