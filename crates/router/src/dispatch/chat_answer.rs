use {super::chat_stream::ChatStream, bytes::Bytes};

/// Answer to a chat completion.
pub(crate) enum ChatAnswer {
    Whole {
        body: Bytes,
        endpoint_id: String,
    },
    Stream {
        stream: Box<ChatStream>,
        endpoint_id: String,
    },
    /// Stored answer of an earlier request with the same idempotency key.
    Stored {
        status: u16,
        content_type: String,
        body: Bytes,
    },
}
