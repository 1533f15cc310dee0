mod common;

use {
    common::{ask, eventually},
    mango_standins::{EngineOptions, EngineStandin, LoadTracker},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

fn engine(tracker: &LoadTracker, name: &str) -> EngineStandin {
    EngineStandin::spawn(EngineOptions {
        name: name.to_owned(),
        tracker: Some(tracker.clone()),
        step_ms: 1.0,
        ..EngineOptions::default()
    })
}

fn start(engine: &EngineStandin) {
    let before = engine.in_flight();
    let address = engine.address();
    thread::spawn(move || ask(address, &[], "m", 1_000_000, true));
    eventually("started", || engine.in_flight() == before + 1);
}

/// Guards against a tracker that misses an overloaded engine or that reports
/// an even load as uneven.
#[test]
fn tracker_finds_an_uneven_load() {
    let tracker = LoadTracker::new(1.25);
    let (a, b) = (engine(&tracker, "a"), engine(&tracker, "b"));
    for _ in 0..4 {
        start(&a);
        start(&b);
    }
    let even = tracker.summary();
    assert_eq!((even.samples, even.over_cap), (8, 0));
    // cap after 8 in flight: ceil(1.25 / 2 * 9) = 6
    (0..2).for_each(|_| start(&a));
    assert_eq!(tracker.summary().over_cap, 0);
    (0..2).for_each(|_| start(&a));
    let uneven = tracker.summary();
    // caps 7 and 8 meet 7 and 8 in flight
    assert_eq!((uneven.over_cap, uneven.max_total), (0, 12));
    tracker.set_weight("a", 0.25);
    start(&a);
    // ceil(1.25 * 0.2 * 13) = 4
    let reading = tracker.summary();
    assert_eq!((reading.over_cap, reading.max_excess), (1, 5));
    assert_eq!((reading.engines[0].max_in_flight, reading.engines[1].max_in_flight), (9, 4));
    assert!(reading.engines[1].mean_in_flight > 0.0);
}

/// Guards against a maximum that forgets the preceding second or remembers
/// more, and against counts that a crash leaves behind.
#[test]
fn cap_uses_the_largest_total_of_the_last_second() {
    let tracker = LoadTracker::new(1.0);
    let (a, b) = (engine(&tracker, "a"), engine(&tracker, "b"));
    (0..6).for_each(|_| start(&b));
    tracker.reset();
    let crashed = Instant::now();
    b.crash();
    (0..3).for_each(|_| start(&a));
    assert!(crashed.elapsed() < Duration::from_secs(1), "machine too slow for this test");
    let reading = tracker.summary();
    // the total was 6 within the second: cap ceil(0.5 * 7) = 4
    assert_eq!((reading.samples, reading.over_cap), (3, 0));
    assert_eq!((reading.engines[0].in_flight, reading.engines[1].in_flight), (3, 0));
    thread::sleep(Duration::from_millis(1100));
    start(&a);
    // the total was 3: cap ceil(0.5 * 4) = 2, and 4 are in flight
    assert_eq!(tracker.summary().max_excess, 2);
}
