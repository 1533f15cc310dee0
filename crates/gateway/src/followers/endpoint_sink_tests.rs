use {
    super::{EndpointSink, record_sink::RecordSink, tests::raw},
    crate::{
        endpoints::{Directory, EndpointRecord},
        records::RawRecord,
        telemetry::GatewayMetrics,
    },
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

const HEARTBEAT: Duration = Duration::from_millis(1_000);

/// Decodes `SEQUENCE FIELD=VALUE ...`; the fields `state`, `start`, `service` and `address` have defaults.
fn decode_endpoint(key: &str, bytes: &[u8]) -> Result<EndpointRecord, Box<str>> {
    let text = std::str::from_utf8(bytes).map_err(|_| "not text")?;
    let (sequence, fields) = text.split_once(' ').unwrap_or((text, ""));
    let field = |name: &str, default: &'static str| {
        let fields = fields.split(' ').filter_map(|field| field.split_once('='));
        fields.rev().find(|(key, _)| *key == name).map_or(default.to_owned(), |(_, v)| v.to_owned())
    };
    Ok(EndpointRecord {
        id: key.into(),
        service: field("service", "s").into(),
        address: field("address", "127.0.0.1:9").parse().map_err(|_| "address")?,
        zone: "z".into(),
        software_version: "v1".into(),
        slots: 1,
        state: field("state", "ready").parse().map_err(|_| "state")?,
        cold_ms: 0,
        started_at_unix_ms: field("start", "1000").parse().map_err(|_| "start")?,
        sequence: sequence.parse().map_err(|_| "not a number")?,
    })
}

/// IDs of the endpoints of a service that accept new requests.
pub(super) fn available(directory: &Directory, service: &str) -> Vec<String> {
    let endpoints = directory.of_service(service);
    let accepting = endpoints.iter().filter(|endpoint| !endpoint.is_leaving());
    accepting.map(|endpoint| endpoint.record.borrow().id.to_string()).collect()
}

pub(super) fn endpoint_sink(directory: &Rc<Directory>) -> EndpointSink {
    let metrics = Rc::new(GatewayMetrics::new());
    EndpointSink::new(
        directory.clone(),
        decode_endpoint,
        HEARTBEAT,
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
    let poll_pause = Duration::from_millis(750);
    let mut sink =
        EndpointSink::new(directory, decode_endpoint, HEARTBEAT, poll_pause, metrics.clone());
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
    assert!(removals.iter().all(|removal| sink.apply(removal, now).is_news()));
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
    assert!(!sink.apply(&raw(2, "b", "\u{fffd}"), now).is_news());
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
    assert!(!sink.apply(&raw(1, "a", "torn"), now).is_news());
    assert!(sink.apply(&raw(2, "a", "2"), now).is_news());
    assert!(!sink.apply(&raw(3, "a", "3"), now).is_news(), "a heartbeat changes nothing");
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
    assert!(sink.apply(&raw(1, "b", ""), now).is_news());
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
    assert!(sink.apply(&raw(2, "a", ""), now).is_news());
    assert_eq!(directory.len(), 2, "the endpoint is kept");
    assert!(sink.apply(&raw(3, "a", "2"), now).is_news());
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
    assert!(sink.apply(&raw(1, "a", "2 state=draining"), now).is_news());
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

/// Guards against new requests to an endpoint that is draining.
#[test]
fn a_draining_endpoint_never_accepts_requests_again() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "1")], now);
    sink.apply(&raw(1, "a", "2 state=draining"), now);
    assert_eq!(available(&directory, "s"), [""; 0]);
    // a delayed older record, and a newer one with the state ready, which both stand
    for (offset, sequence) in [(2, "1"), (3, "3")] {
        sink.apply(&raw(offset, "a", sequence), now);
        assert_eq!(available(&directory, "s"), [""; 0]);
        sink.expire(now + Duration::from_secs(10));
        assert_eq!(available(&directory, "s"), [""; 0]);
    }
}

/// Guards against delayed records from before a restart, which would restore the old state
/// and address.
#[test]
fn a_restart_replaces_the_endpoint_and_older_records_are_ignored() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "7")], now);
    sink.apply(&raw(1, "a", "8 state=draining"), now);
    assert!(sink.apply(&raw(2, "a", "1 start=2000"), now).is_news());
    assert_eq!(available(&directory, "s"), ["a"]);
    sink.apply(&raw(3, "a", "9 state=draining"), now);
    assert_eq!(available(&directory, "s"), ["a"]);
    assert_eq!(directory.of_service("s")[0].record.borrow().sequence, 1);
}

/// Guards against an endpoint of one service that gets requests of another, and against its loss: an
/// entry of another writer with all fields was taken for its own.
#[test]
fn a_record_that_contradicts_the_endpoint_changes_nothing() {
    for odd in [
        "2 service=t",
        "2 service=t start=2000",
        "2 address=127.0.0.1:8",
        "1 start=999",
        "1 start=999 address=127.0.0.1:8",
    ] {
        let directory = Rc::new(Directory::default());
        let mut sink = endpoint_sink(&directory);
        let now = Instant::now();
        sink.replace_all(&[raw(0, "a", "1")], now);
        sink.apply(&raw(1, "a", odd), now);
        // the endpoint's next heartbeat replaces the record
        let heartbeat_at = now + HEARTBEAT;
        sink.expire(heartbeat_at);
        sink.apply(&raw(2, "a", "2"), heartbeat_at);
        sink.expire(now + HEARTBEAT * 10);
        assert_eq!(available(&directory, "s"), ["a"], "{odd}");
        assert!(directory.of_service("t").is_empty(), "{odd}");
        let address = directory.of_service("s")[0].record.borrow().address.to_string();
        assert_eq!(address, "127.0.0.1:9", "{odd}");
    }
}

/// Guards against a sequence number far ahead of the endpoint's own, which hid that the endpoint drains.
#[test]
fn a_drain_counts_after_a_record_with_a_higher_number() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "1")], now);
    sink.apply(&raw(1, "a", "4000000000"), now);
    assert!(sink.apply(&raw(2, "a", "3 state=draining"), now).is_news());
    assert_eq!(available(&directory, "s"), [""; 0]);
}

/// Guards against a host that never uses an endpoint since it listed the log while the newest record
/// was another writer's.
#[test]
fn the_record_that_stands_is_accepted() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "a", "9 service=t")], now);
    sink.apply(&raw(1, "a", "2"), now);
    sink.expire(now + HEARTBEAT * 3);
    assert_eq!(available(&directory, "s"), [""; 0]);
    sink.expire(now + HEARTBEAT * 4);
    assert_eq!(available(&directory, "s"), ["a"]);
    assert!(directory.of_service("t").is_empty());
}
