//! Callers that read slowly make a router exceed the memory of its machine.

use {
    crate::{
        CaseResult,
        caller::{Outcome, count, request},
        config::{Route, config},
        has_trouble,
        http::{Head, Wire},
        record::Record,
        router::{MEMORY_MB, Router},
        runner::{Identity, spawn_runners},
        socket::connect_over_link,
        store::Store,
    },
    std::{
        io::{self, Read, Write},
        net::{Ipv4Addr, SocketAddrV4, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const REPORT_BYTES: usize = 2_000_000;
const SLOW_CALLERS: usize = 300;
/// Pause between the starts of two slow callers.
const START_PAUSE: Duration = Duration::from_millis(10);
/// A slow caller reads 200 kB a second: the whole report would be there after 10 s, within its deadline.
const PORTION_BYTES: usize = 40_000;
const PORTION_PAUSE: Duration = Duration::from_millis(200);
const REPORT_DEADLINE: Duration = Duration::from_secs(12);
/// Receive buffer of a slow caller.
const RECEIVE_BUFFER_BYTES: i32 = 32_768;

const BOOKING_CALLERS: usize = 10;
const BOOKING_TIME: Duration = Duration::from_millis(400);
const BOOKING_DEADLINE: Duration = Duration::from_secs(3);
/// Requests that a machine in touch may lose, by LOST.
const ALLOWED_LOSSES: usize = 3;

pub fn play(record: &Arc<Record>) -> CaseResult {
    let text = |error: io::Error| error.to_string();
    let store = Store::spawn().map_err(text)?;
    let report = vec![b'r'; REPORT_BYTES];
    let answer = move |identity: &Identity, head: &Head, wire: &mut Wire| {
        wire.respond("200 OK", &identity.signature(head), &report)
    };
    spawn_runners(&store, record, ("report", 12, 64), Box::new(answer)).map_err(text)?;
    let book = |identity: &Identity, head: &Head, wire: &mut Wire| {
        thread::sleep(BOOKING_TIME);
        wire.respond("200 OK", &identity.signature(head), b"booked")
    };
    let runs = spawn_runners(&store, record, ("book", 3, 6), Box::new(book)).map_err(text)?;
    let route = |name, kind, timeout: Duration, max_attempts| Route {
        name,
        kind,
        service: name,
        timeout_ms: timeout.as_millis() as u64,
        max_attempts,
        is_resumable: false,
    };
    let routes = [
        route("report", "idempotent", REPORT_DEADLINE, 2),
        route("book", "non_idempotent", BOOKING_DEADLINE, 1),
    ];
    store.put("keyed.op", "config", config(&routes).as_bytes());
    let router = Arc::new(Router::start(&store)?);
    thread::sleep(Duration::from_secs(1));

    let (peak_mb, is_killed) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicBool::new(false)));
    watch_memory(&router, record, &peak_mb, &is_killed);
    let ends = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(Mutex::new(Vec::new()));
    let bookers: Vec<_> = (0..BOOKING_CALLERS)
        .map(|number| {
            let (port, record) = (router.port, record.clone());
            let (ends, lost) = (ends.clone(), lost.clone());
            thread::spawn(move || keep_booking(number, port, &record, &ends, &lost))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let callers: Vec<_> = (0..SLOW_CALLERS)
        .map(|number| {
            thread::sleep(START_PAUSE);
            let (port, record) = (router.port, record.clone());
            thread::spawn(move || read_report(number, port, &record))
        })
        .collect();
    let outcomes: Vec<Outcome> =
        callers.into_iter().map(|caller| caller.join().unwrap_or(Outcome::NoAnswer)).collect();
    ends.store(true, Ordering::Relaxed);
    let bookings: usize = bookers.into_iter().map(|booker| booker.join().unwrap_or(0)).sum();

    // only bookings count that a sound runner had begun, and whose connection ended without an answer
    let runs = runs.lock().expect("runs");
    let lost: Vec<String> =
        lost.lock().expect("lost").iter().filter(|id| runs.contains(*id)).cloned().collect();
    let (peak_mb, is_killed) = (peak_mb.load(Ordering::Relaxed), is_killed.load(Ordering::Relaxed));
    let summary = format!(
        "peak {peak_mb} MB of {MEMORY_MB}, killed: {is_killed}, {bookings} bookings, {} lost; \
         reports: {}",
        lost.len(),
        count(&outcomes)
    );
    record.write(&format!("lost {}", lost.join(" ")));
    record.write(&format!("summary {summary}"));
    println!("{summary}");
    Ok(is_killed && lost.len() > ALLOWED_LOSSES)
}

/// The platform: a process that exceeds the memory of its machine is killed.
fn watch_memory(
    router: &Arc<Router>,
    record: &Arc<Record>,
    peak_mb: &Arc<AtomicU32>,
    is_killed: &Arc<AtomicBool>,
) {
    let router = Arc::downgrade(router);
    let (record, peak_mb, is_killed) = (record.clone(), peak_mb.clone(), is_killed.clone());
    thread::spawn(move || {
        while let Some(router) = router.upgrade() {
            let Some(resident_mb) = router.resident_mb() else { return };
            peak_mb.fetch_max(resident_mb, Ordering::Relaxed);
            if resident_mb > MEMORY_MB {
                record.write(&format!("platform_kills resident_mb={resident_mb} of={MEMORY_MB}"));
                is_killed.store(true, Ordering::Relaxed);
                router.kill();
                return;
            }
            drop(router);
            thread::sleep(Duration::from_millis(20));
        }
    });
}

/// Books on one kept connection until it ends. Returns how many bookings were sent.
fn keep_booking(
    caller: usize,
    port: u16,
    record: &Record,
    ends: &AtomicBool,
    lost: &Mutex<Vec<String>>,
) -> usize {
    let Ok(stream) = TcpStream::connect(("127.0.0.1", port)) else { return 0 };
    let mut wire = Wire::new(stream);
    let mut number = 0;
    while !ends.load(Ordering::Relaxed) {
        let attempt = format!("b{caller:02}-{number:04}");
        number += 1;
        record.write(&format!("sent id={attempt}"));
        match book(&mut wire, &attempt) {
            Ok(status) => record.write(&format!("answered id={attempt} status={status}")),
            Err(error) => {
                record.write(&format!("connection_ended id={attempt} reason={:?}", error.kind()));
                lost.lock().expect("lost").push(attempt);
                return number;
            }
        }
    }
    number
}

fn book(wire: &mut Wire, attempt: &str) -> io::Result<u16> {
    let path = format!("/book/{attempt}");
    wire.write(&request("POST", &path, attempt, BOOKING_DEADLINE, b"visit"))?;
    let head = wire.read_head()?;
    wire.read_exact(head.content_length())?;
    Ok(head.status())
}

/// Asks for a report on a connection of its own and reads it slowly.
fn read_report(number: usize, port: u16, record: &Record) -> Outcome {
    let attempt = format!("a{number:05}");
    record.write(&format!("sent id={attempt}"));
    let mut received = 0;
    let outcome = receive_report(&attempt, port, &mut received)
        .unwrap_or_else(|error| Outcome::of_failure(&error, received > 0));
    record.write(&format!("ended id={attempt} outcome={outcome:?} received={received}"));
    outcome
}

fn receive_report(attempt: &str, port: u16, received: &mut usize) -> io::Result<Outcome> {
    let ends_at = Instant::now() + REPORT_DEADLINE;
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    let mut stream = connect_over_link(address, Some(RECEIVE_BUFFER_BYTES))?;
    let path = format!("/report/{attempt}");
    stream.write_all(&request("GET", &path, attempt, REPORT_DEADLINE, b""))?;
    let mut portion = vec![0; PORTION_BYTES];
    while Instant::now() < ends_at {
        let left = ends_at.saturating_duration_since(Instant::now());
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        match stream.read(&mut portion)? {
            0 => return Ok(Outcome::CutOff),
            length => *received += length,
        }
        // the head has a few hundred bytes
        if *received > REPORT_BYTES {
            return Ok(Outcome::Complete(200));
        }
        if has_trouble() {
            thread::sleep(PORTION_PAUSE);
        }
    }
    Ok(Outcome::LeftAtDeadline)
}
