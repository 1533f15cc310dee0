use {
    super::{
        call_failure::CallFailure,
        engine_event::{EngineEvent, Token, Usage},
    },
    bytes::Bytes,
    mango_wire::{Reason, problem::Verdict},
    serde::{Deserialize, de::IgnoredAny},
    std::{
        borrow::Cow,
        io::{BufRead, BufReader, Read},
    },
    ureq::{Body, BodyReader},
};

/// Longest line of an engine's event stream, in bytes.
const MAX_LINE_BYTES: u64 = 256 * 1024;

/// Event stream of one request. The thread that uses the events reads them from the
/// connection itself, because passing a token between threads costs more than all other
/// work on it. Dropping the stream before the end of the answer closes the connection.
pub(crate) struct EngineEventStream {
    reader: BufReader<BodyReader<'static>>,
    line: Vec<u8>,
    attempt_id: String,
    /// Index that the next token must have.
    next_index: u32,
    /// End of the answer, if the last line contained a token and the end.
    pending: Option<EngineEvent>,
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    index: Option<u32>,
    #[serde(default)]
    choices: Vec<Choice<'a>>,
    usage: Option<ChunkUsage>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    delta: Delta<'a>,
    finish_reason: Option<IgnoredAny>,
}

#[derive(Default, Deserialize)]
struct Delta<'a> {
    #[serde(borrow)]
    content: Option<Cow<'a, str>>,
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

impl EngineEventStream {
    pub(super) fn new(body: Body, attempt_id: &str, from: u32) -> Self {
        Self {
            reader: BufReader::new(body.into_reader()),
            line: Vec::new(),
            attempt_id: attempt_id.to_owned(),
            next_index: from,
            pending: None,
        }
    }

    /// Blocks until the next event, at most for the stall time of the connection or until
    /// the deadline of the call. `Done` and `Failed` are the last events.
    pub(crate) fn next_event(&mut self) -> EngineEvent {
        loop {
            let events = match self.pending.take() {
                Some(event) => [Some(event), None],
                None => self.read_line().unwrap_or_else(|e| [Some(EngineEvent::Failed(e)), None]),
            };
            let [first, second] = events;
            self.pending = second;
            let Some(event) = first.or_else(|| self.pending.take()) else { continue };
            if matches!(event, EngineEvent::Done { .. }) {
                self.read_rest();
            }
            return event;
        }
    }

    /// Reads the rest of the body after the end of the answer, so that the connection can
    /// be reused.
    fn read_rest(&mut self) {
        let rest = &mut self.reader.by_ref().take(MAX_LINE_BYTES);
        let _ = std::io::copy(rest, &mut std::io::sink());
    }

    fn read_line(&mut self) -> Result<LineEvents, CallFailure> {
        self.line.clear();
        let bytes = self
            .reader
            .by_ref()
            .take(MAX_LINE_BYTES)
            .read_until(b'\n', &mut self.line)
            .map_err(|e| CallFailure::from_read_error(&e))?;
        // a line longer than `MAX_LINE_BYTES` is read in part, so it has no newline either
        if bytes == 0 || self.line.last() != Some(&b'\n') {
            return Err(broken_stream("event stream ended early"));
        }
        let Some(data) = self.line.strip_prefix(b"data: ") else { return Ok([None, None]) };
        let data = data.trim_ascii_end();
        if data == b"[DONE]" {
            return Err(broken_stream("event stream ended without a final chunk"));
        }
        let chunk: Chunk<'_> =
            serde_json::from_slice(data).map_err(|e| broken_stream(&e.to_string()))?;
        if chunk.id != self.attempt_id {
            return Err(crossed_answer(&chunk.id, &self.attempt_id));
        }
        chunk_events(chunk, data, &mut self.next_index)
    }
}

/// Events of one line: none, a token, the end of the answer, or both.
type LineEvents = [Option<EngineEvent>; 2];

fn chunk_events(
    chunk: Chunk<'_>,
    data: &[u8],
    next_index: &mut u32,
) -> Result<LineEvents, CallFailure> {
    let choice = chunk.choices.into_iter().next();
    let finished = choice.as_ref().is_some_and(|c| c.finish_reason.is_some());
    let content = choice.and_then(|c| c.delta.content).filter(|content| !content.is_empty());
    let bytes = Bytes::copy_from_slice(data);
    let token = match content {
        Some(content) => Some(chunk_token(chunk.index, content, bytes.clone(), next_index)?),
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
    // the final chunk is forwarded once: with its token, if it contains one
    let chunk = token.is_none().then_some(bytes);
    Ok([token.map(EngineEvent::Token), Some(EngineEvent::Done { usage, chunk })])
}

fn chunk_token(
    index: Option<u32>,
    content: Cow<'_, str>,
    chunk: Bytes,
    next_index: &mut u32,
) -> Result<Token, CallFailure> {
    let index = index.ok_or_else(|| broken_stream("chunk without index"))?;
    if index != *next_index {
        return Err(broken_stream(&format!("token {index} where {next_index} was expected")));
    }
    *next_index += 1;
    Ok(Token { index, chunk, content: content.into_owned() })
}

fn broken_stream(detail: &str) -> CallFailure {
    CallFailure::new(Verdict::MayHaveRun, Reason::EndpointBroken, detail)
}

/// Failure of a response that belongs to another request.
pub(super) fn crossed_answer(id: &str, attempt_id: &str) -> CallFailure {
    let detail = format!("answer carries request id {id} instead of {attempt_id}");
    CallFailure::new(Verdict::MayHaveRun, Reason::CrossedAnswer, detail)
}
