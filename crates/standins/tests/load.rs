mod common;

use {
    common::{eventually, send_chat},
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

/// Starts a request that runs until the end of the test.
fn start_request(engine: &EngineStandin) {
    let before = engine.in_flight();
    let address = engine.address();
    thread::spawn(move || send_chat(address, &[], "m", 1_000_000, true));
    eventually("the request is in flight", || engine.in_flight() == before + 1);
}

/// Guards against a tracker that misses an overloaded engine or that reports
/// an even load as uneven.
#[test]
fn tracker_finds_an_uneven_load() {
    let tracker = LoadTracker::new(1.25);
    let (a, b) = (engine(&tracker, "a"), engine(&tracker, "b"));
    for _ in 0..4 {
        start_request(&a);
        start_request(&b);
    }
    let even = tracker.summary();
    assert_eq!((even.samples, even.over_cap), (8, 0));
    // after 8 requests in flight, the cap of an engine is ceil(1.25 * 0.5 * 9) = 6
    (0..2).for_each(|_| start_request(&a));
    assert_eq!(tracker.summary().over_cap, 0);
    (0..2).for_each(|_| start_request(&a));
    let uneven = tracker.summary();
    // the caps are 7 and 8; engine a has 7 and 8 requests in flight
    assert_eq!((uneven.over_cap, uneven.max_total), (0, 12));
    tracker.set_weight("a", 0.25);
    start_request(&a);
    // the cap is ceil(1.25 * 0.2 * 13) = 4; engine a has 9 requests in flight
    let summary = tracker.summary();
    assert_eq!((summary.over_cap, summary.max_excess), (1, 5));
    assert_eq!((summary.engines[0].max_in_flight, summary.engines[1].max_in_flight), (9, 4));
    assert!(summary.engines[1].mean_in_flight > 0.0);
}

/// Guards against a cap that ignores the largest number of requests in flight in the last
/// second, or uses an older one, and against requests of a crashed engine that stay counted.
#[test]
fn cap_uses_the_largest_total_of_the_last_second() {
    let tracker = LoadTracker::new(1.0);
    let (a, b) = (engine(&tracker, "a"), engine(&tracker, "b"));
    (0..6).for_each(|_| start_request(&b));
    tracker.reset();
    let crashed = Instant::now();
    b.crash();
    (0..3).for_each(|_| start_request(&a));
    assert!(crashed.elapsed() < Duration::from_secs(1), "machine too slow for this test");
    let summary = tracker.summary();
    // the largest total of the last second is 6, so the cap is ceil(0.5 * 7) = 4
    assert_eq!((summary.samples, summary.over_cap), (3, 0));
    assert_eq!((summary.engines[0].in_flight, summary.engines[1].in_flight), (3, 0));
    thread::sleep(Duration::from_millis(1100));
    start_request(&a);
    // the largest total of the last second is 3, so the cap is ceil(0.5 * 4) = 2; engine a
    // has 4 requests in flight
    assert_eq!(tracker.summary().max_excess, 2);
}
