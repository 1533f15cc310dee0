use {
    super::{
        call_failure::CallFailure,
        engine::{Engine, EngineCall},
        engine_event::{EngineEvent, Token, Usage},
        http_client::{HttpClient, time_left},
    },
    bytes::Bytes,
    mango_wire::{
        Reason,
        platform::{CacheEvents, CacheListing, LoadReport},
        problem::Verdict,
        settings::DispatchSettings,
    },
    serde::Deserialize,
    std::{
        io::{BufRead, BufReader, Read},
        net::SocketAddr,
    },
    ureq::{Body, http::Response},
};

/// Longest line of an engine's event stream, in bytes.
const MAX_LINE_BYTES: u64 = 256 * 1024;

/// Model engine with an OpenAI-style HTTP interface.
pub(crate) struct HttpEngine {
    client: HttpClient,
}

#[derive(Deserialize)]
struct Chunk {
    id: String,
    index: Option<u32>,
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<ChunkUsage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct ChunkUsage {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    #[serde(default)]
    cached_tokens: u32,
}

impl HttpEngine {
    /// Opens a client; connections are made on the first call.
    pub(crate) fn open(address: SocketAddr, settings: &DispatchSettings) -> Self {
        Self { client: HttpClient::open(address, settings) }
    }

    pub(crate) fn client(&self) -> &HttpClient {
        &self.client
    }

    fn send(&self, call: &EngineCall) -> Result<Response<Body>, CallFailure> {
        let left = time_left(call.deadline)?;
        self.client
            .agent(call.repeatable)
            .post(self.client.url("/v1/chat/completions"))
            .config()
            .timeout_global(Some(left))
            .build()
            .content_type("application/json")
            .header("X-Request-Id", &call.attempt_id)
            .header("X-Chat", &call.chat)
            .header("X-Priority", call.priority.to_string())
            .send(&call.body[..])
            .map_err(|e| CallFailure::of_send(&e))
    }

    fn send_resume(&self, call: &EngineCall, from: u32) -> Result<Response<Body>, CallFailure> {
        let left = time_left(call.deadline)?;
        let path = format!("/v1/requests/{}/stream?from={from}", call.attempt_id);
        self.client
            .agent(true)
            .get(self.client.url(&path))
            .config()
            .timeout_global(Some(left))
            .build()
            .call()
            .map_err(|e| CallFailure::of_send(&e))
    }
}

impl Engine for HttpEngine {
    fn generate(&self, call: &EngineCall, sink: &mut impl FnMut(EngineEvent) -> bool) {
        match self.send(call).and_then(|response| check_head(response, call)) {
            Ok(response) => read_stream(response, call, call.first_index, sink),
            Err(failure) => {
                sink(EngineEvent::Failed(failure));
            }
        }
    }

    fn resume(&self, call: &EngineCall, from: u32, sink: &mut impl FnMut(EngineEvent) -> bool) {
        match self.send_resume(call, from).and_then(|response| check_head(response, call)) {
            Ok(response) => read_stream(response, call, from, sink),
            Err(failure) => {
                // the request itself was sent earlier, whatever became of the resume
                let failure = CallFailure { verdict: Verdict::MayHaveRun, ..failure };
                sink(EngineEvent::Failed(failure));
            }
        }
    }

    fn cancel(&self, attempt_id: &str) -> Result<(), CallFailure> {
        self.client.post(&format!("/v1/requests/{attempt_id}/cancel"), "{}")
    }

    fn set_priority(&self, attempt_id: &str, priority: u16) -> Result<(), CallFailure> {
        let body = format!("{{\"priority\":{priority}}}");
        self.client.post(&format!("/v1/requests/{attempt_id}/priority"), &body)
    }

    fn load_report(&self) -> Result<LoadReport, CallFailure> {
        self.client.get_json("/v1/load")
    }

    fn cache_events(&self, since: u64) -> Result<CacheEvents, CallFailure> {
        self.client.get_json(&format!("/v1/cache/events?since={since}"))
    }

    fn cache_listing(&self) -> Result<CacheListing, CallFailure> {
        self.client.get_json("/v1/cache")
    }
}

fn check_head(response: Response<Body>, call: &EngineCall) -> Result<Response<Body>, CallFailure> {
    if !response.status().is_success() {
        let unread = response.headers().get("X-Refused").is_some_and(|v| v == "unread");
        return Err(CallFailure::of_status(response.status().as_u16(), unread));
    }
    let id = response.headers().get("X-Request-Id").and_then(|v| v.to_str().ok());
    if id != Some(call.attempt_id.as_str()) {
        return Err(crossed(id.unwrap_or("none"), call));
    }
    Ok(response)
}

fn read_stream(
    response: Response<Body>,
    call: &EngineCall,
    from: u32,
    sink: &mut impl FnMut(EngineEvent) -> bool,
) {
    let mut reader = BufReader::new(response.into_body().into_reader());
    let mut next_index = from;
    let mut line = Vec::new();
    loop {
        let events = match next_events(&mut reader, &mut line, call, &mut next_index) {
            Ok(events) => events,
            Err(failure) => {
                sink(EngineEvent::Failed(failure));
                return;
            }
        };
        for event in events.into_iter().flatten() {
            let done = matches!(event, EngineEvent::Done { .. });
            if done {
                // reads the rest, so that the connection can be used again
                let rest = &mut reader.by_ref().take(MAX_LINE_BYTES);
                let _ = std::io::copy(rest, &mut std::io::sink());
            }
            if !sink(event) || done {
                return;
            }
        }
    }
}

/// Events of one line: none, a token, the end, or a token and the end.
type LineEvents = [Option<EngineEvent>; 2];

fn next_events(
    reader: &mut impl BufRead,
    line: &mut Vec<u8>,
    call: &EngineCall,
    next_index: &mut u32,
) -> Result<LineEvents, CallFailure> {
    line.clear();
    let bytes = reader
        .by_ref()
        .take(MAX_LINE_BYTES)
        .read_until(b'\n', line)
        .map_err(|e| CallFailure::of_read(&e))?;
    if bytes == 0 || line.last() != Some(&b'\n') {
        return Err(broken("event stream ended early"));
    }
    let Some(data) = line.strip_prefix(b"data: ") else { return Ok([None, None]) };
    let data = data.trim_ascii_end();
    if data == b"[DONE]" {
        return Err(broken("event stream ended without a final chunk"));
    }
    let chunk: Chunk = serde_json::from_slice(data).map_err(|e| broken(&e.to_string()))?;
    if chunk.id != call.attempt_id {
        return Err(crossed(&chunk.id, call));
    }
    to_events(chunk, data, next_index)
}

fn to_events(chunk: Chunk, data: &[u8], next_index: &mut u32) -> Result<LineEvents, CallFailure> {
    let choice = chunk.choices.into_iter().next();
    let finished = choice.as_ref().is_some_and(|c| c.finish_reason.is_some());
    let content = choice.and_then(|c| c.delta.content).filter(|content| !content.is_empty());
    let bytes = Bytes::copy_from_slice(data);
    let token = match content {
        Some(content) => Some(to_token(chunk.index, content, bytes.clone(), next_index)?),
        None => None,
    };
    if !finished {
        return Ok([token.map(EngineEvent::Token), None]);
    }
    let usage = chunk.usage.map_or_else(Usage::default, |u| Usage {
        prompt_tokens: u.prompt_tokens,
        completion_tokens: u.completion_tokens,
        cached_tokens: u.cached_tokens,
    });
    // the end's chunk is forwarded once, with its token if it has one
    let chunk = token.is_none().then_some(bytes);
    Ok([token.map(EngineEvent::Token), Some(EngineEvent::Done { usage, chunk })])
}

fn to_token(
    index: Option<u32>,
    content: String,
    chunk: Bytes,
    next_index: &mut u32,
) -> Result<Token, CallFailure> {
    let index = index.ok_or_else(|| broken("chunk without index"))?;
    if index != *next_index {
        return Err(broken(&format!("token {index} where {next_index} was expected")));
    }
    *next_index += 1;
    Ok(Token { index, chunk, content })
}

fn broken(detail: &str) -> CallFailure {
    CallFailure::new(Verdict::MayHaveRun, Reason::EndpointBroken, detail)
}

fn crossed(id: &str, call: &EngineCall) -> CallFailure {
    let detail = format!("answer carries request id {id} instead of {}", call.attempt_id);
    CallFailure::new(Verdict::MayHaveRun, Reason::CrossedAnswer, detail)
}
