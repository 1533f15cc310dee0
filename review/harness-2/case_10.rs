//! Runners that read a long body slowly do not learn that the client has cancelled its stream.

use {
    crate::{
        CaseResult,
        caller::{call_stream, request},
        case_7::{BODY_BYTES, BODY_BYTES_PER_S, DEADLINE, route},
        config::config,
        has_trouble,
        record::Record,
        router::Router,
        store::Store,
        stream_runner::{Pace, spawn_stream_runners},
    },
    std::{
        io::{self, Write},
        net::TcpStream,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const CALLERS: usize = 50;
/// One client in this many leaves, as the share of the bench's `give_up` is 0.2.
const LEAVES_EVERY: usize = 5;
const START_PAUSE: Duration = Duration::from_millis(20);
/// When a client cancels its stream: half of the objective of 800 ms.
const CANCEL_AFTER: Duration = Duration::from_millis(400);
const FIRST_EVENT: Duration = Duration::from_secs(2);
/// By GONE, a runner may work on for this long after its client has left.
const ALLOWED_WORK: Duration = Duration::from_millis(500);
/// By GONE, for a quarter of the requests and a few.
const ALLOWED_SHARE: usize = 4;
const A_FEW: usize = 3;

pub fn play(record: &Arc<Record>) -> CaseResult {
    let text = |error: io::Error| error.to_string();
    let store = Store::spawn().map_err(text)?;
    let pace = Pace {
        first_event: FIRST_EVENT,
        events: 10,
        event_pause: Duration::from_millis(100),
        body_bytes_per_s: has_trouble().then_some(BODY_BYTES_PER_S),
    };
    let works = spawn_stream_runners(&store, record, ("model", 3, 64), pace).map_err(text)?;
    store.put("keyed.op", "config", config(&[route()]).as_bytes());
    let router = Router::start(&store)?;
    thread::sleep(Duration::from_secs(1));
    let mut cancellers = Vec::new();
    for number in 0..CALLERS {
        let (port, record) = (router.port, record.clone());
        let attempt = format!("a{number:05}");
        if number % LEAVES_EVERY == 0 {
            cancellers.push(thread::spawn(move || cancel(attempt, port, &record)));
        } else {
            thread::spawn(move || {
                let path = format!("/plan/{attempt}");
                call_stream(port, &record, (&path, &attempt), DEADLINE, &vec![b'p'; BODY_BYTES])
            });
        }
        thread::sleep(START_PAUSE);
    }
    let cancelled: Vec<(String, Instant)> =
        cancellers.into_iter().flat_map(|canceller| canceller.join()).flatten().collect();
    thread::sleep(FIRST_EVENT + Duration::from_secs(1));
    if router.resident_mb().is_none() {
        return Err("the router ended".to_owned());
    }
    let works = works.lock().expect("works");
    let (mut begun, mut at_work) = (0, 0);
    for (attempt, closed_at) in &cancelled {
        let all = works.get(attempt).into_iter().flatten();
        for work in all.filter(|work| work.began_at <= *closed_at) {
            let worked_on =
                work.ended_at.unwrap_or_else(Instant::now).saturating_duration_since(*closed_at);
            record.write(&format!(
                "after_cancel id={attempt} worked_on_ms={}",
                worked_on.as_millis()
            ));
            begun += 1;
            at_work += usize::from(worked_on > ALLOWED_WORK);
        }
    }
    if begun < CALLERS / LEAVES_EVERY / 2 {
        return Err("too few requests had begun to run before they were cancelled".to_owned());
    }
    let summary = format!(
        "{begun} streams had begun when they were cancelled, {at_work} still ran 0.5 s later"
    );
    record.write(&format!("summary {summary}"));
    println!("{summary}");
    Ok(at_work > A_FEW && at_work * ALLOWED_SHARE > begun)
}

/// Sends a request and cancels it. Returns when the client closed its connection.
fn cancel(attempt: String, port: u16, record: &Record) -> io::Result<(String, Instant)> {
    let mut stream = TcpStream::connect(("127.0.0.1", port))?;
    let path = format!("/plan/{attempt}");
    stream.write_all(&request("POST", &path, &attempt, DEADLINE, &vec![b'p'; BODY_BYTES]))?;
    record.write(&format!("sent id={attempt} bytes={BODY_BYTES}"));
    thread::sleep(CANCEL_AFTER);
    drop(stream);
    record.write(&format!("cancelled id={attempt}"));
    Ok((attempt, Instant::now()))
}
