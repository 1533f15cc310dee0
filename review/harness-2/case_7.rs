//! A resumable stream goes on at a second runner while the first, which reads a long body slowly, still
//! works on it.

use {
    crate::{
        CaseResult,
        caller::{call_stream, count},
        config::{Route, config},
        has_trouble,
        record::Record,
        router::Router,
        store::Store,
        stream_runner::{Pace, spawn_stream_runners},
    },
    std::{
        io,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const CALLERS: usize = 10;
/// As in the largest requests of season-markdown-plan.
pub const BODY_BYTES: usize = 70_000;
/// A body is read within 11.7 s.
pub const BODY_BYTES_PER_S: usize = 6_000;
pub const DEADLINE: Duration = Duration::from_secs(12);
/// A repeat draws on the budget, which starts empty.
pub const BUDGET_TIME: Duration = Duration::from_secs(6);
/// By TWICE, the runner before may work on for this long.
const ALLOWED_OVERLAP: Duration = Duration::from_millis(400);

/// The route season-markdown-plan of the site.
pub fn route() -> Route {
    Route {
        name: "plan",
        kind: "streaming",
        service: "model",
        timeout_ms: DEADLINE.as_millis() as u64,
        max_attempts: 2,
        is_resumable: true,
    }
}

pub fn play(record: &Arc<Record>) -> CaseResult {
    let text = |error: io::Error| error.to_string();
    let store = Store::spawn().map_err(text)?;
    let pace = Pace {
        first_event: Duration::from_secs(3),
        events: 10,
        event_pause: Duration::from_millis(100),
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
    thread::sleep(Duration::from_millis(500));
    if router.resident_mb().is_none() {
        return Err("the router ended".to_owned());
    }
    let works = works.lock().expect("works");
    let (mut runs, mut twice) = (0, 0);
    for (attempt, works) in works.iter() {
        runs += works.len();
        for pair in works.windows(2) {
            let (before, after) = (&pair[0], &pair[1]);
            let ended_at = before.ended_at.unwrap_or_else(Instant::now);
            let overlap = ended_at.saturating_duration_since(after.began_at);
            if before.runner != after.runner && overlap > ALLOWED_OVERLAP {
                twice += 1;
                record.write(&format!(
                    "twice id={attempt} before={} after={} overlap_ms={}",
                    before.runner,
                    after.runner,
                    overlap.as_millis()
                ));
            }
        }
    }
    let summary = format!(
        "{runs} runs of {CALLERS} requests, {twice} at two runners at once; {}",
        count(&outcomes)
    );
    record.write(&format!("summary {summary}"));
    println!("{summary}");
    Ok(twice > 0)
}
