use {
    super::{
        explain::{ExplainRequest, explain},
        state_dump::state_dump,
    },
    crate::{
        callers::{PromptPrefix, Protocol},
        clock::BootInstant,
        http1::{Connection, RequestHead},
        peers::{PublishedFeed, encode_changes},
        records::FeedKind,
        server::Gateway,
        telemetry::{ProcessUsage, event},
    },
    percent_encoding::percent_decode_str,
    std::{rc::Rc, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

const METRICS_PATH: &str = "/metrics";
const STATE_PATH: &str = "/state";
const EXPLAIN_PATH: &str = "/explain";
const CONFIG_PATH: &str = "/relay/config";
const ENDPOINTS_PATH: &str = "/relay/endpoints";
const OK: &str = "200 OK";
const NOT_FOUND: &str = "404 Not Found";
const BAD_REQUEST: &str = "400 Bad Request";
const MAX_HEAD_BYTES: usize = 8_192;
/// Maximum time to receive the next request before the connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after a failed accept, which fails for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves readiness probes of the load balancer, metrics and state for operators, and records of
/// the store for peers.
pub(super) async fn serve_internal<P: Protocol>(gateway: Rc<Gateway<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_connection(gateway.clone(), stream));
            }
            Err(error) => {
                event!("accept_failed", "reason={:?}", error.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<P: Protocol>(gateway: Rc<Gateway<P>>, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    while let Ok(Some(head)) = timeout(IDLE_TIMEOUT, read_head(&mut connection)).await {
        let (status, body) = respond(&gateway, &head.target);
        let connection_header = if head.keep_alive { "" } else { "Connection: close\r\n" };
        let length = body.len();
        let mut response =
            format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{connection_header}\r\n")
                .into_bytes();
        response.extend_from_slice(&body);
        if connection.writer.write_all(&response).await.is_err() || !head.keep_alive {
            return;
        }
    }
}

async fn read_head(connection: &mut Connection) -> Option<RequestHead> {
    loop {
        match RequestHead::decode(&mut connection.input, MAX_HEAD_BYTES) {
            Ok(Some(head)) => return Some(head),
            Ok(None) => {}
            Err(_) => return None,
        }
        match connection.read_more().await {
            Ok(1..) => {}
            Ok(0) | Err(_) => return None,
        }
    }
}

/// Returns the status and the body of the response to a request target.
fn respond<P: Protocol>(gateway: &Gateway<P>, target: &str) -> (&'static str, Vec<u8>) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if path == P::READY_PATH {
        return match gateway.is_ready() {
            true => (OK, Vec::new()),
            false => ("503 Service Unavailable", Vec::new()),
        };
    }
    match path {
        METRICS_PATH => metrics_response(gateway),
        STATE_PATH => (OK, state_dump(gateway).to_string().into_bytes()),
        EXPLAIN_PATH => explain_response(gateway, query),
        CONFIG_PATH => relay_response(gateway, &gateway.peers.config_feed.borrow(), query),
        ENDPOINTS_PATH => relay_response(gateway, &gateway.peers.endpoint_feed.borrow(), query),
        _ => (NOT_FOUND, Vec::new()),
    }
}

/// Explains the request in the query: `host=NAME&path=PATH` and optionally `&prefix=HASH` and
/// `&parts=HASH,HASH`, in hexadecimal.
fn explain_response<P: Protocol>(gateway: &Gateway<P>, query: &str) -> (&'static str, Vec<u8>) {
    let decode = |text| percent_decode_str(text).decode_utf8_lossy();
    let pairs: Vec<_> = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name, decode(value)))
        .collect();
    let value = |name| pairs.iter().find(|(key, _)| *key == name).map(|(_, value)| &**value);
    let (Some(host_name), Some(path)) = (value("host"), value("path")) else {
        let text = r#"{"reason":"bad_query","detail":"expected host=NAME&path=PATH"}"#;
        return (BAD_REQUEST, text.into());
    };
    let prefix_hash = value("prefix").and_then(|hash| u64::from_str_radix(hash, 16).ok());
    let shared_tokens = value("shared_tokens").and_then(|tokens| tokens.parse().ok()).unwrap_or(0);
    let prefix = prefix_hash.map(|hash| PromptPrefix { hash, shared_tokens });
    let parts = value("parts").unwrap_or_default().split(',');
    let parts = parts.filter_map(|hash| u64::from_str_radix(hash, 16).ok()).collect();
    let request = ExplainRequest { host_name, path, prefix, parts };
    (OK, explain(gateway, &request).to_string().into_bytes())
}

/// Records of the store for a peer in the zone, from the offset in the query `from=OFFSET`.
/// The response is 404 if the offset is invalid or the records are too large for this host's
/// network link; the peer then reads the store itself.
fn relay_response<P: Protocol>(
    gateway: &Gateway<P>,
    feed: &PublishedFeed,
    query: &str,
) -> (&'static str, Vec<u8>) {
    let link_mbps = gateway.peers.own_host().link_mbps;
    let from = query.strip_prefix("from=").and_then(|from| from.parse().ok());
    match from.and_then(|from| encode_changes(feed, from, link_mbps)) {
        Some(body) => (OK, body.to_vec()),
        None => (NOT_FOUND, Vec::new()),
    }
}

/// Updates the metrics that are read on demand, and encodes all metrics.
fn metrics_response<P: Protocol>(gateway: &Gateway<P>) -> (&'static str, Vec<u8>) {
    let age = gateway.config.confirmation_age(BootInstant::now()).unwrap_or_default();
    gateway.metrics.config_confirmation_age_ms.set(age.as_millis() as i64);
    for kind in [FeedKind::Config, FeedKind::Endpoints] {
        if let Some(comparison) = gateway.peers.published_feed(kind).borrow().comparison() {
            gateway.metrics.set_comparison(kind.into(), &comparison);
        }
    }
    match ProcessUsage::read() {
        Ok(usage) => {
            gateway.metrics.resident_bytes.set(usage.resident_bytes as i64);
            gateway.metrics.cpu_seconds.set(usage.cpu_time.as_secs_f64());
        }
        Err(error) => event!("usage_failed", "reason={:?}", format!("{error:#}")),
    }
    match gateway.metrics.encode() {
        Ok(text) => (OK, text.into_bytes()),
        Err(error) => {
            event!("metrics_failed", "reason={:?}", error.to_string());
            ("500 Internal Server Error", Vec::new())
        }
    }
}
