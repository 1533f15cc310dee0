//! Records that the store executes after the removal of their endpoint.

use super::{
    copy_host::endpoint_host, endpoint_sink_tests::available, record_sink::RecordSink, tests::raw,
};

/// Guards against requests to an endpoint that has left: the store executed a lost heartbeat after the
/// removal, and it was taken for a new endpoint.
#[test]
fn a_heartbeat_that_is_executed_after_the_removal_brings_no_endpoint_back() {
    let (mut host, directory) = endpoint_host();
    host.list(0.0, 0, 1, &[raw(0, "a", "5")]);
    host.read(2.0, 0, false, &[raw(1, "a", "7"), raw(2, "a", "8")]);
    host.read(3.0, 0, false, &[raw(3, "a", "")]);
    host.read(5.0, 0, false, &[raw(4, "a", "6")]);
    assert_eq!(available(&directory, "s"), [""; 0]);
    host.read(8.0, 0, false, &[]);
    host.copy.sink.expire(host.after(8.0).instant);
    assert_eq!(available(&directory, "s"), [""; 0], "the record lapses after three heartbeats");
}

/// Guards against the same at the hosts that follow a relay, which learn of no heartbeats: the removal tells
/// them the last one.
#[test]
fn hosts_beside_a_relay_know_a_late_heartbeat() {
    let ((mut relay, _), (mut host, directory)) = (endpoint_host(), endpoint_host());
    relay.list(0.0, 0, 1, &[raw(0, "a", "3")]);
    host.follow(&relay, 0.1);
    relay.read(2.0, 0, false, &[raw(1, "a", "7"), raw(2, "a", "8")]);
    host.follow(&relay, 2.1);
    relay.read(3.0, 0, false, &[raw(3, "a", "")]);
    host.follow(&relay, 3.1);
    relay.read(5.0, 0, false, &[raw(4, "a", "6")]);
    host.follow(&relay, 5.1);
    assert_eq!(available(&directory, "s"), [""; 0]);
}

/// Guards against the same at a host that starts after the removal, before and after the late heartbeat.
#[test]
fn a_host_that_starts_after_the_removal_knows_a_late_heartbeat() {
    for starts_late in [false, true] {
        let ((mut relay, _), (mut host, directory)) = (endpoint_host(), endpoint_host());
        relay.list(0.0, 0, 2, &[raw(0, "a", "5"), raw(1, "b", "5")]);
        relay.read(3.0, 0, false, &[raw(2, "a", "8"), raw(3, "a", "")]);
        if !starts_late {
            host.follow(&relay, 3.1);
        }
        relay.read(5.0, 0, false, &[raw(4, "a", "6")]);
        host.follow(&relay, 5.1);
        assert_eq!(available(&directory, "s"), ["b"], "starts late: {starts_late}");
        host.copy.sink.expire(host.after(9.0).instant);
        assert_eq!(available(&directory, "s"), ["b"], "starts late: {starts_late}");
        // the next host learns the same from this one
        let (mut next, directory) = endpoint_host();
        next.follow(&host, 5.2);
        assert_eq!(available(&directory, "s"), ["b"], "starts late: {starts_late}");
    }
}

/// Guards against the same after the relay has changed: the new one has not read the last heartbeats.
#[test]
fn a_new_relay_that_has_missed_heartbeats_uses_no_late_one() {
    let ((mut relay, _), (mut host, directory)) = (endpoint_host(), endpoint_host());
    relay.list(0.0, 0, 1, &[raw(0, "a", "1")]);
    host.follow(&relay, 0.1);
    relay.read(5.0, 0, false, &[raw(1, "a", "7"), raw(2, "a", "8")]);
    host.follow(&relay, 5.1);
    host.read(6.0, 0, false, &[raw(3, "a", "")]);
    host.read(8.0, 0, false, &[raw(4, "a", "6")]);
    assert_eq!(available(&directory, "s"), [""; 0]);
}

/// Guards against the same where the host lists the log between the removal and the late heartbeat, or
/// after both.
#[test]
fn a_late_heartbeat_in_a_listing_brings_no_endpoint_back() {
    let (mut host, directory) = endpoint_host();
    host.list(0.0, 0, 1, &[raw(0, "a", "8")]);
    host.list(2.0, 0, 2, &[]);
    host.read(4.0, 0, false, &[raw(2, "a", "6")]);
    assert_eq!(available(&directory, "s"), [""; 0]);
    host.list(5.0, 0, 3, &[raw(2, "a", "6")]);
    assert_eq!(available(&directory, "s"), [""; 0]);
    let (mut next, directory) = endpoint_host();
    next.follow(&host, 5.1);
    assert_eq!(available(&directory, "s"), [""; 0]);
}

/// Guards against a late heartbeat of an earlier start, after the endpoint has started again and left.
#[test]
fn a_late_heartbeat_of_an_earlier_start_brings_no_endpoint_back() {
    let (mut host, directory) = endpoint_host();
    host.list(0.0, 0, 1, &[raw(0, "a", "30")]);
    host.read(1.0, 0, false, &[raw(1, "a", "1 start=2000"), raw(2, "a", "")]);
    host.read(3.0, 0, false, &[raw(3, "a", "31")]);
    assert_eq!(available(&directory, "s"), [""; 0]);
    host.read(4.0, 0, false, &[raw(4, "a", "1 start=3000")]);
    assert_eq!(available(&directory, "s"), ["a"], "a later start is a new endpoint");
}

/// Guards against an endpoint that drains, leaves, and gets requests after a lost heartbeat from before it.
#[test]
fn a_late_heartbeat_from_before_the_drain_brings_no_endpoint_back() {
    let (mut host, directory) = endpoint_host();
    host.list(0.0, 0, 1, &[raw(0, "a", "5 state=draining")]);
    host.read(2.0, 0, false, &[raw(1, "a", "")]);
    host.read(4.0, 0, false, &[raw(2, "a", "9")]);
    assert_eq!(available(&directory, "s"), [""; 0]);
}

/// Guards against an endpoint that is lost for long after its record has lapsed while it was cut off: it
/// goes on counting.
#[test]
fn an_endpoint_whose_record_lapsed_is_back_with_its_next_record() {
    let ((mut relay, _), (mut host, directory)) = (endpoint_host(), endpoint_host());
    relay.list(0.0, 0, 1, &[raw(0, "a", "5")]);
    host.follow(&relay, 0.1);
    relay.read(3.0, 0, false, &[raw(1, "a", "")]);
    host.follow(&relay, 3.1);
    relay.read(4.0, 0, false, &[raw(2, "a", "9")]);
    host.follow(&relay, 4.1);
    assert_eq!(available(&directory, "s"), ["a"]);
}

/// Guards against the same where the endpoint stood still, or its last number is not known: it is back
/// once it has written three records more.
#[test]
fn an_endpoint_that_writes_on_is_back() {
    for is_last_known in [true, false] {
        let (mut host, directory) = endpoint_host();
        host.list(0.0, 0, 1, &[raw(0, "a", "5")]);
        if !is_last_known {
            host.copy.sink.records_skipped();
        }
        host.read(3.0, 0, false, &[raw(1, "a", "")]);
        for (offset, sequence) in [(2, "6"), (3, "7"), (4, "8")] {
            assert_eq!(available(&directory, "s"), [""; 0], "before {sequence}");
            host.read(offset as f64 + 2.0, 0, false, &[raw(offset, "a", sequence)]);
        }
        host.read(7.0, 0, false, &[raw(5, "a", "9")]);
        assert_eq!(available(&directory, "s"), ["a"], "last known: {is_last_known}");
    }
}

/// Guards against an endpoint that is not used after an outage of the store in which its record expired.
#[test]
fn an_endpoint_whose_record_expired_in_an_outage_is_back_at_once() {
    let (mut host, directory) = endpoint_host();
    host.list(0.0, 0, 1, &[raw(0, "a", "5")]);
    host.read(6.0, 0, true, &[raw(1, "a", "")]);
    host.read(7.0, 0, false, &[raw(2, "a", "6")]);
    assert_eq!(available(&directory, "s"), ["a"]);
    host.copy.sink.expire(host.after(12.0).instant);
    assert_eq!(available(&directory, "s"), ["a"]);
}
