use {
    crate::support::{CHAT_WORK, TEAM, fleet, request, wait_until},
    bytes::Bytes,
    mango_http::{
        CallerConnection, ChunkSource, Handler, HttpServer, Request, Response, ResponseBody,
    },
    mango_standins::expected_answer,
    mango_testkit::{Caller, ChatTurn, ENGINE_POOL, engine_endpoint},
    mango_wire::config::ConfigObject,
    std::{
        io::{self, Read, Write},
        net::TcpStream,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Guards against answers that are incomplete or that differ between streaming and other
/// requests, or between routers.
#[test]
fn streamed_and_whole_answers_are_complete() {
    let fleet = fleet(|_| {});
    for address in fleet.caller_addresses() {
        for stream in [true, false] {
            let turn = ChatTurn { stream, ..ChatTurn::new(TEAM, CHAT_WORK, "hello", 9) };
            let reply = Caller::default().chat(address, &turn);
            assert!(reply.complete, "{reply:?}");
            assert_eq!(reply.text, expected_answer("hello", 9));
        }
    }
}

/// Guards against tokens that are lost or repeated when a stream is resumed after its
/// connection to the engine broke.
#[test]
fn broken_streams_are_resumed_without_loss() {
    let fleet = fleet(|_| {});
    let address = fleet.routers[0].caller_address();
    let call = thread::spawn(move || {
        Caller::default().chat(address, &ChatTurn::new(TEAM, CHAT_WORK, "resume", 60))
    });
    wait_until("an engine runs the request", || fleet.engines.iter().any(|e| e.in_flight() > 0));
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(120));
        fleet.engines.iter().for_each(|e| e.break_connections());
    }
    let reply = call.join().unwrap();
    assert!(reply.complete, "{reply:?}");
    assert_eq!(reply.text, expected_answer("resume", 60));
    let runs: usize = fleet.engines.iter().map(|e| e.executions().len()).sum();
    assert_eq!(runs, 1);
}

/// Guards against an answer that breaks off but looks complete to the caller.
#[test]
fn crash_of_the_engine_ends_the_stream_with_an_error_event() {
    let fleet = fleet(|_| {});
    let address = fleet.routers[0].caller_address();
    let call = thread::spawn(move || {
        Caller::default().chat(address, &ChatTurn::new(TEAM, CHAT_WORK, "crash", 200))
    });
    wait_until("an engine runs the request", || fleet.engines.iter().any(|e| e.in_flight() > 0));
    thread::sleep(Duration::from_millis(200));
    fleet.engines.iter().for_each(|e| e.crash());
    let reply = call.join().unwrap();
    assert!(!reply.complete, "{reply:?}");
    assert_eq!(reply.verdict.as_deref(), Some("may_have_run"));
    assert!(expected_answer("crash", 200).starts_with(&reply.text));
}

/// Guards against engines that keep running a request whose caller has disconnected.
#[test]
fn disconnect_of_the_caller_cancels_the_request() {
    let fleet = fleet(|_| {});
    let mut stream = TcpStream::connect(fleet.routers[0].caller_address()).unwrap();
    let (team, work) = (format!("Mango-Team: {TEAM}"), format!("Mango-Work: {CHAT_WORK}"));
    let body =
        r#"{"stream":true,"messages":[{"role":"user","content":"x"}],"metadata":{"length":500}}"#;
    let text = request("POST", "/v1/chat/completions", &[&team, &work], body);
    stream.write_all(text.as_bytes()).unwrap();
    stream.read_exact(&mut [0; 32]).unwrap();
    drop(stream);
    let disconnected_at = Instant::now();
    wait_until("no engine runs a request", || fleet.engines.iter().all(|e| e.in_flight() == 0));
    assert!(disconnected_at.elapsed() < Duration::from_secs(2), "{:?}", disconnected_at.elapsed());
    let executions: Vec<_> = fleet.engines.iter().flat_map(|e| e.executions()).collect();
    assert!(executions.iter().all(|e| e.cancelled), "{executions:?}");
}

/// Guards against a planned stop that breaks off a request in progress.
#[test]
fn planned_stop_lets_streams_end() {
    let mut fleet = fleet(|_| {});
    let router = fleet.routers.remove(0);
    let address = router.caller_address();
    let call = thread::spawn(move || {
        Caller::default().chat(address, &ChatTurn::new(TEAM, CHAT_WORK, "stop", 80))
    });
    wait_until("an engine runs the request", || fleet.engines.iter().any(|e| e.in_flight() > 0));
    assert!(router.drain(Instant::now() + Duration::from_secs(10)));
    let reply = call.join().unwrap();
    assert!(reply.complete, "{reply:?}");
    assert_eq!(reply.text, expected_answer("stop", 80));
}

/// Engine that answers every request with the id of another request.
struct WrongIdEngine;

struct NoChunks;

impl ChunkSource for NoChunks {
    fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        None
    }
}

impl Handler for WrongIdEngine {
    type Source = NoChunks;

    fn handle(&self, _: Request, _: &CallerConnection) -> Response<NoChunks> {
        let mut answer = Response::new(ResponseBody::full("data: {}\n\n"));
        answer.headers_mut().insert("X-Request-Id", "other".parse().unwrap());
        answer
    }
}

/// Guards against a caller that gets the answer to another request.
#[test]
fn crossed_answers_are_never_forwarded() {
    let fleet = fleet(|_| {});
    let server = HttpServer::bind(
        "127.0.0.1:0".parse().unwrap(),
        Default::default(),
        Arc::new(WrongIdEngine),
    )
    .unwrap();
    // both endpoints now have the address of the engine that sends wrong ids
    let objects: Vec<_> = ["engine-0", "engine-1"]
        .iter()
        .map(|id| ConfigObject::Endpoint(engine_endpoint(id, server.address(), ENGINE_POOL, 16)))
        .collect();
    fleet.apply(&objects).unwrap();
    thread::sleep(Duration::from_millis(300));
    let turn = ChatTurn::new(TEAM, CHAT_WORK, "hello", 4).deadline_ms(3000);
    let reply = Caller::default().chat(fleet.routers[0].caller_address(), &turn);
    assert_ne!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.text, "");
    assert_eq!(reply.reason.as_deref(), Some("crossed_answer"), "{reply:?}");
}
