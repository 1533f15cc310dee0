use {
    crate::dispatch::{ChatItem, ChatStream},
    bytes::{BufMut, Bytes, BytesMut},
    mango_http::ChunkSource,
    std::io,
};

/// Encodes one chat answer as server-sent events.
pub(crate) struct SseSource {
    request_id: String,
    state: State,
}

enum State {
    Streaming(Box<ChatStream>),
    /// Events of a stored answer, which is sent again.
    Stored(Bytes),
    Ended,
}

const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

impl SseSource {
    /// Events of an answer while it is generated.
    pub(crate) fn streaming(request_id: &str, stream: Box<ChatStream>) -> Self {
        Self { request_id: request_id.to_owned(), state: State::Streaming(stream) }
    }

    /// Events of a stored answer, which is sent as a single chunk.
    pub(crate) fn stored(request_id: &str, chunk: &[u8]) -> Self {
        let mut events = BytesMut::from(&encode_event(chunk)[..]);
        events.put_slice(DONE_EVENT);
        Self { request_id: request_id.to_owned(), state: State::Stored(events.freeze()) }
    }
}

impl ChunkSource for SseSource {
    fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        match &mut self.state {
            State::Ended => None,
            State::Stored(events) => {
                let events = events.clone();
                self.state = State::Ended;
                Some(Ok(events))
            }
            State::Streaming(stream) => match stream.next_item() {
                ChatItem::Token(token) => Some(Ok(encode_event(&token.chunk))),
                ChatItem::Done { chunk, .. } => {
                    self.state = State::Ended;
                    let mut events = BytesMut::new();
                    if let Some(chunk) = chunk {
                        events.put_slice(&encode_event(&chunk));
                    }
                    events.put_slice(DONE_EVENT);
                    Some(Ok(events.freeze()))
                }
                ChatItem::Failed(refusal) => {
                    self.state = State::Ended;
                    let problem = refusal.to_problem(&self.request_id);
                    let json = serde_json::to_string(&problem).unwrap_or_default();
                    Some(Ok(format!("event: error\ndata: {json}\n\n").into()))
                }
            },
        }
    }
}

fn encode_event(data: &[u8]) -> Bytes {
    let mut event = BytesMut::with_capacity(data.len() + 8);
    event.put_slice(b"data: ");
    event.put_slice(data);
    event.put_slice(b"\n\n");
    event.freeze()
}
