//! One scenario for each case.

mod foreign_entry;
mod head_request;
mod large_zone;
mod recover;

use crate::{
    fleet::{Balancer, Record},
    http,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Plays a scenario. `Ok(false)` means that the rule was broken.
pub fn run(name: &str, has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    match name {
        "foreign-entry" => foreign_entry::run(has_trouble, record),
        "head-request" => head_request::run(has_trouble, record),
        "large-zone" => large_zone::run(has_trouble, record),
        "recover" => recover::run(has_trouble, record),
        _ => Err(format!("there is no scenario {name}")),
    }
}

/// A route of the operator's configuration.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    let is_stream = kind == "streaming";
    format!(
        "{{\"name\":\"{name}\",\"host\":\"h.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeoutMs\":1500,\"targetLatencyMs\":150,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\
         \"allowAnonymous\":true,\"sticky\":{is_stream},\"resumable\":{is_stream},\"gapAimMs\":300}}"
    )
}

/// A configuration without tenants.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":800}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// A request of a client: one client attempt with its own id, on a new connection.
#[derive(Clone)]
pub struct Sent {
    pub id: String,
    pub router: usize,
    pub at: Instant,
    /// 0 if no complete answer came.
    pub status: u16,
    pub body: String,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Sends one request and records its answer.
pub fn send_request(
    method: &str,
    path: &str,
    router: usize,
    address: SocketAddr,
    record: &Record,
) -> Sent {
    let id = new_id();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\r\n"
    );
    let at = Instant::now();
    let answer = http::call(address, request.as_bytes(), Duration::from_millis(1_700));
    let (status, body) = match answer {
        Ok((head, body)) => (head.status(), String::from_utf8_lossy(&body).trim().to_owned()),
        Err(_) => (0, String::new()),
    };
    let shown: String = body.chars().take(60).collect();
    record.line(&format!("request {id} {path} router={router} status={status} body={shown:?}"));
    Sent { id, router, at, status, body }
}

/// Sends one request on an open connection, which is opened if there is none.
pub fn send_on_connection(
    connection: &mut Option<http::Reader>,
    path: &str,
    router: usize,
    address: SocketAddr,
    record: &Record,
) -> Sent {
    let id = new_id();
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\r\n"
    );
    let is_new = connection.is_none();
    let at = Instant::now();
    let answer =
        http::call_on(connection, address, request.as_bytes(), Duration::from_millis(1_700));
    let (status, body) = match answer {
        Ok((head, body)) => (head.status(), String::from_utf8_lossy(&body).trim().to_owned()),
        Err(_) => (0, String::new()),
    };
    let shown: String = body.chars().take(60).collect();
    record.line(&format!(
        "request {id} {path} router={router} new={is_new} status={status} body={shown:?}"
    ));
    Sent { id, router, at, status, body }
}

/// Clients that send requests at a steady rate, each through a router that the balancer uses.
pub fn start_clients(
    per_second: u32,
    path: &'static str,
    callers: Vec<SocketAddr>,
    balancer: Arc<Balancer>,
    record: &Arc<Record>,
) -> Arc<Mutex<Vec<Sent>>> {
    let sent = Arc::new(Mutex::new(Vec::new()));
    let (all, record) = (sent.clone(), record.clone());
    thread::spawn(move || {
        let mut number = 0_usize;
        loop {
            thread::sleep(Duration::from_secs(1) / per_second);
            let usable = balancer.usable();
            // a hash of the client's number, as the platform picks a router by the client
            let router = usable[(number.wrapping_mul(0x9E37_79B9) >> 7) % usable.len()];
            number += 1;
            let (address, sent, record) = (callers[router], all.clone(), record.clone());
            thread::spawn(move || {
                let request = send_request("GET", path, router, address, &record);
                sent.lock().expect("requests").push(request);
            });
        }
    });
    sent
}

/// Share of the requests sent in a span that were served.
pub fn served_share(sent: &[Sent], from: Instant, to: Instant) -> (usize, usize) {
    let in_span = || sent.iter().filter(|request| request.at >= from && request.at < to);
    (in_span().filter(|request| request.status == 200).count(), in_span().count())
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
