use {
    serde_json::{Value, json},
    std::{
        io::{BufRead, BufReader},
        net::SocketAddr,
        time::{Duration, Instant},
    },
    ureq::{Agent, Body, http::Response},
};

/// Request for one chat completion.
#[derive(Clone, Debug)]
pub struct ChatTurn {
    /// Id of the team that sends the request.
    pub team: String,
    /// Id of the kind of work, which selects the route.
    pub work: String,
    /// Id of the chat; requests of a chat are routed to the same engine if possible.
    pub chat: Option<String>,
    pub idempotency_key: Option<String>,
    /// Contents of the messages, oldest first. The last one has the role `user`; roles alternate.
    pub messages: Vec<String>,
    /// Number of tokens that the stand-in engine generates. Sent in the request's metadata;
    /// the router does not read it.
    pub tokens: u32,
    pub stream: bool,
    /// Time limit, from the arrival of the request at the router.
    pub deadline_ms: Option<u64>,
}

impl ChatTurn {
    /// Creates a streamed request with a single message.
    pub fn new(team: &str, work: &str, message: &str, tokens: u32) -> Self {
        Self {
            team: team.to_owned(),
            work: work.to_owned(),
            chat: None,
            idempotency_key: None,
            messages: vec![message.to_owned()],
            tokens,
            stream: true,
            deadline_ms: None,
        }
    }

    pub fn chat(mut self, chat: &str) -> Self {
        self.chat = Some(chat.to_owned());
        self
    }

    /// Requests the answer as a single body instead of a stream.
    pub fn non_streaming(mut self) -> Self {
        self.stream = false;
        self
    }

    pub fn deadline_ms(mut self, ms: u64) -> Self {
        self.deadline_ms = Some(ms);
        self
    }

    fn body(&self) -> Value {
        let last = self.messages.len().saturating_sub(1);
        let messages: Vec<Value> = self
            .messages
            .iter()
            .enumerate()
            .map(|(index, content)| {
                let role = if (last - index).is_multiple_of(2) { "user" } else { "assistant" };
                json!({ "role": role, "content": content })
            })
            .collect();
        json!({
            "model": "test",
            "stream": self.stream,
            "messages": messages,
            "metadata": { "length": self.tokens },
        })
    }
}

/// Answer to a chat completion request.
#[derive(Clone, Debug, Default)]
pub struct ChatReply {
    /// HTTP status; 0 if the connection failed before the response headers.
    pub status: u16,
    /// Whether the answer ended normally: a stream with `[DONE]` and no error event, or a
    /// body with the finish reason `stop`.
    pub complete: bool,
    pub text: String,
    /// Number of content chunks of a stream, or the requested number for a single body.
    pub tokens: u32,
    /// Number of prompt tokens that the engine found in its cache.
    pub cached_tokens: u32,
    pub prompt_tokens: u32,
    /// Id of the endpoint that answered; empty if the response does not name it.
    pub endpoint: String,
    /// Request id assigned by the router; empty if no response headers were received.
    pub request_id: String,
    /// `verdict` of a problem body or an error event: whether the request ran.
    pub verdict: Option<String>,
    /// `reason` of a problem body or an error event, or the connection error.
    pub reason: Option<String>,
    /// Time from the start of the request to the first token of a stream.
    pub first_token: Option<Duration>,
    /// Time from the start of the request to the end of the answer.
    pub total: Duration,
}

/// Answer of a plain service, i.e. an endpoint that is not an engine.
#[derive(Clone, Debug, Default)]
pub struct ServiceReply {
    pub status: u16,
    /// Request id assigned by the router; empty if no response headers were received.
    pub request_id: String,
    /// Response body; null if there is none or it is not valid JSON.
    pub body: Value,
    /// `verdict` of a problem body: whether the request ran.
    pub verdict: Option<String>,
    /// `reason` of a problem body, or the connection error.
    pub reason: Option<String>,
    /// Time from the start of the request to the end of the answer.
    pub total: Duration,
}

/// HTTP client for routers and engines, with its own connection pool.
#[derive(Clone)]
pub struct Caller {
    agent: Agent,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new(Duration::from_secs(60))
    }
}

impl Caller {
    /// Creates a caller that waits at most `timeout` for a complete answer.
    pub fn new(timeout: Duration) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(timeout))
            .build()
            .new_agent();
        Self { agent }
    }

    /// Requests a chat completion from a router, or directly from an engine.
    pub fn chat(&self, address: SocketAddr, turn: &ChatTurn) -> ChatReply {
        let started = Instant::now();
        let mut reply = ChatReply::default();
        match self.send_chat(address, turn) {
            Ok(response) => read_chat(response, turn, started, &mut reply),
            Err(e) => reply.reason = Some(format!("connection: {e}")),
        }
        reply.total = started.elapsed();
        reply
    }

    fn send_chat(
        &self,
        address: SocketAddr,
        turn: &ChatTurn,
    ) -> Result<Response<Body>, ureq::Error> {
        let mut request = self
            .agent
            .post(format!("http://{address}/v1/chat/completions"))
            .content_type("application/json")
            .header("Mango-Team", &turn.team)
            .header("Mango-Work", &turn.work);
        if let Some(chat) = &turn.chat {
            request = request.header("Mango-Chat", chat);
        }
        if let Some(key) = &turn.idempotency_key {
            request = request.header("Idempotency-Key", key);
        }
        if let Some(ms) = turn.deadline_ms {
            request = request.header("Mango-Deadline-Ms", ms.to_string());
        }
        request.send(turn.body().to_string())
    }

    /// Sends a request to a plain service through a router; `path` starts with `/services/`.
    pub fn service(
        &self,
        address: SocketAddr,
        (team, work): (&str, &str),
        path: &str,
        idempotency_key: Option<&str>,
        body: &str,
    ) -> ServiceReply {
        let started = Instant::now();
        let mut request = self
            .agent
            .post(format!("http://{address}{path}"))
            .content_type("application/json")
            .header("Mango-Team", team)
            .header("Mango-Work", work);
        if let Some(key) = idempotency_key {
            request = request.header("Idempotency-Key", key);
        }
        let mut reply = ServiceReply::default();
        match request.send(body) {
            Ok(mut response) => {
                reply.status = response.status().as_u16();
                reply.request_id = header_text(&response, "mango-request-id");
                reply.body = read_json(&mut response);
                reply.verdict = text_field(&reply.body, "verdict");
                reply.reason = text_field(&reply.body, "reason");
            }
            Err(e) => reply.reason = Some(format!("connection: {e}")),
        }
        reply.total = started.elapsed();
        reply
    }
}

fn read_chat(
    mut response: Response<Body>,
    turn: &ChatTurn,
    started: Instant,
    reply: &mut ChatReply,
) {
    reply.status = response.status().as_u16();
    reply.endpoint = header_text(&response, "mango-endpoint");
    reply.request_id = header_text(&response, "mango-request-id");
    let is_stream = header_text(&response, "content-type").starts_with("text/event-stream");
    if reply.status == 200 && is_stream {
        return read_events(response, started, reply);
    }
    let body = read_json(&mut response);
    if reply.status != 200 {
        read_problem(reply, &body);
        return;
    }
    reply.text = body["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned();
    reply.tokens = turn.tokens;
    read_usage(reply, &body);
    reply.complete = body["choices"][0]["finish_reason"] == "stop";
}

/// Value of a response header; empty if it is missing or not printable ASCII.
fn header_text(response: &Response<Body>, name: &str) -> String {
    response.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
}

/// Response body as JSON; null if it is truncated or not valid JSON.
fn read_json(response: &mut Response<Body>) -> Value {
    let text = response.body_mut().read_to_string().unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_default()
}

/// Reads a stream of server-sent events. If it breaks off before `[DONE]`, `reply.complete`
/// stays false.
fn read_events(response: Response<Body>, started: Instant, reply: &mut ChatReply) {
    let mut is_error = false;
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let Ok(line) = line else { return };
        if line == "event: error" {
            is_error = true;
        }
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            reply.complete = !is_error;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if is_error {
            read_problem(reply, &chunk);
            continue;
        }
        if let Some(content) = chunk["choices"][0]["delta"]["content"].as_str() {
            reply.first_token.get_or_insert_with(|| started.elapsed());
            reply.text.push_str(content);
            reply.tokens += 1;
        }
        read_usage(reply, &chunk);
    }
}

/// Stores the token counts of the prompt, if the body or event contains them.
fn read_usage(reply: &mut ChatReply, body: &Value) {
    let usage = &body["usage"];
    if let Some(cached) = usage["cached_tokens"].as_u64() {
        reply.cached_tokens = cached as u32;
    }
    if let Some(prompt) = usage["prompt_tokens"].as_u64() {
        reply.prompt_tokens = prompt as u32;
    }
}

fn read_problem(reply: &mut ChatReply, body: &Value) {
    reply.verdict = text_field(body, "verdict");
    reply.reason = text_field(body, "reason");
}

fn text_field(body: &Value, name: &str) -> Option<String> {
    body[name].as_str().map(str::to_owned)
}
