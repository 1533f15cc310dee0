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
