//! Hosts of a zone beside records that may be another writer's, or that the store executed late.

use super::{
    copy_host::endpoint_host, endpoint_sink_tests::available, record_sink::RecordSink, tests::raw,
};

/// Guards against a zone without endpoints after one record of another writer for each: the relay held it
/// back until the endpoint's next heartbeat, and passed that on to nobody.
#[test]
fn a_heartbeat_that_settles_a_doubt_is_passed_on() {
    let ((mut relay, _), (mut host, directory)) = (endpoint_host(), endpoint_host());
    relay.list(0.0, 0, 1, &[raw(0, "a", "1")]);
    host.follow(&relay, 0.1);
    relay.read(1.0, 0, false, &[raw(1, "a", "2 service=t")]);
    host.follow(&relay, 1.1);
    for second in 2..10 {
        let seconds = second as f64;
        relay.read(seconds, 0, false, &[raw(second, "a", &(second + 1).to_string())]);
        host.follow(&relay, seconds + 0.2);
        host.copy.sink.expire(host.after(seconds + 0.2).instant);
        assert_eq!(available(&directory, "s"), ["a"], "after {second} s");
    }
}

/// Guards against requests to an endpoint that drains, through hosts that start while a record that the
/// store executed late is the newest one: their relay held it back, but passed on nothing else.
#[test]
fn a_host_that_starts_beside_a_late_record_does_not_use_a_draining_endpoint() {
    let ((mut relay, _), (mut host, directory)) = (endpoint_host(), endpoint_host());
    relay.list(0.0, 0, 1, &[raw(0, "a", "1")]);
    relay.read(1.0, 0, false, &[raw(1, "a", "3 state=draining")]);
    relay.read(2.0, 0, false, &[raw(2, "a", "2")]);
    host.follow(&relay, 2.1);
    assert_eq!(available(&directory, "s"), [""; 0]);
    relay.read(3.0, 0, false, &[raw(3, "a", "4 state=draining")]);
    host.follow(&relay, 3.1);
    host.copy.sink.expire(host.after(9.0).instant);
    assert_eq!(available(&directory, "s"), [""; 0]);
}

/// Guards against a host without endpoints for seconds after its start: their newest records were another
/// writer's.
#[test]
fn a_host_that_starts_beside_an_odd_record_uses_the_endpoint() {
    let ((mut relay, _), (mut host, directory)) = (endpoint_host(), endpoint_host());
    relay.list(0.0, 0, 1, &[raw(0, "a", "1")]);
    relay.read(1.0, 0, false, &[raw(1, "a", "2 service=t")]);
    host.follow(&relay, 1.1);
    assert_eq!(available(&directory, "s"), ["a"]);
    assert!(directory.of_service("t").is_empty());
}

/// Guards against the same where the relay has read the odd record in a listing.
#[test]
fn a_host_that_starts_after_a_listing_with_an_odd_record_uses_the_endpoint() {
    let ((mut relay, _), (mut host, directory)) = (endpoint_host(), endpoint_host());
    relay.list(0.0, 0, 1, &[raw(0, "a", "1")]);
    relay.list(1.0, 0, 2, &[raw(1, "a", "2 service=t")]);
    host.follow(&relay, 1.1);
    assert_eq!(available(&directory, "s"), ["a"]);
    // the record stands, so that the endpoint belongs to the other service
    for (offset, second) in (2..).zip([2.0, 3.0, 4.0, 5.0]) {
        let record = format!("{second} service=t");
        relay.read(second, 0, false, &[raw(offset, "a", &record)]);
        host.follow(&relay, second + 0.1);
        relay.copy.sink.expire(relay.after(second + 0.1).instant);
        host.copy.sink.expire(host.after(second + 0.1).instant);
    }
    assert_eq!(available(&directory, "t"), ["a"]);
    let (mut later, directory) = endpoint_host();
    relay.read(6.0, 0, false, &[raw(6, "a", "6 service=t")]);
    later.follow(&relay, 6.1);
    assert_eq!(available(&directory, "t"), ["a"]);
}

/// Guards against a host that loses an endpoint beside a relay that knows less: the relay started when the
/// newest record was another writer's, and holds the endpoint's own back.
#[test]
fn a_relay_that_holds_back_the_endpoints_own_record_passes_it_on() {
    let ((mut relay, _), (mut host, directory)) = (endpoint_host(), endpoint_host());
    host.list(0.0, 0, 1, &[raw(0, "a", "1")]);
    relay.list(1.0, 0, 2, &[raw(1, "a", "2 service=t")]);
    for second in 2..10 {
        let seconds = second as f64;
        host.follow(&relay, seconds - 0.1);
        relay.read(seconds, 0, false, &[raw(second, "a", &(second + 1).to_string())]);
        relay.copy.sink.expire(relay.after(seconds).instant);
        host.follow(&relay, seconds + 0.1);
        host.copy.sink.expire(host.after(seconds + 0.1).instant);
        assert_eq!(available(&directory, "s"), ["a"], "after {second} s");
    }
}
