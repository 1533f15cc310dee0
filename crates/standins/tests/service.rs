mod common;

use {
    common::{eventually, open_request, send},
    mango_standins::{ServiceOptions, ServiceStandin},
    std::{io::Read, thread, time::Duration},
};

const HEADERS: [(&str, &str); 2] = [("X-Request-Id", "r1"), ("Idempotency-Key", "k1")];

/// Guards against an execution whose record or response does not match the request.
#[test]
fn executions_are_recorded_and_answered() {
    let service = ServiceStandin::spawn(ServiceOptions::default());
    let reply = send(service.address(), "PUT", "/visits/7?x=1", &HEADERS, "body").unwrap();
    assert!(reply.head.contains("x-request-id: r1"));
    let executions = service.executions();
    let execution = &executions[0];
    assert_eq!(execution.idempotency_key.as_deref(), Some("k1"));
    assert_eq!((execution.method.as_str(), execution.path.as_str()), ("PUT", "/visits/7?x=1"));
    assert!(execution.ended.is_some() && !execution.dropped);
    let expected = serde_json::json!({
        "request_id": "r1",
        "path": "/visits/7?x=1",
        "execution": 1,
        "body_digest": format!("{:016x}", mango_wire::digest(b"body")),
    });
    assert_eq!(reply.json(), expected);
}

/// Guards against a failed request that has no effect or gets part of a response, and
/// against random failures that differ with the same seed.
#[test]
fn failures_come_after_the_effect() {
    let service = ServiceStandin::spawn(ServiceOptions::default());
    let call = || send(service.address(), "POST", "/", &HEADERS, "x").is_ok();
    service.fail_after_effect(1);
    assert_eq!([call(), call()], [false, true]);
    service.fail_after_effect(1);
    let mut response = Vec::new();
    let mut stream = open_request(service.address(), "POST", "/", &HEADERS, "x").unwrap();
    stream.read_to_end(&mut response).unwrap();
    assert!(response.is_empty());
    let mut runs = (0..2).map(|_| {
        service.set_failure_probability(0.5, 3);
        (0..20).map(|_| call()).collect::<Vec<_>>()
    });
    let first = runs.next().unwrap();
    assert!(first.contains(&true) && first.contains(&false));
    assert_eq!(Some(first), runs.next());
    assert_eq!(service.executions().len(), 43);
}

/// Guards against a leaving service that accepts new requests or drops requests in
/// progress, and against a crash after which requests are answered.
#[test]
fn leaving_crash_and_restart() {
    let service = ServiceStandin::spawn(ServiceOptions { service_ms: 150, max_in_flight: 1 });
    let address = service.address();
    let call = move || send(address, "POST", "/", &[], "x");
    let running = thread::spawn(call);
    eventually("the request is in flight", || service.in_flight() == 1);
    let full = call().unwrap();
    assert!(full.status == 429 && full.head.contains("x-refused: unread"));
    service.set_leaving();
    let refused = call().unwrap();
    assert!(refused.status == 503 && refused.head.contains("x-refused: unread"));
    assert_eq!(running.join().unwrap().unwrap().status, 200);
    assert_eq!(service.executions().len(), 1);

    let identity = service.identity();
    service.restart();
    assert_ne!(service.identity(), identity);
    service.set_service_time(Duration::from_secs(60));
    let running = thread::spawn(call);
    eventually("a request is in flight again", || service.in_flight() == 1);
    service.crash();
    assert!(running.join().unwrap().is_err() && call().is_err());
    assert_eq!(service.in_flight(), 0);
    let executions = service.executions();
    assert!(executions[1].ended.is_none());
}
