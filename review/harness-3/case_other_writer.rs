//! After a final fault, one entry of another writer stands under the key of each runner until the
//! runner's next heartbeat.

use {
    crate::{
        fleet::{Fleet, SERVICE},
        router::Router,
    },
    std::{collections::BTreeMap, path::Path, thread, time::Duration},
};

/// `recoverS`.
const RECOVER_MS: u64 = 12_000;
/// How long the processes are down.
const DOWN: Duration = Duration::from_millis(600);
/// When the other writer writes, after the machines are back.
const WRITTEN_MS: u64 = 3_000;
/// How long is judged before the fault, and from `recoverS` on.
const JUDGED_MS: u64 = 8_000;

/// Clients at each router of a zone, so that the zones' traffic is as on the sheet of Mzdy-Most (25.3, 26.0
/// and 21.5 a second).
const PER_ROUTER: [usize; 3] = [4, 7, 6];
/// Each client's requests are so far apart, with a repeat between them.
const PERIOD: Duration = Duration::from_millis(1_500);

pub fn run(folder: &Path) -> bool {
    let mut fleet = Fleet::start(4, [7, 4, 4], Duration::from_millis(30));
    fleet.start_returning_clients(PER_ROUTER, PERIOD);
    let fault_ms = fleet.record.now_ms() + JUDGED_MS;
    fleet.sleep_until(fault_ms);

    fleet.write_config(4);
    fleet.record.note("the store acknowledges configuration 4");
    fleet.routers.iter_mut().for_each(Router::kill);
    let killed_ms = fleet.record.now_ms();
    fleet.record.note("final fault: all routers are killed");
    thread::sleep(DOWN);
    fleet.routers.iter_mut().for_each(Router::start_again);
    let back_ms = fleet.record.now_ms();
    fleet.record.note("the routers are started again");
    fleet.routers.iter().for_each(Router::wait_ready);
    fleet.record.note("all routers are ready");

    fleet.sleep_until(back_ms + WRITTEN_MS);
    let is_own = format!("\"service\":\"{SERVICE}\"");
    for runner in fleet.runners.iter().filter(|_| fleet.has_trouble) {
        let entry = runner.next_entry().replace(&is_own, "\"service\":\"elsewhere\"");
        fleet.store.put("keyed.servers", &runner.id, &entry);
    }
    if fleet.has_trouble {
        fleet.record.note("another writer's entry, with an unknown service, for each runner, once");
    }
    fleet.sleep_until(back_ms + RECOVER_MS + JUDGED_MS);
    let ready = fleet.routers.iter().filter(|router| router.is_ready()).count();
    let all = fleet.routers.len();
    let sent = fleet.finish(folder);

    let served = |from_ms: u64, until_ms: u64| {
        let judged = sent.iter().filter(|s| (from_ms..until_ms).contains(&s.sent_at_ms));
        let (mut all, mut served) = (0, 0);
        let mut statuses = BTreeMap::new();
        for request in judged {
            all += 1;
            served += u32::from(request.status == Some(200));
            *statuses.entry(request.status).or_insert(0) += 1;
        }
        println!("requests sent from {from_ms} to {until_ms} ms: {all}, by status: {statuses:?}");
        f64::from(served) / f64::from(all.max(1))
    };
    let before = served(2_000, killed_ms.saturating_sub(500));
    let after = served(back_ms + RECOVER_MS, back_ms + RECOVER_MS + JUDGED_MS);
    println!("served before the fault: {before:.3}; later than recoverS after it: {after:.3}");
    println!("routers that say at the end that they are ready: {ready} of {all}");
    before >= 0.25 && after < 0.25
}
