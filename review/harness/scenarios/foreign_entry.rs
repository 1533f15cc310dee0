//! ROUTE: another writer leaves an entry with missing fields under the id of a runner. Such an
//! entry names no runner to use.

use super::{config, route, send_request, sleep_until};
use crate::{
    fleet::{Fleet, Record},
    runner::{Beats, Run, Runner},
    store::Store,
};
use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let store = Store::start(Some(HEARTBEAT * 3));
    // each service has a route of its own in the only configuration of the day
    let routes = [
        route("r-submit", "/submit/", "non_idempotent", "portal"),
        route("r-tables", "/tables/", "idempotent", "tables"),
    ];
    store.put("keyed.op", "config", &config(3, &routes, &["portal", "tables"]));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let beats = Beats { interval: HEARTBEAT, return_delay: Duration::ZERO };
    let mut runners = Vec::new();
    for service in ["portal", "tables"] {
        for number in 1..=2 {
            let id = format!("i-{service}-{number}");
            let runner = Runner::start(&id, service, Duration::from_millis(80), false, &runs);
            runner.beat(&store, beats, record);
            runners.push(runner);
        }
    }
    let fleet = Fleet::start(2, &store)?;
    fleet.wait_ready()?;
    let callers = fleet.callers();
    let started_at = Instant::now();
    let mut is_written = false;
    let mut number = 0;
    while started_at.elapsed() < Duration::from_secs(14) {
        if has_trouble && !is_written && started_at.elapsed() > Duration::from_secs(5) {
            is_written = true;
            // no zone, no version, no coldRemainingMs, no born; the writer counts in seconds
            let runner = &runners[2];
            let seconds =
                SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
            let entry = format!(
                "{{\"service\":\"portal\",\"address\":\"{}\",\"slots\":64,\"state\":\"ready\",\"seq\":{seconds}}}",
                runner.address
            );
            record.line(&format!("another writer: servers/{} = {entry}", runner.id));
            store.put("keyed.servers", &runner.id, &entry);
        }
        // several clients at once, as in the peaks of a day
        let router = number % callers.len();
        for client in 0..10 {
            let path = if client < 6 { "/submit/1" } else { "/tables/1" };
            let (address, record) = (callers[router], record.clone());
            thread::spawn(move || send_request("POST", path, router, address, &record));
        }
        number += 1;
        thread::sleep(Duration::from_millis(100));
    }
    sleep_until(started_at + Duration::from_secs(16));
    let runs = runs.lock().expect("runs").clone();
    let mut wrong = 0;
    for run in &runs {
        let allowed = if run.path.starts_with("/submit/") { "portal" } else { "tables" };
        let at = run.at.saturating_duration_since(started_at).as_secs_f64();
        record.line(&format!(
            "run {} {} by {} of {} at {at:.3}",
            run.id, run.path, run.runner, run.service
        ));
        if run.service != allowed {
            wrong += 1;
        }
    }
    record.line(&format!(
        "requests that ran: {}, by a service to which no configuration lets them go: {wrong}",
        runs.len()
    ));
    Ok(wrong == 0)
}
