//! MIXED: bytes that are no answer, after the answer to a HEAD request on a streaming route.

use super::{config, new_id, route};
use crate::{
    fleet::{Fleet, Record},
    http::Reader,
    runner::{Beats, Runner},
    store::Store,
};
use std::{io::Write, net::TcpStream, sync::Arc, thread, time::Duration};

const ROUNDS: usize = 20;

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let store = Store::start(Some(Duration::from_millis(3_600)));
    let routes =
        [route("r1", "/chat/", "streaming", "llm"), route("r2", "/t/", "idempotent", "tables")];
    store.put("keyed.op", "config", &config(3, &routes, &["llm", "tables"]));
    let runs = Arc::default();
    let beats = Beats { interval: Duration::from_millis(1_200), return_delay: Duration::ZERO };
    for (service, is_streaming) in [("llm", true), ("tables", false)] {
        let id = format!("i-{service}");
        let runner = Runner::start(&id, service, Duration::from_millis(20), is_streaming, &runs);
        runner.beat(&store, beats, record);
    }
    let fleet = Fleet::start(2, &store)?;
    fleet.wait_ready()?;
    thread::sleep(Duration::from_secs(1));
    let mut foreign = 0;
    for round in 0..ROUNDS {
        let address = fleet.callers()[round % 2];
        let stream = TcpStream::connect(address).map_err(|e| e.to_string())?;
        stream.set_read_timeout(Some(Duration::from_millis(300))).map_err(|e| e.to_string())?;
        let mut reader = Reader::new(stream);
        // a HEAD or a POST request on the streaming route
        let method = if has_trouble { "HEAD" } else { "POST" };
        let id = new_id();
        let request = format!(
            "{method} /chat/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\
             X-Model: m\r\nX-Token-Usage: 10,2\r\nX-Prompt-Prefix: 5c1e07a2:8,91bd3f06:2\r\nContent-Length: 0\r\n\r\n"
        );
        reader.stream.write_all(request.as_bytes()).map_err(|e| e.to_string())?;
        let Ok(Some(head)) = reader.head() else { return Err("no answer".to_owned()) };
        let body = if has_trouble { Vec::new() } else { reader.body(&head).unwrap_or_default() };
        record.line(&format!(
            "request {id} {method} /chat/1 status={} body={:?}",
            head.status(),
            text(&body)
        ));
        // no request waits on the connection, which stays open
        while let Ok(1..) = reader.read_more() {}
        let stray = reader.buffer.clone();
        record.line(&format!("bytes that came with no request waiting: {:?}", text(&stray)));
        // the next request on the kept connection
        let id = new_id();
        let request = format!(
            "GET /t/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\r\n"
        );
        reader.stream.write_all(request.as_bytes()).map_err(|e| e.to_string())?;
        while let Ok(1..) = reader.read_more() {}
        let first_line = text(&reader.buffer).lines().next().unwrap_or_default().to_owned();
        record.line(&format!(
            "request {id} GET /t/1: the first line of what the client gets is {first_line:?}"
        ));
        if !stray.is_empty() || !first_line.starts_with("HTTP/1.1 ") {
            foreign += 1;
        }
    }
    record.line(&format!("connections with bytes that are no answer: {foreign} of {ROUNDS}"));
    Ok(foreign == 0)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
