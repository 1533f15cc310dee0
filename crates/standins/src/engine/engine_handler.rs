use {
    crate::{
        endpoint::{
            AbortedResponse, header_text, json_response, query_number, refuse_unread, request_id,
            status_response,
        },
        engine::{
            Admission, ChatRequest, EngineCore, JobConnection, JobEnd, ReceivedOrder,
            ResponseSource, TokenStream,
        },
    },
    base64::{Engine, prelude::BASE64_STANDARD},
    http::{HeaderMap, HeaderValue, Method, StatusCode},
    mango_http::{BodyError, CallerConnection, Handler, Request, ResponseBody},
    mango_wire::platform::{
        CacheEvents, CacheListing, KvBlob, KvExport, LoadReport, Order, OrderKind,
    },
    serde::{Deserialize, de::DeserializeOwned},
    std::{sync::Arc, thread, time::Duration},
};

type Response = mango_http::Response<ResponseSource>;

// Interval at which a request for a full response checks whether the caller is still
// connected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

const WEIGHT_READ_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Deserialize)]
struct PriorityChange {
    priority: i64,
}

/// HTTP handler of a stand-in engine between one start and the next crash.
pub(crate) struct EngineHandler {
    core: Arc<EngineCore>,
    identity: HeaderValue,
    generation: u64,
}

impl Handler for EngineHandler {
    type Source = ResponseSource;

    fn handle(&self, request: Request, caller: &CallerConnection) -> Response {
        let (parts, body) = request.into_parts();
        let mut response = match body {
            Ok(body) => self.route(&parts, &body, caller),
            Err(BodyError::TooLarge) => status_response(StatusCode::PAYLOAD_TOO_LARGE),
            Err(BodyError::TimedOut | BodyError::Broken(_)) => {
                status_response(StatusCode::BAD_REQUEST)
            }
        };
        response.headers_mut().insert("X-Engine-Identity", self.identity.clone());
        response
    }
}

impl EngineHandler {
    pub(crate) fn new(core: Arc<EngineCore>) -> Self {
        let (identity, generation) = {
            let state = core.read();
            (HeaderValue::from_str(&state.identity), state.generation)
        };
        Self { core, identity: identity.expect("identity is a UUID"), generation }
    }

    fn route(
        &self,
        parts: &http::request::Parts,
        body: &[u8],
        caller: &CallerConnection,
    ) -> Response {
        if self.core.read().generation != self.generation {
            return AbortedResponse::response();
        }
        let query = parts.uri.query().unwrap_or_default();
        let segments: Vec<_> = parts.uri.path().trim_matches('/').split('/').collect();
        match (&parts.method, segments.as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"]) => {
                parsed(body, |request| self.chat(&parts.headers, &request, caller))
            }
            (&Method::GET, ["v1", "requests", id, "stream"]) => self.resume(id, query),
            (&Method::POST, ["v1", "requests", id, "cancel"]) => self.cancel(id),
            (&Method::POST, ["v1", "requests", id, "priority"]) => {
                parsed(body, |change: PriorityChange| self.set_priority(id, change.priority))
            }
            (&Method::GET, ["v1", "load"]) => self.load(),
            (&Method::GET, ["v1", "cache", "events"]) => self.cache_events(query),
            (&Method::GET, ["v1", "cache"]) => self.cache_listing(),
            (&Method::POST, ["v1", "orders"]) => parsed(body, |order| self.order(order)),
            (&Method::POST, ["v1", "kv", "export"]) => parsed(body, |kv| self.export(&kv)),
            (&Method::POST, ["v1", "kv", "import"]) => parsed(body, |blob| self.import(&blob)),
            _ => status_response(StatusCode::NOT_FOUND),
        }
    }

    fn chat(
        &self,
        headers: &HeaderMap,
        request: &ChatRequest,
        caller: &CallerConnection,
    ) -> Response {
        let id = request_id(headers);
        let chat = header_text(headers, "X-Chat").filter(|chat| !chat.is_empty());
        let priority = header_text(headers, "X-Priority").and_then(|p| p.parse().ok());
        let admission = self.core.admit(
            self.generation,
            id.clone(),
            chat.map(str::to_owned),
            priority.unwrap_or(0),
            request,
        );
        let mut response = match admission {
            Admission::Admitted(connection) if request.stream => {
                streamed_response(connection, request.first_index())
            }
            Admission::Admitted(connection) => full_response(&connection, caller),
            Admission::Leaving => refuse_unread(StatusCode::SERVICE_UNAVAILABLE),
            Admission::Full => refuse_unread(StatusCode::TOO_MANY_REQUESTS),
            Admission::Duplicate => status_response(StatusCode::CONFLICT),
            Admission::Crashed => return AbortedResponse::response(),
        };
        set_request_id(&mut response, &id);
        response
    }

    fn resume(&self, id: &str, query: &str) -> Response {
        let Some(connection) = self.core.connect(id) else {
            return status_response(StatusCode::NOT_FOUND);
        };
        if connection.job().progress().end == Some(JobEnd::Cancelled) {
            return status_response(StatusCode::GONE);
        }
        let from = query_number(query, "from").unwrap_or(0);
        let mut response = streamed_response(connection, u32::try_from(from).unwrap_or(u32::MAX));
        set_request_id(&mut response, id);
        response
    }

    fn cancel(&self, id: &str) -> Response {
        let outcome = self.core.change(|state, now| {
            let job = state.jobs.get(id)?.clone();
            let started = state.cancel(&job, now);
            Some((started, job.progress()))
        });
        let Some((started, progress)) = outcome else {
            return status_response(StatusCode::NOT_FOUND);
        };
        let reply = serde_json::json!({
            "cancelled": started.is_some(),
            "started": started.unwrap_or(progress.generated > 0),
            "tokens": progress.generated,
        });
        json_response(StatusCode::OK, &reply)
    }

    fn set_priority(&self, id: &str, priority: i64) -> Response {
        let known = self.core.change(|state, _| {
            let job = state.jobs.get(id)?.clone();
            state.set_priority(&job, priority);
            Some(())
        });
        match known {
            Some(()) => json_response(StatusCode::OK, &serde_json::json!({ "priority": priority })),
            None => status_response(StatusCode::NOT_FOUND),
        }
    }

    fn load(&self) -> Response {
        let report = self.core.change(|state, now| {
            let load = state.load.visible(now);
            LoadReport {
                first_token_ms: load.first_token_ms,
                gap_ms: load.gap_ms,
                identity: state.identity.clone(),
                leaving: load.leaving,
                running: load.running,
                waiting: load.waiting,
            }
        });
        json_response(StatusCode::OK, &report)
    }

    fn cache_events(&self, query: &str) -> Response {
        let since = query_number(query, "since").unwrap_or(0);
        let reply = {
            let state = self.core.read();
            let (events, next_sequence) = state.cache.events.since(since);
            CacheEvents { events, identity: state.identity.clone(), next_sequence }
        };
        json_response(StatusCode::OK, &reply)
    }

    fn cache_listing(&self) -> Response {
        let reply = {
            let state = self.core.read();
            CacheListing {
                chats: state.cache.listing(),
                identity: state.identity.clone(),
                next_sequence: state.cache.events.next_sequence(),
            }
        };
        json_response(StatusCode::OK, &reply)
    }

    fn order(&self, order: Order) -> Response {
        let accepted = self.core.change(|state, at| {
            let accepted = state.orders.accepts(order.fencing);
            let identity = state.identity.clone();
            state.received_orders.push(ReceivedOrder {
                order: order.clone(),
                accepted,
                identity,
                at,
            });
            accepted
        });
        if accepted && !self.wait_engine_time(self.core.options.order_ms) {
            return AbortedResponse::response();
        }
        if accepted && order.kind != OrderKind::SetRole && !self.read_weights(&order.name) {
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let reply = self.core.change(|state, _| {
            if accepted {
                state.orders.apply(&order);
            }
            state.orders.reply(accepted)
        });
        json_response(fenced_status(accepted), &reply)
    }

    fn export(&self, export: &KvExport) -> Response {
        let (accepted, tokens, refusal) = self.core.change(|state, _| {
            let accepted = state.orders.accepts(export.fencing);
            (accepted, state.cache.peek(&export.chat), state.orders.reply(false))
        });
        if !accepted {
            return json_response(StatusCode::CONFLICT, &refusal);
        }
        let Some(tokens) = tokens else { return status_response(StatusCode::NOT_FOUND) };
        if !self.wait_kv_transfer(tokens) {
            return AbortedResponse::response();
        }
        let blob = KvBlob {
            chat: export.chat.clone(),
            data: kv_data(&export.chat, tokens),
            fencing: export.fencing,
            tokens,
        };
        json_response(StatusCode::OK, &blob)
    }

    fn import(&self, blob: &KvBlob) -> Response {
        if blob.data != kv_data(&blob.chat, blob.tokens) {
            return status_response(StatusCode::BAD_REQUEST);
        }
        let accepted = self.core.change(|state, _| state.orders.accepts(blob.fencing));
        if accepted && !self.wait_kv_transfer(blob.tokens) {
            return AbortedResponse::response();
        }
        let reply = self.core.change(|state, _| {
            if accepted {
                state.cache.put(&blob.chat, blob.tokens);
            }
            state.orders.reply(accepted)
        });
        json_response(fenced_status(accepted), &reply)
    }

    /// Reads weights from the weight store, if the engine has one. Returns whether that
    /// succeeded.
    fn read_weights(&self, name: &str) -> bool {
        let Some(url) = self.core.read().weight_store_url.clone() else { return true };
        let request = ureq::get(format!("{url}/weights/{name}"));
        request.config().timeout_global(Some(WEIGHT_READ_TIMEOUT)).build().call().is_ok()
    }

    /// Waits for the transfer time of a KV cache; returns whether the engine is still up.
    fn wait_kv_transfer(&self, tokens: u32) -> bool {
        self.wait_engine_time(f64::from(tokens) * self.core.options.kv_us_per_token / 1e3)
    }

    /// Waits for a span of engine time; returns whether the engine is still up.
    fn wait_engine_time(&self, span_ms: f64) -> bool {
        let wait = self.core.read().clock.real_duration(span_ms);
        if !wait.is_zero() {
            thread::sleep(wait);
        }
        self.core.read().generation == self.generation
    }
}

/// Responds to a JSON request body, or with status 400 if it cannot be parsed.
fn parsed<T: DeserializeOwned>(body: &[u8], respond: impl FnOnce(T) -> Response) -> Response {
    match serde_json::from_slice(body) {
        Ok(value) => respond(value),
        Err(e) => {
            let reply = serde_json::json!({ "error": e.to_string() });
            json_response(StatusCode::BAD_REQUEST, &reply)
        }
    }
}

fn streamed_response(connection: JobConnection, from: u32) -> Response {
    let source = ResponseSource::Tokens(TokenStream::new(connection, from));
    let mut response = Response::new(ResponseBody::streamed(source));
    let events = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(http::header::CONTENT_TYPE, events);
    response
}

fn full_response(connection: &JobConnection, caller: &CallerConnection) -> Response {
    let job = connection.job();
    let progress = loop {
        let progress = job.wait_end(DISCONNECT_CHECK_INTERVAL);
        match progress.end {
            _ if connection.is_broken() => return AbortedResponse::response(),
            Some(JobEnd::Finished) => break progress,
            Some(JobEnd::Cancelled) => return AbortedResponse::response(),
            None if caller.is_closed() => return AbortedResponse::response(),
            None => {}
        }
    };
    let usage = job.usage_json(&progress);
    let id = serde_json::Value::from(job.id.as_str());
    let content = job.text.answer(progress.generated);
    let text = format!(
        r#"{{"id":{id},"object":"chat.completion","choices":[{{"index":0,"message":{{"role":"assistant","content":"{content}"}},"finish_reason":"stop"}}],"usage":{usage}}}"#
    );
    let mut response = Response::new(ResponseBody::full(text));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

fn set_request_id(response: &mut Response, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert("X-Request-Id", value);
    }
}

fn fenced_status(accepted: bool) -> StatusCode {
    if accepted { StatusCode::OK } else { StatusCode::CONFLICT }
}

/// Data that is moved in place of the KV cache of a chat: a digest of the chat and the
/// number of tokens, by which an import detects damage.
fn kv_data(chat: &str, tokens: u32) -> String {
    let digest = mango_wire::digest(format!("{tokens} {chat}").as_bytes());
    BASE64_STANDARD.encode(digest.to_le_bytes())
}
