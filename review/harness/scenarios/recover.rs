//! RECOVER: all processes are killed and started again; then the store is down for a while in
//! which the entries of the runners lapse. The runners are back in the store within two seconds.

use super::{config, route, served_share, sleep_until, start_clients};
use crate::{
    fleet::{Balancer, Fleet, Record},
    runner::{Beats, Runner},
    store::{Outage, Store},
};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

const ROUTERS: usize = 7;
const RUNNERS: usize = 3;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long after the return of the store the runners are back in it; about two seconds are
/// allowed.
const RETURN_DELAY: Duration = Duration::from_millis(850);
/// `recoverS` of the deployment.
const RECOVER_TIME: Duration = Duration::from_secs(12);

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let store = Store::start(Some(HEARTBEAT * 3));
    let routes = [route("r1", "/t/", "idempotent", "tables")];
    store.put("keyed.op", "config", &config(3, &routes, &["tables"]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let beats = Beats { interval: HEARTBEAT, return_delay: RETURN_DELAY };
    for number in 1..=RUNNERS {
        let runner = Runner::start(
            &format!("i-{number}"),
            "tables",
            Duration::from_millis(30),
            false,
            &runs,
        );
        runner.beat(&store, beats, record);
    }
    let mut fleet = Fleet::start(ROUTERS, &store)?;
    fleet.wait_ready()?;
    let ready = fleet.routers.iter().map(|router| router.addresses.ready).collect();
    let balancer = Balancer::start(ready);
    let sent = start_clients(60, "/t/1", fleet.callers(), balancer, record);
    let started_at = Instant::now();
    sleep_until(started_at + Duration::from_secs(6));
    store.put("keyed.op", "config", &config(8, &routes, &["tables"]));
    record.line("a configuration is acknowledged");
    let fault_at = Instant::now();
    if has_trouble {
        record.line("final fault: all processes are killed");
        fleet.kill_all(Duration::from_millis(600))?;
    }
    let back_at = Instant::now();
    record.line("the machines are back");
    sleep_until(back_at + Duration::from_secs(4));
    if has_trouble {
        record.line("the store is down");
        store.set_outage(Outage::Busy);
    }
    sleep_until(back_at + Duration::from_secs(9));
    store.set_outage(Outage::None);
    record.line("the store is up");
    sleep_until(back_at + Duration::from_secs(11));
    fleet.describe(record);
    sleep_until(back_at + Duration::from_secs(40));
    fleet.describe(record);
    let sent = sent.lock().expect("requests").clone();
    let (served_before, before) = served_share(&sent, started_at, fault_at);
    let (served_after, after) = served_share(&sent, back_at + RECOVER_TIME, Instant::now());
    record.line(&format!("served before the fault: {served_before} of {before}"));
    record.line(&format!(
        "served later than recoverS after the machines are back: {served_after} of {after}"
    ));
    let is_broken = served_before * 4 >= before && served_after * 4 < after;
    Ok(!is_broken)
}
