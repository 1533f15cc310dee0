mod common;

use {
    common::{chat_body, eventually, get, open_request, post, send, send_chat, stream_text},
    mango_standins::{EngineOptions, EngineStandin, expected_answer, expected_token},
    serde_json::json,
    std::{
        io::{Read, Write},
        thread,
        time::{Duration, Instant},
    },
};

fn fast_options() -> EngineOptions {
    EngineOptions {
        prefill_us_per_token: 10.0,
        step_ms: 2.0,
        load_lag_ms: 0,
        cache_event_delay_ms: 0,
        ..EngineOptions::default()
    }
}

fn one_slot_options() -> EngineOptions {
    EngineOptions { slots: 1, ..fast_options() }
}

/// Guards against a continued answer that repeats or skips tokens.
#[test]
fn an_answer_is_continued_from_its_text() {
    let engine = EngineStandin::spawn(fast_options());
    let whole = expected_answer("what pay?", 9);
    let so_far: String = (0..4).map(|index| expected_token("what pay?", index)).collect();
    let body = json!({
        "stream": true,
        "messages": [
            { "role": "user", "content": "what pay?" },
            { "role": "assistant", "content": so_far },
        ],
        "continue_final_message": true,
        "continue_from": 4,
        "metadata": { "length": 9 },
    });
    let id = [("X-Request-Id", "r1")];
    let path = "/v1/chat/completions";
    let reply = send(engine.address(), "POST", path, &id, &body.to_string()).unwrap();
    let (text, events) = stream_text(&reply.body);
    assert_eq!(format!("{so_far}{text}"), whole);
    assert_eq!((&events[0]["index"], events.len()), (&json!(4), 5));
    assert_eq!(engine.executions()[0].tokens, 5);
}

/// Guards against answers that are incomplete, out of order or meant for another request.
#[test]
fn answers_are_complete_and_match_the_request() {
    let engine = EngineStandin::spawn(fast_options());
    let id = [("X-Request-Id", "r1")];
    let reply = send_chat(engine.address(), &id, "what pay?", 20, true).unwrap();
    assert!(reply.head.contains("x-request-id: r1"));
    assert!(reply.head.contains(&format!("x-engine-identity: {}", engine.identity())));
    let (text, events) = stream_text(&reply.body);
    assert_eq!(text, expected_answer("what pay?", 20));
    assert_ne!(text, expected_answer("what pay!", 20));
    for (index, event) in events.iter().enumerate() {
        assert_eq!((&event["id"], &event["index"]), (&json!("r1"), &json!(index)));
        let token = expected_token("what pay?", index as u32);
        assert_eq!(event["choices"][0]["delta"]["content"], token);
    }
    let last = events.last().unwrap();
    assert_eq!(last["choices"][0]["finish_reason"], "stop");
    let usage = json!({ "prompt_tokens": 2, "completion_tokens": 20, "cached_tokens": 0 });
    assert_eq!(last["usage"], usage);

    let whole = send_chat(engine.address(), &[], "what pay?", 20, false).unwrap().json();
    assert_eq!(whole["choices"][0]["message"]["content"], text);
    assert_eq!(whole["usage"], usage);
    assert_eq!(engine.in_flight(), 0);
}

/// Guards against tokens of a stream that are buffered until the end of the answer.
#[test]
fn tokens_are_streamed_as_they_are_generated() {
    let engine = EngineStandin::spawn(EngineOptions { step_ms: 20.0, ..fast_options() });
    let body = chat_body("m", 20, true);
    let start = Instant::now();
    let path = "/v1/chat/completions";
    let mut stream = open_request(engine.address(), "POST", path, &[], &body).unwrap();
    let (mut text, mut first) = (Vec::new(), None);
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).unwrap();
        text.extend_from_slice(&buffer[..count]);
        if first.is_none() && String::from_utf8_lossy(&text).contains("data: ") {
            first = Some(start.elapsed());
        }
        if count == 0 {
            break;
        }
    }
    let (first, total) = (first.unwrap(), start.elapsed());
    assert!(first < total / 3, "first token after {first:?} of {total:?}");
    assert!(total >= Duration::from_millis(390), "20 steps of 20 ms took {total:?}");
}

/// Guards against a prefix cache that does not keep a chat's prompt and answer, or that
/// does not shorten the prefill.
#[test]
fn returning_chat_is_prefilled_from_the_cache() {
    let engine =
        EngineStandin::spawn(EngineOptions { prefill_us_per_token: 200.0, ..fast_options() });
    let headers = [("X-Chat", "c1")];
    let first = "x".repeat(8000);
    let start = Instant::now();
    let reply = send_chat(engine.address(), &headers, &first, 10, false).unwrap().json();
    let cold = start.elapsed();
    let answer = &reply["choices"][0]["message"]["content"];
    let body = json!({ "max_tokens": 10, "messages": [
        { "role": "user", "content": first },
        { "role": "assistant", "content": answer },
        { "role": "user", "content": "more" },
    ]});
    let path = "/v1/chat/completions";
    let start = Instant::now();
    let reply = send(engine.address(), "POST", path, &headers, &body.to_string()).unwrap().json();
    let warm = start.elapsed();
    assert_eq!(reply["usage"]["prompt_tokens"], 2011);
    assert_eq!(reply["usage"]["cached_tokens"], 2010);
    assert!(warm < cold / 2, "warm {warm:?}, cold {cold:?}");
    assert_eq!(engine.executions()[1].cached_tokens, 2010);
}

/// Guards against a cache that grows without limit, evictions that are not published, and
/// lost events that leave no gap in the sequence numbers.
#[test]
fn cache_is_bounded_and_publishes_events() {
    let options = EngineOptions { cache_tokens: 50, ..fast_options() };
    let engine = EngineStandin::spawn(options.clone());
    let lossy = EngineStandin::spawn(EngineOptions { cache_event_loss: 0.5, ..options });
    for name in ["a", "b", "c"] {
        for address in [engine.address(), lossy.address()] {
            send_chat(address, &[("X-Chat", name)], "12345678", 18, false).unwrap();
        }
    }
    let events = get(engine.address(), "/v1/cache/events?since=1").json();
    let seen: Vec<_> = events["events"].as_array().unwrap().iter().collect();
    let event = |sequence: u64, chat: &str, tokens: u64| json!({ "sequence": sequence, "chat": chat, "cached_tokens": tokens });
    assert_eq!(
        seen,
        [&event(1, "a", 20), &event(2, "b", 20), &event(3, "c", 20), &event(4, "a", 0)]
    );
    assert_eq!(events["next_sequence"], 5);
    let late = get(engine.address(), "/v1/cache/events?since=4").json();
    assert_eq!(late["events"].as_array().unwrap().len(), 1);
    let listing = get(engine.address(), "/v1/cache").json();
    let mut chats: Vec<_> =
        listing["chats"].as_array().unwrap().iter().map(|c| c["chat"].as_str().unwrap()).collect();
    chats.sort_unstable();
    assert_eq!(chats, ["b", "c"]);
    let events = get(lossy.address(), "/v1/cache/events?since=1").json();
    assert!(events["events"].as_array().unwrap().len() < 4);
    assert_eq!(events["next_sequence"], 5);
}

/// Guards against a queue that ignores priorities, and against a waiting request whose
/// priority cannot be changed.
#[test]
fn lower_priority_number_runs_first() {
    let engine = EngineStandin::spawn(one_slot_options());
    let address = engine.address();
    let spawn = |id: &'static str, priority: &'static str, length| {
        let waiting = engine.in_flight();
        let headers = [("X-Request-Id", id), ("X-Priority", priority)];
        let request =
            thread::spawn(move || send_chat(address, &headers, "m", length, false).unwrap());
        eventually("the request is admitted", || engine.in_flight() == waiting + 1);
        request
    };
    let requests = [
        spawn("running", "0", 150),
        spawn("late", "5", 1),
        spawn("early", "1", 1),
        spawn("raised", "9", 1),
    ];
    let reply = post(address, "/v1/requests/raised/priority", r#"{"priority":0}"#);
    assert_eq!(reply.status, 200);
    requests.into_iter().for_each(|r| drop(r.join().unwrap()));
    let order: Vec<_> = engine.executions().into_iter().map(|e| e.request_id).collect();
    assert_eq!(order, ["running", "raised", "early", "late"]);
}

/// Guards against refusals without `X-Refused: unread`, and against a leaving engine that
/// accepts new requests or drops requests in progress.
#[test]
fn full_and_leaving_engines_refuse() {
    let engine = EngineStandin::spawn(EngineOptions { queue_limit: 0, ..one_slot_options() });
    let address = engine.address();
    let running = thread::spawn(move || send_chat(address, &[], "m", 200, true).unwrap());
    eventually("the request is in flight", || engine.in_flight() == 1);
    let full = send_chat(address, &[], "m", 1, true).unwrap();
    assert_eq!(full.status, 429);
    assert!(full.head.contains("x-refused: unread"));
    engine.set_leaving();
    let leaving = send_chat(address, &[], "m", 1, true).unwrap();
    assert_eq!(leaving.status, 503);
    assert!(leaving.head.contains("x-refused: unread"));
    assert_eq!(get(address, "/v1/load").json()["leaving"], true);
    assert_eq!(stream_text(&running.join().unwrap().body).0, expected_answer("m", 200));
    assert_eq!((engine.executions().len(), engine.refused_leaving().len()), (1, 1));
    assert_eq!(engine.refused_full(), 1);
}

/// Guards against a cancelled request that keeps its slot or whose answer looks complete,
/// and against the execution of a request that was cancelled while it waited.
#[test]
fn cancel_frees_the_slot() {
    let engine = EngineStandin::spawn(one_slot_options());
    let address = engine.address();
    let spawn = |id: &'static str, length| {
        let waiting = engine.in_flight();
        let request =
            thread::spawn(move || send_chat(address, &[("X-Request-Id", id)], "m", length, true));
        eventually("the request is admitted", || engine.in_flight() == waiting + 1);
        request
    };
    let (long, queued, short) = (spawn("long", 100_000), spawn("queued", 5), spawn("short", 5));
    assert_eq!(post(address, "/v1/requests/queued/cancel", "").json()["started"], false);
    assert_eq!(post(address, "/v1/requests/long/cancel", "").json()["started"], true);
    assert_eq!(post(address, "/v1/requests/unknown/cancel", "").status, 404);
    assert!(long.join().unwrap().is_err() && queued.join().unwrap().is_err());
    assert!(short.join().unwrap().is_ok());
    let ran: Vec<_> =
        engine.executions().into_iter().map(|e| (e.request_id, e.cancelled)).collect();
    assert_eq!(ran, [("long".to_owned(), true), ("short".to_owned(), false)]);
    assert_eq!(get(address, "/v1/requests/long/stream?from=0").status, 410);
}

/// Guards against a broken stream that cannot be resumed from the token asked for, or whose
/// request is executed twice.
#[test]
fn broken_stream_resumes_from_an_index() {
    let engine = EngineStandin::spawn(fast_options());
    let address = engine.address();
    let id = [("X-Request-Id", "r1")];
    let streamed = thread::spawn(move || send_chat(address, &id, "m", 100, true));
    let whole =
        thread::spawn(move || send_chat(address, &[("X-Request-Id", "r2")], "m", 100, false));
    eventually("both requests have started", || engine.executions().len() == 2);
    engine.break_connections();
    assert!(streamed.join().unwrap().is_err() && whole.join().unwrap().is_err());
    assert_eq!(engine.in_flight(), 2);
    let resumed = get(address, "/v1/requests/r1/stream?from=7");
    let (text, events) = stream_text(&resumed.body);
    assert_eq!(events[0]["index"], 7);
    assert_eq!(expected_answer("m", 7) + &text, expected_answer("m", 100));
    let ended = get(address, "/v1/requests/r1/stream?from=99");
    assert_eq!(stream_text(&ended.body).1.len(), 1);
    assert_eq!(get(address, "/v1/requests/r1/stream?from=100").body, "data: [DONE]\n\n");
    assert_eq!(engine.executions().len(), 2);
}

/// Guards against a request that keeps running after its connection was closed, and
/// against its cancellation before `resume_grace_ms` has passed.
#[test]
fn abandoned_request_is_cancelled_after_the_resume_grace() {
    let engine = EngineStandin::spawn(EngineOptions { resume_grace_ms: 300, ..fast_options() });
    let body = chat_body("m", 100_000, true);
    let path = "/v1/chat/completions";
    let mut stream = open_request(engine.address(), "POST", path, &[], &body).unwrap();
    stream.flush().unwrap();
    eventually("the request is in flight", || engine.in_flight() == 1);
    let closed_at = Instant::now();
    drop(stream);
    eventually("the request is cancelled", || engine.in_flight() == 0);
    assert!(closed_at.elapsed() >= Duration::from_millis(300));
    assert!(engine.executions()[0].cancelled);
}

/// Guards against a crash after which an answer looks complete or a request keeps running,
/// and against a restart that keeps the identity or the cache, or changes the address.
#[test]
fn crash_and_restart() {
    let engine = EngineStandin::spawn(fast_options());
    let address = engine.address();
    send_chat(address, &[("X-Chat", "c")], "m", 1, false).unwrap();
    let identity = engine.identity();
    let broken = thread::spawn(move || send_chat(address, &[], "m", 100_000, true));
    eventually("the request is in flight", || engine.in_flight() == 1);
    engine.crash();
    assert!(broken.join().unwrap().is_err());
    assert_eq!(engine.in_flight(), 0);
    eventually("connections are refused", || std::net::TcpStream::connect(address).is_err());
    engine.restart();
    assert_eq!(engine.address(), address);
    assert_ne!(engine.identity(), identity);
    let reply = send_chat(address, &[("X-Chat", "c")], "m", 1, false).unwrap();
    assert!(reply.head.contains(&engine.identity()));
    assert_eq!(engine.executions().last().unwrap().cached_tokens, 0);
    assert!(engine.executions()[1].cancelled);
}

/// Guards against a slow-down that does not apply to requests in progress, and against
/// decode steps that take no longer with more requests in the batch.
#[test]
fn slowdown_and_batch_size_lengthen_steps() {
    let options = EngineOptions { step_ms: 5.0, batch_slope: 0.5, ..fast_options() };
    let engine = EngineStandin::spawn(options);
    let address = engine.address();
    let time = |count| {
        let start = Instant::now();
        let requests: Vec<_> = (0..count)
            .map(|_| thread::spawn(move || send_chat(address, &[], "m", 40, false)))
            .collect();
        requests.into_iter().for_each(|r| drop(r.join().unwrap().unwrap()));
        start.elapsed().as_secs_f64()
    };
    let alone = time(1);
    let batch = time(5);
    assert!((2.0..4.5).contains(&(batch / alone)), "batch {batch}, alone {alone}");
    let running = thread::spawn(move || send_chat(address, &[], "m", 40, false));
    eventually("the request is in flight", || engine.in_flight() == 1);
    let start = Instant::now();
    engine.set_slowdown(4.0);
    running.join().unwrap().unwrap();
    let slow = start.elapsed().as_secs_f64();
    assert!((3.0..6.0).contains(&(slow / alone)), "slow {slow}, alone {alone}");
}

/// Guards against load reports that ignore `load_lag_ms`.
#[test]
fn load_report_lags() {
    let engine = EngineStandin::spawn(EngineOptions { load_lag_ms: 400, ..one_slot_options() });
    let address = engine.address();
    thread::sleep(Duration::from_millis(410));
    for _ in 0..2 {
        thread::spawn(move || send_chat(address, &[], "m", 100_000, true));
    }
    eventually("both requests are in flight", || engine.in_flight() == 2);
    let report = || get(address, "/v1/load").json();
    let counts =
        |report: &serde_json::Value| (report["running"].clone(), report["waiting"].clone());
    assert_eq!(counts(&report()), (json!(0), json!(0)));
    eventually("the report shows both requests", || counts(&report()) == (json!(1), json!(1)));
    eventually("the report has a token gap", || report()["gap_ms"].as_f64().unwrap() >= 1.5);
}

/// Guards against orders and KV cache moves with an old fencing number that take effect,
/// against an engine with `checks_fencing: false` that refuses them, and against the import
/// of a damaged KV cache.
#[test]
fn old_fencing_numbers_are_refused() {
    let order = |fencing: u64, name: &str| {
        json!({ "order_id": format!("o{fencing}"), "fencing": fencing, "kind": "load_model", "name": name }).to_string()
    };
    let engine = EngineStandin::spawn(fast_options());
    let address = engine.address();
    assert_eq!(post(address, "/v1/orders", &order(5, "m5")).status, 200);
    let stale = post(address, "/v1/orders", &order(4, "m4"));
    assert_eq!(stale.status, 409);
    assert_eq!(stale.json(), json!({ "accepted": false, "highest_fencing": 5, "loaded": ["m5"] }));
    let export = |fencing: u64| json!({ "fencing": fencing, "chat": "c" }).to_string();
    assert_eq!(post(address, "/v1/kv/export", &export(4)).status, 409);
    assert_eq!(post(address, "/v1/kv/export", &export(5)).status, 404);
    send_chat(address, &[("X-Chat", "c")], "12345678", 10, false).unwrap();
    let blob = post(address, "/v1/kv/export", &export(5));
    assert_eq!(blob.json()["tokens"], 12);

    let other = EngineStandin::spawn(EngineOptions { checks_fencing: false, ..fast_options() });
    assert_eq!(post(other.address(), "/v1/orders", &order(5, "m5")).status, 200);
    assert_eq!(post(other.address(), "/v1/orders", &order(4, "m4")).status, 200);
    let damaged = blob.body.replace("\"tokens\":12", "\"tokens\":13");
    assert_eq!(post(other.address(), "/v1/kv/import", &damaged).status, 400);
    assert_eq!(post(other.address(), "/v1/kv/import", &blob.body).status, 200);
    send_chat(other.address(), &[("X-Chat", "c")], &"x".repeat(100), 1, false).unwrap();
    assert_eq!(other.executions()[0].cached_tokens, 12);
    let accepted: Vec<_> = engine.orders().iter().map(|r| r.accepted).collect();
    assert_eq!(accepted, [true, false]);
}
