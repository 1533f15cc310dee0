use {super::chat_stream::ChatStream, bytes::Bytes};

/// Answer to a chat completion.
pub(crate) enum ChatAnswer {
    /// The caller gets the answer as one body.
    Whole { body: Bytes, endpoint_id: String },
    /// The caller gets the answer token by token.
    Stream { stream: Box<ChatStream>, endpoint_id: String },
    /// Stored answer of an earlier request with the same idempotency key.
    Stored { status: u16, content_type: String, body: Bytes },
}
