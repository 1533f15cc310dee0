use {
    super::{
        Directory, EndpointRecord, EndpointState, LoadReport, health::Health,
        idle_limit::IdleLimit, load_estimate::LoadEstimate,
    },
    std::time::{Duration, Instant},
};

pub(super) fn record(id: &str, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z".into(),
        software_version: "v1".into(),
        slots: 4,
        state: EndpointState::Ready,
        cold_ms: 0,
        started_at_unix_ms: 1_000,
        sequence,
    }
}

/// Number of endpoints that accept new requests.
fn available_endpoints(directory: &Directory) -> usize {
    directory.of_service("s").iter().filter(|endpoint| !endpoint.is_leaving()).count()
}

/// Guards against losing all endpoints whose records expired while the store was unreachable,
/// and against keeping those that do not register again.
#[test]
fn endpoints_with_expired_records_stay_until_their_removal_time() {
    let directory = Directory::default();
    directory.upsert(record("a", 1));
    directory.upsert(record("b", 1));
    let now = Instant::now();
    let until = now + Duration::from_secs(2);
    directory.remove("a", Some(until));
    directory.remove("b", Some(until));
    assert_eq!((available_endpoints(&directory), directory.expire(now)), (2, Some(until)));
    directory.upsert(record("b", 2));
    assert_eq!(directory.expire(until), None);
    assert_eq!(directory.of_service("s")[0].record.borrow().id.as_ref(), "b");
    assert_eq!(available_endpoints(&directory), 1);
}

/// Guards against requests to an endpoint that stopped without draining.
#[test]
fn a_removed_endpoint_is_unavailable_at_once() {
    let directory = Directory::default();
    directory.upsert(record("a", 1));
    let endpoint = directory.of_service("s").remove(0);
    directory.remove("a", None);
    assert!(endpoint.is_leaving());
    assert_eq!(directory.len(), 0);
}

/// Guards against an endpoint that is avoided forever, or used again at once, after failed
/// connection attempts.
#[test]
fn pauses_grow_and_failures_decay() {
    let start = Instant::now();
    let mut health = Health::default();
    health.record_connect_failure(start);
    assert!(health.is_paused(start + Duration::from_millis(400)));
    assert!(!health.is_paused(start + Duration::from_millis(600)));
    health.record_connect_failure(start);
    assert!(health.is_paused(start + Duration::from_millis(900)));
    let share = health.failure_share(start);
    assert!(health.failure_share(start + Duration::from_secs(20)) < share / 8.0);
    health.record_response(Duration::from_millis(5), start);
    assert!(!health.is_paused(start));
}

/// Guards against requests that are sent to an endpoint at which others wait for much longer than
/// usual, and against an endpoint that is avoided because of a single one of them. Placement
/// avoids endpoints with a failure share above 0.2.
#[test]
fn overdue_requests_raise_the_failure_share_while_they_wait() {
    let directory = Directory::default();
    directory.upsert(record("a", 1));
    let endpoint = directory.of_service("s").remove(0);
    let now = Instant::now();
    let requests = [endpoint.start_request(), endpoint.start_request()];
    assert_eq!(endpoint.failure_share(now), 0.0);
    let first = endpoint.start_overdue();
    assert!(endpoint.failure_share(now) < 0.2, "{}", endpoint.failure_share(now));
    let second = endpoint.start_overdue();
    assert!(endpoint.failure_share(now) > 0.2, "{}", endpoint.failure_share(now));
    let others: Vec<_> = (0..20).map(|_| endpoint.start_request()).collect();
    assert!(endpoint.failure_share(now) < 0.1, "{}", endpoint.failure_share(now));
    drop((first, second, others, requests));
    assert_eq!(endpoint.failure_share(now), 0.0);
}

/// Guards against an old report that replaces the current load, or is used forever.
#[test]
fn estimates_prefer_peers_then_fresh_reports() {
    let now = Instant::now();
    let mut estimate = LoadEstimate::default();
    let report = LoadReport { running: 10, waiting: 2, slots: 64, slowness: 1.5 };
    estimate.record(report, 1, now);
    assert_eq!(estimate.requests(3, None, now), 14.0);
    assert_eq!(estimate.requests(3, Some(4), now), 7.0);
    let later = now + Duration::from_secs(2);
    assert_eq!(estimate.requests(3, None, later), 3.0);
    assert_eq!((estimate.waiting(later), estimate.slowness(later)), (0, 1.0));
}

/// Guards against losing non-idempotent requests on idle connections that the endpoint has
/// dropped. Simulates endpoints that drop connections after 300 ms of idle time, while a router
/// sends to them after pauses of up to 3 s. With the limit, at most a twentieth as many requests
/// are lost as without it. From 6 s after the endpoints stop dropping connections, requests that
/// may run again reuse every idle connection.
#[test]
fn few_requests_are_sent_on_dropped_connections() {
    let start = Instant::now();
    let drops_connections = |at: Duration| at < Duration::from_secs(9);
    let mut limit = IdleLimit::default();
    let (mut lost, mut lost_without, mut opened_late) = (0, 0, 0);
    for step in 0..2_000_u64 {
        let at = Duration::from_millis(20 * step);
        let now = start + at;
        let may_rerun = step % 3 != 0;
        let idle_time = Duration::from_millis(step * 7_919 % 3_000);
        let is_reused = limit.max_idle(may_rerun, now).is_none_or(|max_idle| idle_time <= max_idle);
        let is_broken = drops_connections(at) && idle_time > Duration::from_millis(300);
        lost_without += u32::from(is_broken && !may_rerun);
        if is_reused && is_broken {
            limit.record_broken_connection(idle_time, now);
            lost += u32::from(!may_rerun);
        }
        opened_late += u32::from(!is_reused && may_rerun && at > Duration::from_secs(15));
    }
    assert!(lost_without > 100, "{lost_without} lost without the limit");
    assert!(lost * 20 <= lost_without, "{lost} lost, {lost_without} without the limit");
    assert_eq!(opened_late, 0);
}

/// Guards against one crash of an endpoint after which a router reuses no idle connections.
#[test]
fn a_connection_that_breaks_right_after_a_response_sets_no_limit() {
    let now = Instant::now();
    let mut limit = IdleLimit::default();
    limit.record_broken_connection(Duration::from_millis(40), now);
    assert_eq!(limit.max_idle(false, now), None);
}

/// Guards against a request that must not run twice on a connection whose idle time has not
/// worked since one broke: endpoints may drop connections sooner than the one that broke shows.
#[test]
fn run_once_requests_reuse_only_idle_times_that_worked() {
    let now = Instant::now();
    let mut limit = IdleLimit::default();
    limit.record_broken_connection(Duration::from_millis(500), now);
    assert_eq!(limit.max_idle(true, now), Some(Duration::from_millis(250)));
    assert_eq!(limit.max_idle(false, now), Some(Duration::from_millis(50)));
    limit.record_working_connection(Duration::from_millis(180));
    assert_eq!(limit.max_idle(false, now), Some(Duration::from_millis(180)));
    limit.record_broken_connection(Duration::from_millis(240), now);
    assert_eq!(limit.max_idle(false, now), Some(Duration::from_millis(50)));
}
