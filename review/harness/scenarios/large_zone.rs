//! CONFIG: the store is silent for a while; when it is back, the operator writes a configuration
//! that moves a route. `configApplyMs` after its acknowledgement, machines in touch must not send
//! requests to the old service.

use super::{Sent, config, route, send_on_connection, sleep_until};
use crate::{
    fleet::{Fleet, Record},
    runner::{Beats, Runner},
    store::{Outage, Store},
};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Routers of the zone: one of the sheets has 114 in three zones.
const ROUTERS: usize = 38;
const OUTAGE: Duration = Duration::from_millis(6_200);
/// Bounds of the deployment.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let store = Store::start(None);
    let routes = |service| [route("r1", "/t/", "idempotent", service)];
    store.put("keyed.op", "config", &config(3, &routes("old"), &["old", "new"]));
    let runs = Arc::default();
    let beats = Beats { interval: HEARTBEAT, return_delay: Duration::from_millis(300) };
    for service in ["old", "new"] {
        for number in 1..=2 {
            let id = format!("i-{service}-{number}");
            let runner = Runner::start(&id, service, Duration::from_millis(10), false, &runs);
            runner.beat(&store, beats, record);
        }
    }
    let fleet = Fleet::start(ROUTERS, &store)?;
    fleet.wait_ready()?;
    let callers = fleet.callers();
    // a client with an open connection at each router; it stays with its router
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = callers
        .into_iter()
        .enumerate()
        .map(|(router, address)| {
            let (sent, record, is_over) = (sent.clone(), record.clone(), is_over.clone());
            thread::spawn(move || {
                let mut connection = None;
                while !is_over.load(Ordering::Relaxed) {
                    let request =
                        send_on_connection(&mut connection, "/t/1", router, address, &record);
                    sent.lock().expect("requests").push(request);
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    let started_at = Instant::now();
    sleep_until(started_at + Duration::from_secs(5));
    if has_trouble {
        record.line("the store is down");
        store.set_outage(Outage::Silent);
    }
    sleep_until(started_at + Duration::from_secs(5) + OUTAGE);
    store.set_outage(Outage::None);
    record.line("the store is up");
    let returned_at = Instant::now();
    thread::sleep(Duration::from_millis(200));
    store.put("keyed.op", "config", &config(9, &routes("new"), &["old", "new"]));
    let acknowledged_at = Instant::now();
    record.line("a configuration that moves the route is acknowledged");
    sleep_until(returned_at + Duration::from_secs(9));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().expect("requests").clone();
    // the store is stable, so that calm machines are in touch, `stabilityWindowMs` after its return
    let due = (acknowledged_at + CONFIG_APPLY).max(returned_at + STABILITY_WINDOW);
    let mut late = 0;
    for request in
        sent.iter().filter(|request| request.at > due && request.body.starts_with("i-old"))
    {
        late += 1;
        let after_ack = (request.at - acknowledged_at).as_millis();
        let after_return = (request.at - returned_at).as_millis();
        record.line(&format!(
            "request {} ran by the old service: router={} sent {after_ack} ms after the acknowledgement, \
             {after_return} ms after the return of the store",
            request.id, request.router
        ));
    }
    let last_old = sent
        .iter()
        .filter(|request| request.body.starts_with("i-old"))
        .map(|request| request.at)
        .max();
    let last_old = last_old.map_or(0, |at| (at - returned_at).as_millis());
    record.line(&format!(
        "requests: {}; last one at the old service {last_old} ms after the return",
        sent.len()
    ));
    record
        .line(&format!("requests of machines in touch at the old service after the bound: {late}"));
    Ok(late == 0)
}
