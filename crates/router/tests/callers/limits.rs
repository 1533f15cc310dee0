use {
    crate::support::{CHAT_WORK, TEAM, fleet, request, send_raw, wait_until},
    mango_testkit::{Caller, ChatTurn},
    std::{
        io::{Read, Write},
        net::TcpStream,
        thread,
        time::{Duration, Instant},
    },
};

/// Guards against bodies and headers that are buffered without a limit, and against
/// refusals that are never sent.
#[test]
fn large_bodies_and_headers_are_refused() {
    let fleet = fleet(|settings| {
        settings.callers = Some(
            serde_json::from_str(r#"{"max_body_bytes":2000,"max_header_bytes":8192}"#).unwrap(),
        );
    });
    let address = fleet.routers[0].caller_address();
    let headers = [&format!("Mango-Team: {TEAM}")[..], &format!("Mango-Work: {CHAT_WORK}")];
    let body = "x".repeat(3000);
    let (status, problem) =
        send_raw(address, &request("POST", "/v1/chat/completions", &headers, &body));
    assert_eq!((status, problem["reason"].as_str()), (413, Some("body_too_large")));
    let large = format!("X-Large: {}", "x".repeat(20_000));
    let (status, _) = send_raw(address, &request("POST", "/v1/chat/completions", &[&large], "{}"));
    assert_eq!(status, 431);
}

/// Guards against callers that hold connections open by sending slowly.
#[test]
fn slow_senders_are_refused() {
    let fleet = fleet(|settings| {
        settings.callers = Some(serde_json::from_str(r#"{"read_ms":300}"#).unwrap());
    });
    let mut stream = TcpStream::connect(fleet.routers[0].caller_address()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: t\r\nMango-Team: {TEAM}\r\n\
         Mango-Work: {CHAT_WORK}\r\ncontent-length: 100\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let started = Instant::now();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(started.elapsed() < Duration::from_secs(3));
}

/// Guards against one team that uses all of a host's capacity for requests in progress.
#[test]
fn team_limit_refuses_at_once() {
    let fleet = fleet(|_| {});
    let address = fleet.routers[0].caller_address();
    let calls: Vec<_> = (0..4)
        .map(|i| {
            let turn = ChatTurn::new(TEAM, CHAT_WORK, &format!("m{i}"), 60);
            thread::spawn(move || Caller::default().chat(address, &turn))
        })
        .collect();
    wait_until("four requests run", || {
        fleet.engines.iter().map(|e| e.in_flight()).sum::<usize>() == 4
    });
    let reply = Caller::default().chat(address, &ChatTurn::new(TEAM, CHAT_WORK, "fifth", 4));
    assert_eq!((reply.status, reply.reason.as_deref()), (429, Some("team_limit")));
    assert!(reply.total < Duration::from_millis(100), "{:?}", reply.total);
    assert!(calls.into_iter().all(|call| call.join().unwrap().complete));
}

/// Guards against connections above the limit that are left open without an answer.
#[test]
fn connections_above_the_limit_are_refused_with_a_verdict() {
    let fleet = fleet(|settings| {
        settings.callers = Some(serde_json::from_str(r#"{"max_connections":2}"#).unwrap());
    });
    let address = fleet.routers[0].caller_address();
    let held: Vec<_> = (0..2).map(|_| TcpStream::connect(address).unwrap()).collect();
    wait_until("a third connection is refused", || {
        let (status, problem) = send_raw(address, "");
        status == 503 && problem["reason"] == "too_many_connections"
    });
    drop(held);
}
