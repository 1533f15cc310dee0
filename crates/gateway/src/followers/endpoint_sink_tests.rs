use {
    super::{EndpointSink, RawRecord, record_sink::RecordSink, tests::raw},
    crate::{
        endpoints::{Directory, EndpointRecord, EndpointState},
        telemetry::GatewayMetrics,
    },
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Decodes `SEQUENCE` or `SEQUENCE draining`.
fn decode_endpoint(key: &str, bytes: &[u8]) -> Result<EndpointRecord, Box<str>> {
    let text = std::str::from_utf8(bytes).map_err(|_| "not text")?;
    let (text, state) = match text.strip_suffix(" draining") {
        Some(sequence) => (sequence, EndpointState::Draining),
        None => (text, EndpointState::Ready),
    };
    Ok(EndpointRecord {
        id: key.into(),
        service: "s".into(),
        address: "127.0.0.1:9".parse().map_err(|_| "address")?,
        zone: "z".into(),
        software_version: "v1".into(),
        slots: 1,
        state,
        cold_ms: 0,
        started_at_unix_ms: 1_000,
        sequence: text.parse().map_err(|_| "not a number")?,
    })
}

pub(super) fn endpoint_sink(directory: &Rc<Directory>) -> EndpointSink {
    let metrics = Rc::new(GatewayMetrics::new());
    EndpointSink::new(
        directory.clone(),
        decode_endpoint,
        Duration::from_millis(1_000),
        Duration::from_millis(750),
        metrics,
    )
}

/// Tells the sink that the store is back, with these changes since the last confirmation.
fn end_outage(sink: &mut EndpointSink, outage: Duration, changes: &[RawRecord], now: Instant) {
    let returned_at = sink.return_time(outage, changes, now);
    sink.store_returned(outage, returned_at);
}

/// This number of heartbeats of the endpoints `a` and `b`.
fn heartbeats(count: usize) -> Vec<RawRecord> {
    (0..count).map(|index| raw(2 + index as u64, ["a", "b"][index % 2], "2")).collect()
}

/// Guards against an empty directory after an outage of the store that was longer than the
/// lifetime of its records.
#[test]
fn records_that_expired_in_an_outage_are_kept_for_a_while() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "1"), raw(1, "b", "1")], now);
    end_outage(&mut sink, Duration::from_secs(6), &heartbeats(2), now);
    sink.apply(&raw(2, "a", ""), now);
    assert_eq!(directory.len(), 2);
    assert!(sink.expire(now).is_some());
}

/// Guards against requests to endpoints that left while only this host could not reach the
/// store: the log then holds the heartbeats of the other endpoints.
#[test]
fn removals_apply_at_once_when_endpoints_reached_the_store() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "1"), raw(1, "b", "1")], now);
    end_outage(&mut sink, Duration::from_secs(6), &heartbeats(11), now);
    sink.apply(&raw(2, "a", ""), now);
    assert_eq!(directory.len(), 1);
}

/// Guards against requests to an endpoint that leaves shortly after the store's recovery: a
/// host that reaches the store later than others keeps removed endpoints only for the rest of
/// the time in which endpoints write expired records again.
#[test]
fn expired_records_are_kept_from_the_recovery_of_the_store_on() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "1"), raw(1, "b", "1")], now);
    // both endpoints write one heartbeat per second: the store has been back for a second
    end_outage(&mut sink, Duration::from_secs(9), &heartbeats(2), now);
    sink.apply(&raw(4, "a", ""), now);
    let until = sink.expire(now).expect("a time");
    assert!(until - now <= Duration::from_millis(1_150), "{:?}", until - now);
    assert!(until - now >= Duration::from_millis(900), "{:?}", until - now);
}

/// Guards against a metric that shows endpoints which the host no longer knows.
#[test]
fn the_number_of_endpoints_counts_no_expired_ones() {
    let directory = Rc::new(Directory::default());
    let metrics = Rc::new(GatewayMetrics::new());
    let (heartbeat, poll_pause) = (Duration::from_millis(1_000), Duration::from_millis(750));
    let mut sink =
        EndpointSink::new(directory, decode_endpoint, heartbeat, poll_pause, metrics.clone());
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "1"), raw(1, "b", "1")], now);
    end_outage(&mut sink, Duration::from_secs(6), &[], now);
    sink.apply(&raw(2, "a", ""), now);
    assert_eq!(metrics.endpoints.get(), 2);
    sink.expire(now + Duration::from_secs(3));
    assert_eq!(metrics.endpoints.get(), 1);
}

/// Guards against endpoints that are dropped although their records are about to be written again:
/// the removals in the log were taken for heartbeats, as if the store had been back for a while.
#[test]
fn removals_do_not_shorten_the_time_for_which_expired_records_are_kept() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "1"), raw(1, "b", "1")], now);
    let removals = [raw(2, "a", ""), raw(3, "b", "")];
    end_outage(&mut sink, Duration::from_secs(6), &removals, now);
    assert!(removals.iter().all(|removal| sink.apply(removal, now)));
    let until = sink.expire(now).expect("a time");
    // the time within which endpoints are back
    assert!(until - now >= Duration::from_millis(1_950), "{:?}", until - now);
}

/// Guards against invalid records of other writers that prevent valid records from being applied.
#[test]
fn unreadable_records_add_no_endpoint() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "torn"), raw(1, "b", "1")], now);
    assert!(!sink.apply(&raw(2, "b", "\u{fffd}"), now));
    assert_eq!(directory.len(), 1);
}

/// Guards against an endpoint that some hosts never learn of again: they listed the log while its
/// newest record was unreadable, and take changes from a relay that saw no change.
#[test]
fn the_record_after_an_unreadable_one_is_passed_on() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "1")], now);
    assert!(!sink.apply(&raw(1, "a", "torn"), now));
    assert!(sink.apply(&raw(2, "a", "2"), now));
    assert!(!sink.apply(&raw(3, "a", "3"), now), "a heartbeat changes nothing");
    sink.replace_all(&[raw(4, "a", "torn")], now);
    assert_eq!(directory.len(), 1, "the endpoint keeps its last record");
}

/// Guards against requests to an endpoint that has left: a relay that did not know the endpoint, since
/// it had followed a host that lost it, passed its removal on to none of the hosts that knew it.
#[test]
fn the_removal_of_an_endpoint_that_the_relay_does_not_know_is_passed_on() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "1")], now);
    assert!(sink.apply(&raw(1, "b", ""), now));
}

/// Guards against hosts that lose an endpoint for good: the relay kept an endpoint whose record had
/// expired in an outage, passed the removal on, and did not pass on that the record was back.
#[test]
fn a_record_that_is_back_is_passed_on_by_a_relay_that_kept_the_endpoint() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "1"), raw(1, "b", "1")], now);
    end_outage(&mut sink, Duration::from_secs(6), &[], now);
    assert!(sink.apply(&raw(2, "a", ""), now));
    assert_eq!(directory.len(), 2, "the endpoint is kept");
    assert!(sink.apply(&raw(3, "a", "2"), now));
}

/// Guards against a draining record that is not passed on, because a misdirected request had already
/// marked the endpoint as leaving.
#[test]
fn a_drain_is_passed_on_even_if_the_endpoint_is_already_leaving() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "1")], now);
    directory.of_service("s")[0].set_leaving();
    assert!(sink.apply(&raw(1, "a", "2 draining"), now));
}

/// Guards against a record of another writer whose sequence number hides all later records of the
/// endpoint.
#[test]
fn a_record_with_an_impossible_number_hides_no_later_one() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "1")], now);
    sink.apply(&raw(1, "a", "18446744073709551615"), now);
    let sequence = || directory.of_service("s")[0].record.borrow().sequence;
    assert_eq!(sequence(), 1);
    sink.apply(&raw(2, "a", "2"), now);
    assert_eq!(sequence(), 2);
}
