use {
    crate::{
        endpoint::AbortedResponse,
        engine::{JobEnd, JobLink},
    },
    bytes::Bytes,
    mango_http::ChunkSource,
    std::{fmt::Write, io, time::Duration},
};

// An empty chunk makes the server look whether the caller is still there.
// Thousands of waiting streams must not use much of a core for it.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Server-sent events of one request from a token index on.
pub(crate) struct TokenStream {
    link: JobLink,
    id_json: String,
    next: u32,
    opened: bool,
    done: bool,
}

impl TokenStream {
    pub(crate) fn new(link: JobLink, from: u32) -> Self {
        let id_json = serde_json::Value::from(link.job().id.as_str()).to_string();
        Self { link, id_json, next: from, opened: false, done: false }
    }

    fn push_event(&self, index: u32, end: Option<&str>, text: &mut String) {
        let id = &self.id_json;
        let _ = write!(
            text,
            r#"data: {{"id":{id},"object":"chat.completion.chunk","index":{index},"choices":[{{"index":0,"delta":{{"content":""#
        );
        self.link.job().text.push_token(index, text);
        let _ = match end {
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
        if !std::mem::replace(&mut self.opened, true) {
            // sends the headers before the first token
            return Some(Ok(Bytes::new()));
        }
        let job = self.link.job();
        let progress = job.wait_token(self.next, CHECK_INTERVAL);
        if self.link.is_broken() || progress.end == Some(JobEnd::Cancelled) {
            return Some(Err(AbortedResponse::error()));
        }
        let mut text = String::new();
        // the last token waits for the end, which carries the usage
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

/// Source of an engine's streamed answers.
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
