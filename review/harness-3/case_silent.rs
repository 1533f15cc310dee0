//! Idle connections to the store go silent; later a zone's relay is stopped, and the configuration
//! changes.

use {
    crate::fleet::Fleet,
    std::{collections::BTreeMap, path::Path, time::Duration},
};

/// `configApplyMs`.
const APPLY_MS: u64 = 2_000;
/// From the silence until the stop: more than `stabilityWindowMs`, 3,000.
const CALM_MS: u64 = 6_000;
/// From the stop of the relay until the change.
const CHANGE_MS: u64 = 150;

pub fn run(folder: &Path) -> bool {
    let mut fleet = Fleet::start_behind_proxy(4, [7, 2, 0], Duration::from_millis(20));
    let start_ms = fleet.record.now_ms() + 6_000;
    fleet.sleep_until(start_ms);
    if fleet.has_trouble {
        let count = fleet.silence_idle_store_connections();
        fleet.record.note(&format!(
            "{count} idle connections to the store go silent; others and new ones work"
        ));
    }
    fleet.start_version_clients(Duration::from_millis(60));
    fleet.sleep_until(start_ms + CALM_MS);
    let relay = fleet.relay_of("zone-a").expect("a relay in zone-a");
    fleet.routers[relay].terminate();
    let stopped = fleet.routers[relay].name.clone();
    fleet.record.note(&format!("planned work: SIGTERM to {stopped}, the relay of its zone"));
    std::thread::sleep(Duration::from_millis(CHANGE_MS));
    fleet.write_config(4);
    let acknowledged_ms = fleet.record.now_ms();
    fleet
        .record
        .note("the store acknowledges configuration 4: /r3/ and a key are dropped, /r4/ is new");
    fleet.sleep_until(acknowledged_ms + 6_000);
    let sent = fleet.finish(folder);

    let mut late = BTreeMap::new();
    for request in sent.iter().filter(|request| request.router != stopped) {
        let age_ms = request.sent_at_ms.saturating_sub(acknowledged_ms);
        let is_old = match request.path {
            "/r4/1" => request.status == Some(404),
            _ => request.status == Some(200),
        };
        if age_ms > APPLY_MS && is_old {
            let (count, last_ms) = late.entry((&*request.router, request.path)).or_insert((0, 0));
            *count += 1;
            *last_ms = age_ms.max(*last_ms);
        }
    }
    println!("requests: {}", sent.len());
    println!(
        "handled as only version 3 allows, though sent later than configApplyMs after the \
         acknowledgement of version 4 (/look/1: with the dropped key); count, and age of the last:"
    );
    for ((router, path), (count, last_ms)) in &late {
        println!("  {router} {path}: {count}, {last_ms} ms");
    }
    late.values().map(|(count, _)| *count).sum::<u32>() > 0
}
