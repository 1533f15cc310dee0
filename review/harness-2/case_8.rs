//! Callers that read slowly, but without a pause, lose the end of the answers to work that has run.

use {
    crate::{
        CaseResult,
        caller::{Outcome, count, request},
        config::{Route, config},
        has_trouble,
        http::{Head, Wire},
        record::Record,
        router::Router,
        runner::{Identity, spawn_runners},
        socket::connect_over_link,
        store::Store,
    },
    std::{
        io::{self, Read, Write},
        net::{Ipv4Addr, SocketAddrV4},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const CALLERS: usize = 10;
const ANSWER_BYTES: usize = 200_000;
/// A slow caller reads 18 kB a second: the answer would be there after 11.2 s, within the deadline.
const PORTION_BYTES: usize = 1_800;
const PORTION_PAUSE: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_secs(12);
/// Requests that a machine in touch may lose, by LOST.
const ALLOWED_LOSSES: usize = 3;

pub fn play(record: &Arc<Record>) -> CaseResult {
    let text = |error: io::Error| error.to_string();
    let store = Store::spawn().map_err(text)?;
    let body = vec![b'x'; ANSWER_BYTES];
    let answer = move |identity: &Identity, head: &Head, wire: &mut Wire| {
        wire.respond("200 OK", &identity.signature(head), &body)
    };
    let runs = spawn_runners(&store, record, ("portal", 3, 6), Box::new(answer)).map_err(text)?;
    let route = Route {
        name: "file",
        kind: "non_idempotent",
        service: "portal",
        timeout_ms: DEADLINE.as_millis() as u64,
        max_attempts: 1,
        is_resumable: false,
    };
    store.put("keyed.op", "config", config(&[route]).as_bytes());
    let router = Router::start(&store)?;
    thread::sleep(Duration::from_secs(1));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (port, record) = (router.port, record.clone());
            thread::spawn(move || call(&format!("a{number:05}"), port, &record))
        })
        .collect();
    let outcomes: Vec<_> = callers.into_iter().flat_map(|caller| caller.join()).collect();
    if router.resident_mb().is_none() {
        return Err("the router ended".to_owned());
    }
    let runs = runs.lock().expect("runs").len();
    let summary = format!("{runs} runs, {}", count(&outcomes));
    record.write(&format!("summary {summary}"));
    println!("{summary}");
    Ok(outcomes.iter().filter(|outcome| outcome.is_lost()).count() > ALLOWED_LOSSES)
}

/// Sends a request on a connection of its own and reads the answer.
fn call(attempt: &str, port: u16, record: &Record) -> Outcome {
    let started_at = Instant::now();
    let mut progress = Progress { received: 0, last_at: started_at, longest_pause: Duration::ZERO };
    record.write(&format!("sent id={attempt}"));
    let outcome = receive(attempt, port, &mut progress)
        .unwrap_or_else(|error| Outcome::of_failure(&error, progress.received > 0));
    record.write(&format!(
        "ended id={attempt} outcome={outcome:?} received={} of={ANSWER_BYTES} after_ms={} \
         longest_pause_ms={}",
        progress.received,
        started_at.elapsed().as_millis(),
        progress.longest_pause.as_millis()
    ));
    outcome
}

/// What a caller has read.
struct Progress {
    received: usize,
    last_at: Instant,
    longest_pause: Duration,
}

fn receive(attempt: &str, port: u16, progress: &mut Progress) -> io::Result<Outcome> {
    let ends_at = Instant::now() + DEADLINE;
    let mut stream = connect_over_link(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port), None)?;
    let path = format!("/file/{attempt}");
    stream.write_all(&request("POST", &path, attempt, DEADLINE, b"an extract"))?;
    let mut portion = vec![0; if has_trouble() { PORTION_BYTES } else { ANSWER_BYTES }];
    while Instant::now() < ends_at {
        let left = ends_at.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        match stream.read(&mut portion)? {
            0 => return Ok(Outcome::CutOff),
            length => progress.received += length,
        }
        progress.longest_pause = progress.longest_pause.max(progress.last_at.elapsed());
        progress.last_at = Instant::now();
        // the head has a few hundred bytes
        if progress.received > ANSWER_BYTES {
            return Ok(Outcome::Complete(200));
        }
        if has_trouble() {
            thread::sleep(PORTION_PAUSE);
        }
    }
    Ok(Outcome::LeftAtDeadline)
}
