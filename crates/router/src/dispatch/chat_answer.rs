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
    /// The request ran before; its answer.
    Stored {
        status: u16,
        content_type: String,
        body: Bytes,
    },
}
