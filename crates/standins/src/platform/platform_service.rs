use {
    crate::{
        endpoint::query_number,
        platform::{FaultGate, HostHistory, LogStore, WeightRate},
    },
    astra::{Body, ConnectionInfo, Request, Response, ResponseBuilder},
    http::Method,
    mango_wire::platform::{AppendReply, HostList},
    parking_lot::Mutex,
    serde::Serialize,
    std::{
        io,
        time::{Duration, Instant},
    },
};

// Longest long poll, so that a wrong wait_ms cannot hold a worker for good.
const MAX_WAIT_MS: u64 = 60_000;
const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;

/// HTTP face of the platform.
pub(crate) struct PlatformService {
    pub(crate) log: LogStore,
    pub(crate) hosts: Mutex<HostHistory>,
    pub(crate) hosts_gate: FaultGate,
    pub(crate) weights: Mutex<WeightRate>,
    pub(crate) weights_gate: FaultGate,
}

impl astra::Service for PlatformService {
    fn call(&self, mut request: Request, _: ConnectionInfo) -> Response {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let segments: Vec<_> = path.trim_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (&Method::POST, ["streams", stream, "records"]) => {
                self.append(stream, request.body_mut())
            }
            (&Method::GET, ["streams", stream, "records"]) => self.read(stream, &query),
            (&Method::GET, ["hosts"]) => self.hosts(),
            (&Method::GET, ["weights", name]) => self.weight(name),
            _ => status(404),
        }
    }
}

impl PlatformService {
    /// Refuses all requests from now on, also those that wait.
    pub(crate) fn close(&self) {
        for gate in [&self.log.gate, &self.hosts_gate, &self.weights_gate] {
            gate.close();
        }
        self.log.wake_readers();
    }

    fn append(&self, stream: &str, body: &mut Body) -> Response {
        let record = match read_text(body) {
            Ok(record) => record,
            Err(code) => return status(code),
        };
        if self.log.gate.enter().is_err() {
            return self.refuse_log();
        }
        let offset = self.log.append(stream, record);
        if self.log.count_append() {
            // a body that fails makes the server close the connection
            return Response::new(Body::wrap_reader(FailingReader));
        }
        json(&AppendReply { offset })
    }

    fn read(&self, stream: &str, query: &str) -> Response {
        if self.log.gate.enter().is_err() {
            return self.refuse_log();
        }
        let from = query_number(query, "from").unwrap_or(0);
        let wait_ms = query_number(query, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        match self.log.read(stream, from, deadline) {
            Ok(reply) => json(&reply),
            Err(_) => self.refuse_log(),
        }
    }

    fn refuse_log(&self) -> Response {
        self.log.count_refused();
        status(503)
    }

    fn hosts(&self) -> Response {
        if self.hosts_gate.enter().is_err() {
            return status(503);
        }
        let hosts = self.hosts.lock().visible();
        json(&HostList { hosts })
    }

    fn weight(&self, name: &str) -> Response {
        if self.weights_gate.enter().is_err() {
            return status(503);
        }
        let taken = self.weights.lock().take();
        match taken {
            Ok(()) => json(&serde_json::json!({ "name": name })),
            Err(wait) => {
                let seconds = wait.as_secs_f64().ceil().max(1.0);
                let builder = ResponseBuilder::new().status(429);
                let builder = builder.header("Retry-After", seconds.to_string());
                builder.body(Body::empty()).expect("valid header")
            }
        }
    }
}

struct FailingReader;

impl io::Read for FailingReader {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::Error::other("answer lost on purpose"))
    }
}

fn read_text(body: &mut Body) -> Result<String, u16> {
    let mut bytes = Vec::new();
    for chunk in body {
        bytes.extend_from_slice(&chunk.map_err(|_| 400_u16)?);
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(413);
        }
    }
    String::from_utf8(bytes).map_err(|_| 400)
}

fn json<T: Serialize>(value: &T) -> Response {
    let text = serde_json::to_string(value).expect("replies have string keys");
    let builder = ResponseBuilder::new().header("Content-Type", "application/json");
    builder.body(Body::new(text)).expect("valid header")
}

fn status(code: u16) -> Response {
    ResponseBuilder::new().status(code).body(Body::empty()).expect("valid status")
}
