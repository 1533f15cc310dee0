//! A runner's heartbeat is executed late by the store, after the runner's entry was removed.

use {
    crate::fleet::{Fleet, Sent},
    std::{path::Path, time::Duration},
};

/// `drainMs`.
const DRAIN_MS: u64 = 2_000;
/// Time from the heartbeat that gets no answer until its execution: the pages say seconds, the bench's
/// `platform_lost (late)` says 1 to 6 s.
const LATE_MS: u64 = 5_500;
/// Time from that heartbeat until the removal of the entry: more than `stabilityWindowMs`, 3,000.
const REMOVAL_MS: u64 = 3_400;
/// How long the runner serves after its removal: `drainMs` and a little longer, at times many seconds.
const SERVES_MS: u64 = 5_600;
/// How long the entry lasts without a heartbeat: three heartbeat intervals.
const EXPIRY_MS: u64 = 3_600;

pub fn run(folder: &Path) -> bool {
    let mut fleet = Fleet::start(4, [2, 2, 0], Duration::from_millis(250));
    fleet.start_clients(4, Duration::from_millis(250));
    let start_ms = fleet.record.now_ms() + 5_000;
    fleet.sleep_until(start_ms);

    // from here on the runner writes by the script, so that the order of its calls is known
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
    // the later heartbeats are acknowledged, each with a higher seq
    for beat_ms in [1_200, 2_400] {
        fleet.sleep_until(start_ms + beat_ms);
        fleet.store.put("keyed.servers", &runner.id, &runner.next_entry());
        fleet.record.note("i-3 writes its next heartbeat; acknowledged");
    }
    fleet.sleep_until(start_ms + REMOVAL_MS);
    fleet.store.put("keyed.servers", &runner.id, "");
    let removed_ms = fleet.record.now_ms();
    fleet.record.note("the store acknowledges the removal of i-3's entry; i-3 goes on serving");
    fleet.sleep_until(start_ms + LATE_MS);
    if fleet.has_trouble {
        fleet.store.put("keyed.servers", &runner.id, &late);
        fleet.record.note("the store executes the late heartbeat of i-3");
    }
    fleet.sleep_until(removed_ms + SERVES_MS);
    runner.end();
    let ended_ms = fleet.record.now_ms();
    fleet.record.note("i-3 exits");
    fleet.sleep_until(start_ms + LATE_MS + EXPIRY_MS);
    if fleet.has_trouble {
        fleet.store.put("keyed.servers", &runner.id, "");
        fleet.record.note("the entry of i-3 expires, after three heartbeat intervals of silence");
    }
    fleet.sleep_until(start_ms + 12_000);

    let late_ids: Vec<String> = {
        let arrivals = runner.arrivals.lock().unwrap();
        let is_late = |at_ms: u64| at_ms > removed_ms + DRAIN_MS;
        arrivals.iter().filter(|a| a.has_run && is_late(a.at_ms)).map(|a| a.id.clone()).collect()
    };
    let before = runner.arrivals.lock().unwrap().len() - late_ids.len();
    let sent = fleet.finish(folder);
    let is_late_and_lost = |sent: &&Sent| late_ids.contains(&sent.id) && sent.status != Some(200);
    let lost: Vec<&Sent> = sent.iter().filter(is_late_and_lost).collect();
    let bookings = lost.iter().filter(|sent| sent.is_booking).count();
    println!("requests: {}; at i-3 in time: {before}", sent.len());
    println!(
        "requests that ran at i-3 later than drainMs after its removal: {}; of them cut off by its \
         exit at {ended_ms} ms: {}, bookings with unknown outcome: {bookings}",
        late_ids.len(),
        lost.len()
    );
    !late_ids.is_empty()
}
