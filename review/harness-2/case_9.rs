//! Streams of runners that read a long body slowly while they answer are cut off.

use {
    crate::{
        CaseResult,
        caller::{call_stream, count},
        case_7::{BODY_BYTES, BODY_BYTES_PER_S, BUDGET_TIME, DEADLINE, route},
        config::config,
        has_trouble,
        record::Record,
        router::Router,
        store::Store,
        stream_runner::{Pace, spawn_stream_runners},
    },
    std::{io, sync::Arc, thread, time::Duration},
};

const CALLERS: usize = 10;
/// Requests that a machine in touch may lose, by LOST.
const ALLOWED_LOSSES: usize = 3;

pub fn play(record: &Arc<Record>) -> CaseResult {
    let text = |error: io::Error| error.to_string();
    let store = Store::spawn().map_err(text)?;
    let pace = Pace {
        first_event: Duration::from_millis(100),
        events: 38,
        event_pause: Duration::from_millis(250),
        body_bytes_per_s: has_trouble().then_some(BODY_BYTES_PER_S),
    };
    let works = spawn_stream_runners(&store, record, ("model", 3, 64), pace).map_err(text)?;
    store.put("keyed.op", "config", config(&[route()]).as_bytes());
    let router = Router::start(&store)?;
    thread::sleep(BUDGET_TIME);
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (port, record) = (router.port, record.clone());
            thread::spawn(move || {
                let attempt = format!("a{number:05}");
                let path = format!("/plan/{attempt}");
                call_stream(port, &record, (&path, &attempt), DEADLINE, &vec![b'p'; BODY_BYTES])
            })
        })
        .collect();
    let outcomes: Vec<_> = callers.into_iter().flat_map(|caller| caller.join()).collect();
    if router.resident_mb().is_none() {
        return Err("the router ended".to_owned());
    }
    let runs: usize = works.lock().expect("works").values().map(Vec::len).sum();
    let summary = format!("{runs} runs of {CALLERS} requests, {}", count(&outcomes));
    record.write(&format!("summary {summary}"));
    println!("{summary}");
    Ok(outcomes.iter().filter(|outcome| outcome.is_lost()).count() > ALLOWED_LOSSES)
}
