//! A runner's `ready` heartbeat is executed late by the store, after its `draining` entry; a router that
//! is added afterwards learns of the runner from its zone's relay.

use {
    crate::fleet::Fleet,
    std::{path::Path, time::Duration},
};

/// `drainMs`, `stabilityWindowMs`.
const DRAIN_MS: u64 = 2_000;
const STABILITY_MS: u64 = 3_000;
/// Times after the heartbeat that gets no answer: of the `draining` entry, of the execution of that
/// heartbeat, of the start of the new router and of the runner's exit.
const DRAINING_MS: u64 = 3_400;
const LATE_MS: u64 = 5_500;
const ADDED_MS: u64 = 6_300;
const EXIT_MS: u64 = 13_000;

pub fn run(folder: &Path) -> bool {
    let mut fleet = Fleet::start(4, [7, 2, 0], Duration::from_millis(250));
    fleet.start_clients(2, Duration::from_millis(250));
    let start_ms = fleet.record.now_ms() + 5_000;
    fleet.sleep_until(start_ms);

    let runner = fleet.runners[3].clone();
    runner.set_beats(false);
    let late = runner.next_entry();
    if fleet.has_trouble {
        fleet
            .record
            .note("i-3 writes its heartbeat; the call gets no answer, and is not executed yet");
    } else {
        fleet.store.put("keyed.servers", &runner.id, &late);
        fleet.record.note("i-3 writes its heartbeat; acknowledged");
    }
    for beat_ms in [1_200, 2_400] {
        fleet.sleep_until(start_ms + beat_ms);
        fleet.store.put("keyed.servers", &runner.id, &runner.next_entry());
        fleet.record.note("i-3 writes its next heartbeat; acknowledged");
    }
    fleet.sleep_until(start_ms + DRAINING_MS);
    runner.set_draining();
    fleet.store.put("keyed.servers", &runner.id, &runner.next_entry());
    let drained_ms = fleet.record.now_ms();
    fleet.record.note("the store acknowledges that i-3 is draining; i-3 goes on serving");
    // the runner goes on with its heartbeats, now `draining`
    runner.set_beats(true);
    fleet.sleep_until(start_ms + LATE_MS);
    if fleet.has_trouble {
        fleet.store.put("keyed.servers", &runner.id, &late);
        fleet.record.note("the store executes the late heartbeat of i-3, `ready`");
    }
    fleet.sleep_until(start_ms + ADDED_MS);
    let added = fleet.add_routers(&["front-zone-a-8", "front-zone-a-9"], "zone-a");
    let added_ms = fleet.record.now_ms();
    fleet.record.note("two routers are added to zone-a, and are ready");
    for router in added {
        fleet.start_clients_of(router, 4, Duration::from_millis(250));
    }
    fleet.sleep_until(start_ms + EXIT_MS);
    runner.set_beats(false);
    runner.end();
    fleet.store.put("keyed.servers", &runner.id, "");
    let ended_ms = fleet.record.now_ms();
    fleet.record.note("i-3 exits and removes its entry");
    fleet.sleep_until(start_ms + EXIT_MS + 2_000);

    let arrivals = runner.arrivals.lock().unwrap().clone();
    let sent = fleet.finish(folder);
    let bound_ms = (drained_ms + DRAIN_MS).max(added_ms + STABILITY_MS);
    let is_late = |id: &str, at_ms: u64| {
        let sent = sent.iter().find(|sent| sent.id == id);
        at_ms > drained_ms + DRAIN_MS && sent.is_some_and(|sent| sent.sent_at_ms > bound_ms)
    };
    let late: Vec<_> = arrivals.iter().filter(|a| a.has_run && is_late(&a.id, a.at_ms)).collect();
    let mut by_router = std::collections::BTreeMap::new();
    for arrival in &late {
        let router = sent.iter().find(|sent| sent.id == arrival.id).map(|sent| &*sent.router);
        *by_router.entry(router.unwrap_or("-")).or_insert(0) += 1;
    }
    let lost =
        late.iter().filter(|a| sent.iter().any(|s| s.id == a.id && s.status != Some(200))).count();
    println!(
        "requests: {}; at i-3 until its drain: {}",
        sent.len(),
        arrivals.iter().filter(|a| a.at_ms <= drained_ms + DRAIN_MS).count()
    );
    println!(
        "requests that ran at i-3 later than drainMs after it was draining, through routers in \
         touch: {} {by_router:?}; cut off by its exit at {ended_ms} ms: {lost}",
        late.len()
    );
    !late.is_empty()
}
