use {
    mango_standins::{EngineOptions, ServiceOptions},
    mango_testkit::{ENGINE_POOL, FleetOptions, LocalFleet, SERVICE_POOL},
    mango_wire::{config::WorkClass, settings::Settings},
    serde_json::Value,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

pub(crate) const TEAM: &str = "dispatch";
pub(crate) const CHAT_WORK: &str = "question";
pub(crate) const BOOKING_WORK: &str = "booking";

/// A ready fleet with two routers, two engines and one plain service. The team may have
/// four requests in progress on each router.
pub(crate) fn fleet(adjust: fn(&mut Settings)) -> LocalFleet {
    let engines = (0..2)
        .map(|index| EngineOptions {
            name: format!("engine-{index}"),
            step_ms: 10.0,
            prefill_us_per_token: 10.0,
            ..EngineOptions::default()
        })
        .collect();
    let services = vec![ServiceOptions::default()];
    let fleet = LocalFleet::spawn(FleetOptions { routers: 2, zones: 2, engines, services, adjust })
        .unwrap();
    let objects = fleet
        .objects(1.25)
        .team(TEAM, 1.0, 4)
        .work(CHAT_WORK, true, WorkClass::Normal, 16, 10_000)
        .work(BOOKING_WORK, false, WorkClass::Urgent, 1, 10_000)
        .work("unrouted", true, WorkClass::Normal, 16, 10_000)
        .route(CHAT_WORK, ENGINE_POOL, None)
        .route(BOOKING_WORK, SERVICE_POOL, Some("bookings"))
        .build();
    fleet.apply(&objects).unwrap();
    fleet.await_ready(Duration::from_secs(20)).unwrap();
    fleet
}

/// Sends the text of a request on a new connection. Returns the status, or 0 if there is
/// no answer, and the JSON body, or null.
pub(crate) fn send_raw(address: SocketAddr, request: &str) -> (u16, Value) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    // an error is ignored, as the server may close the connection before it has read all of
    // the request
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status, serde_json::from_str(body).unwrap_or_default())
}

/// Text of a request with headers, each as `name: value`, and a body.
pub(crate) fn request(method: &str, path: &str, headers: &[&str], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    for header in headers {
        text.push_str(header);
        text.push_str("\r\n");
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text
}

pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(10));
    }
}
