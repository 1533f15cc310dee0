use {
    crate::{
        endpoint::AbortedResponse,
        engine::{JobConnection, JobEnd},
    },
    bytes::Bytes,
    mango_http::ChunkSource,
    std::{fmt::Write, io, time::Duration},
};

// Interval of the empty chunks; after each, the server checks whether the caller is still
// connected. Long, so that thousands of waiting streams use little processor time.
const EMPTY_CHUNK_INTERVAL: Duration = Duration::from_millis(250);

/// Response body with one server-sent event for each token of a job, from an index on.
pub(crate) struct TokenStream {
    connection: JobConnection,
    id_json: String,
    // index of the next token to send
    next: u32,
    headers_sent: bool,
    done: bool,
}

impl TokenStream {
    pub(crate) fn new(connection: JobConnection, from: u32) -> Self {
        let id_json = serde_json::Value::from(connection.job().id.as_str()).to_string();
        Self { connection, id_json, next: from, headers_sent: false, done: false }
    }

    /// Appends the event of a token; `usage` is given for the last token.
    fn push_event(&self, index: u32, usage: Option<&str>, text: &mut String) {
        let id = &self.id_json;
        let _ = write!(
            text,
            r#"data: {{"id":{id},"object":"chat.completion.chunk","index":{index},"choices":[{{"index":0,"delta":{{"content":""#
        );
        self.connection.job().text.push_token(index, text);
        let _ = match usage {
            None => write!(text, r#""}},"finish_reason":null}}]}}"#),
            Some(usage) => {
                write!(text, r#""}},"finish_reason":"stop"}}],"usage":{usage}}}"#)
            }
        };
        text.push_str("\n\n");
    }
}

impl ChunkSource for TokenStream {
    fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        if self.done {
            return None;
        }
        if !std::mem::replace(&mut self.headers_sent, true) {
            // makes hyper send the headers before the first token
            return Some(Ok(Bytes::new()));
        }
        let job = self.connection.job();
        let progress = job.wait_token(self.next, EMPTY_CHUNK_INTERVAL);
        if self.connection.is_broken() || progress.end == Some(JobEnd::Cancelled) {
            return Some(Err(AbortedResponse::error()));
        }
        let mut text = String::new();
        // the last token is sent after the end of the job, together with the usage
        let is_finished = progress.end.is_some();
        let ready = progress.generated.min(job.length - u32::from(!is_finished));
        for index in self.next..ready {
            let is_last = index + 1 == job.length;
            let usage = is_last.then(|| job.usage_json(&progress));
            self.push_event(index, usage.as_deref(), &mut text);
        }
        if is_finished {
            text.push_str("data: [DONE]\n\n");
            self.done = true;
        }
        self.next = self.next.max(ready);
        Some(Ok(text.into()))
    }
}

/// Source of the streamed responses of an engine.
pub(crate) enum ResponseSource {
    Tokens(TokenStream),
    Aborted(AbortedResponse),
}

impl From<AbortedResponse> for ResponseSource {
    fn from(aborted: AbortedResponse) -> Self {
        Self::Aborted(aborted)
    }
}

impl ChunkSource for ResponseSource {
    fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        match self {
            Self::Tokens(tokens) => tokens.next_chunk(),
            Self::Aborted(aborted) => aborted.next_chunk(),
        }
    }
}
