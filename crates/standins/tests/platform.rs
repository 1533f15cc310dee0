mod common;

use {
    common::{call, eventually, get, post, send},
    mango_standins::{Outage, PlatformStandin},
    mango_wire::platform::{AppendReply, HostEntry, HostList, HostState, ReadReply},
    std::{
        io::BufReader,
        net::{SocketAddr, TcpStream},
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

fn append(address: SocketAddr, stream: &str, body: &str) -> u64 {
    let reply = post(address, &format!("/streams/{stream}/records"), body);
    serde_json::from_str::<AppendReply>(&reply.body).expect("the body is an append reply").offset
}

fn read(address: SocketAddr, stream: &str, from: u64, wait_ms: u64) -> ReadReply {
    let path = format!("/streams/{stream}/records?from={from}&wait_ms={wait_ms}");
    serde_json::from_str(&get(address, &path).body).expect("the body is a read reply")
}

/// Guards against offsets that repeat or decrease, and against a reader of a stream that
/// misses its records or gets those of another stream.
#[test]
fn offsets_increase_over_all_streams() {
    let platform = PlatformStandin::spawn();
    let address = platform.address();
    let offsets: Vec<_> =
        ["a", "b", "a"].iter().map(|stream| append(address, stream, stream)).collect();
    assert_eq!(offsets, [1, 2, 3]);
    let reply = read(address, "a", 1, 0);
    assert_eq!(reply.records.iter().map(|r| r.offset).collect::<Vec<_>>(), [1, 3]);
    assert!(reply.records.iter().all(|r| r.body == "a" && r.at_ms > 1_600_000_000_000));
    assert_eq!((reply.first_offset, reply.next_offset), (1, 4));
    assert_eq!(read(address, "a", 2, 0).records.len(), 1);
    assert_eq!(platform.records("b").len(), 1);
}

/// Guards against a long poll that returns before there is a record or that does not
/// return when one is appended.
#[test]
fn long_poll_returns_with_the_record() {
    let platform = PlatformStandin::spawn();
    let address = platform.address();
    let start = Instant::now();
    assert!(read(address, "a", 1, 50).records.is_empty());
    assert!(start.elapsed() >= Duration::from_millis(50));
    let poll = thread::spawn(move || read(address, "a", 1, 10_000));
    thread::sleep(Duration::from_millis(50));
    append(address, "b", "other stream");
    append(address, "a", "awaited");
    assert_eq!(poll.join().unwrap().records[0].body, "awaited");
    assert!(start.elapsed() < Duration::from_secs(5));
}

/// Guards against read replies above the limit of 1 MiB, and against records that are
/// skipped or repeated between two replies.
#[test]
fn large_reads_come_in_parts() {
    let platform = PlatformStandin::spawn();
    let body = "x".repeat(300 * 1024);
    for _ in 0..8 {
        platform.append("a", &body);
    }
    let mut from = 1;
    let mut parts = 0;
    while from <= 8 {
        let reply = read(platform.address(), "a", from, 0);
        assert_eq!(reply.records[0].offset, from);
        assert!(reply.records.len() <= 3);
        from = reply.records.last().unwrap().offset + 1;
        parts += 1;
    }
    assert_eq!(parts, 3);
}

/// Guards against appends that take effect during an outage, whether it refuses them or
/// lets them wait, and against a long poll that an outage does not end.
#[test]
fn outage_refuses_or_hangs() {
    let platform = PlatformStandin::spawn();
    let address = platform.address();
    let poll = thread::spawn(move || get(address, "/streams/a/records?from=1&wait_ms=9000"));
    thread::sleep(Duration::from_millis(50));
    platform.set_log_outage(Outage::Refuse);
    assert_eq!(poll.join().unwrap().status, 503);
    assert_eq!(post(address, "/streams/a/records", "x").status, 503);
    assert_eq!(platform.log_counters().refused, 2);
    platform.set_log_outage(Outage::Hang);
    let hanging = thread::spawn(move || append(address, "a", "late"));
    thread::sleep(Duration::from_millis(100));
    assert!(!hanging.is_finished() && platform.records("a").is_empty());
    platform.set_log_outage(Outage::None);
    assert_eq!(hanging.join().unwrap(), 1);
}

/// Guards against an append that takes no effect or sends a response although its response
/// is to be lost, and against random losses that differ with the same seed.
#[test]
fn appends_with_lost_responses_take_effect() {
    let platform = PlatformStandin::spawn();
    let address = platform.address();
    let try_append = || send(address, "POST", "/streams/a/records", &[], "x").is_ok();
    platform.lose_append_responses(2);
    assert_eq!([try_append(), try_append(), try_append()], [false, false, true]);
    assert_eq!(platform.records("a").len(), 3);
    let mut runs = (0..2).map(|_| {
        platform.set_append_response_loss(0.5, 7);
        (0..20).map(|_| try_append()).collect::<Vec<_>>()
    });
    let first = runs.next().unwrap();
    assert!(first.contains(&true) && first.contains(&false));
    assert_eq!(Some(first), runs.next(), "the same seed must lose the same responses");
    assert_eq!(platform.records("a").len(), 43);
    assert_eq!(platform.log_counters().appends, 43);
}

/// Guards against reads that return expired records, and against expired records that
/// `PlatformStandin::records` no longer returns to tests.
#[test]
fn expired_records_are_hidden_from_readers() {
    let platform = PlatformStandin::spawn();
    for _ in 0..5 {
        platform.append("a", "x");
    }
    platform.expire_before(4);
    let reply = read(platform.address(), "a", 1, 0);
    assert_eq!((reply.first_offset, reply.records[0].offset, reply.records.len()), (4, 4, 2));
    assert_eq!(platform.records("a").len(), 5);
}

/// Guards against a log delay that is not applied to appends.
#[test]
fn log_delay_is_added() {
    let platform = PlatformStandin::spawn();
    platform.set_log_delay(Duration::from_millis(80));
    let start = Instant::now();
    append(platform.address(), "a", "x");
    assert!(start.elapsed() >= Duration::from_millis(80));
}

/// Guards against a log that is too slow for a fleet of 40 pollers, and against records
/// that concurrent pollers miss or see out of order.
#[test]
fn forty_pollers_see_every_append() {
    const RECORDS: u32 = 2000;
    let platform = PlatformStandin::spawn();
    let address = platform.address();
    let connect = || {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        BufReader::new(stream)
    };
    let next = AtomicU64::new(0);
    let start = Instant::now();
    thread::scope(|scope| {
        let pollers: Vec<_> = (0..40)
            .map(|_| {
                scope.spawn(move || {
                    let mut stream = connect();
                    let (mut from, mut seen) = (1, Vec::new());
                    while seen.len() < RECORDS as usize {
                        let method_and_path =
                            format!("GET /streams/a/records?from={from}&wait_ms=5000");
                        let reply = call(&mut stream, &method_and_path, "");
                        let reply: ReadReply = serde_json::from_str(&reply).unwrap();
                        seen.extend(reply.records.iter().map(|r| r.offset));
                        from = seen.last().map_or(from, |last| last + 1);
                    }
                    seen
                })
            })
            .collect();
        for _ in 0..8 {
            scope.spawn(|| {
                let mut stream = connect();
                while next.fetch_add(1, Ordering::Relaxed) < u64::from(RECORDS) {
                    call(&mut stream, "POST /streams/a/records", "record");
                }
            });
        }
        for poller in pollers {
            assert!(poller.join().unwrap().into_iter().eq(1..=u64::from(RECORDS)));
        }
    });
    let elapsed = start.elapsed();
    println!("{RECORDS} appends with 40 pollers in {elapsed:?}");
    // at least 1,000 appends/s
    assert!(elapsed < Duration::from_millis(RECORDS.into()), "took {elapsed:?}");
}

/// Guards against a host list that shows a change before the lag is over, or never.
#[test]
fn host_list_lags() {
    let platform = PlatformStandin::spawn();
    let hosts = || {
        let list: HostList = serde_json::from_str(&get(platform.address(), "/hosts").body).unwrap();
        list.hosts.into_iter().map(|h| (h.host_id, h.state)).collect::<Vec<_>>()
    };
    let host = |state| HostEntry {
        host_id: "h1".to_owned(),
        peer_address: "127.0.0.1:1".to_owned(),
        state,
    };
    platform.put_host(host(HostState::Live));
    assert_eq!(hosts(), [("h1".to_owned(), HostState::Live)]);
    platform.set_host_list_lag(Duration::from_millis(300));
    thread::sleep(Duration::from_millis(310));
    platform.put_host(host(HostState::Leaving));
    assert_eq!(hosts(), [("h1".to_owned(), HostState::Live)]);
    eventually("the host is leaving", || hosts() == [("h1".to_owned(), HostState::Leaving)]);
    platform.remove_host("h1");
    eventually("the host is removed from the list", || hosts().is_empty());
}

/// Guards against a weight store without a rate limit.
#[test]
fn weight_store_limits_its_rate() {
    let platform = PlatformStandin::spawn();
    platform.set_weight_rate(2.0);
    let statuses: Vec<_> =
        (0..4).map(|_| get(platform.address(), "/weights/model-a").status).collect();
    assert_eq!(statuses, [200, 200, 429, 429]);
    assert_eq!(platform.weight_reads(), (2, 2));
    eventually("a read succeeds", || get(platform.address(), "/weights/model-a").status == 200);
}
