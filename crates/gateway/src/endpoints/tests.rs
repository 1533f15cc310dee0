use {
    super::{
        Directory, EndpointRecord, EndpointState, LoadReport, health::Health,
        idle_limit::IdleLimit, load_estimate::LoadEstimate,
    },
    std::time::{Duration, Instant},
};

fn record(id: &str, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z".into(),
        slots: 4,
        state: EndpointState::Ready,
        started_at_unix_ms: Some(1_000),
        sequence,
    }
}

fn takers(directory: &Directory) -> usize {
    directory.of_service("s").iter().filter(|endpoint| !endpoint.is_leaving()).count()
}

/// Guards against new work for an endpoint that drains.
#[test]
fn a_draining_endpoint_takes_no_work_again() {
    let directory = Directory::default();
    directory.upsert(record("a", 1));
    directory.upsert(EndpointRecord { state: EndpointState::Draining, ..record("a", 2) });
    assert_eq!(takers(&directory), 0);
    // a late record of before, and a later one that still says ready
    directory.upsert(record("a", 1));
    directory.upsert(record("a", 3));
    assert_eq!(takers(&directory), 0);
}

/// Guards against records of before a restart that bring an old address back.
#[test]
fn a_restart_begins_anew_and_older_records_are_ignored() {
    let directory = Directory::default();
    directory.upsert(record("a", 7));
    directory.upsert(EndpointRecord { state: EndpointState::Draining, ..record("a", 8) });
    let restarted = EndpointRecord { started_at_unix_ms: Some(2_000), ..record("a", 1) };
    assert!(directory.upsert(restarted));
    assert_eq!(takers(&directory), 1);
    let late = EndpointRecord { state: EndpointState::Draining, ..record("a", 9) };
    assert!(!directory.upsert(late));
    assert_eq!(takers(&directory), 1);
}

/// Guards against losing all endpoints whose records lapsed while the store was away,
/// and against keeping those that do not come back.
#[test]
fn lapsed_endpoints_stay_until_their_time_is_over() {
    let directory = Directory::default();
    directory.upsert(record("a", 1));
    directory.upsert(record("b", 1));
    let now = Instant::now();
    let until = now + Duration::from_secs(2);
    directory.remove("a", Some(until));
    directory.remove("b", Some(until));
    assert_eq!((takers(&directory), directory.expire(now)), (2, Some(until)));
    directory.upsert(record("b", 2));
    assert_eq!(directory.expire(until), None);
    assert_eq!(directory.of_service("s")[0].record.borrow().id.as_ref(), "b");
    assert_eq!(takers(&directory), 1);
}

/// Guards against work for an endpoint that left without draining.
#[test]
fn a_removed_endpoint_is_gone_at_once() {
    let directory = Directory::default();
    directory.upsert(record("a", 1));
    let endpoint = directory.of_service("s").remove(0);
    assert!(directory.remove("a", None));
    assert!(endpoint.is_leaving());
    assert_eq!(directory.len(), 0);
}

/// Guards against an endpoint that is avoided for good, or used at once, after its
/// connections failed.
#[test]
fn pauses_grow_and_failures_fade() {
    let start = Instant::now();
    let mut health = Health::default();
    health.connect_failed(start);
    assert!(health.is_paused(start + Duration::from_millis(400)));
    assert!(!health.is_paused(start + Duration::from_millis(600)));
    health.connect_failed(start);
    assert!(health.is_paused(start + Duration::from_millis(900)));
    let share = health.failure_share(start);
    assert!(health.failure_share(start + Duration::from_secs(20)) < share / 8.0);
    health.answered(Duration::from_millis(5), start);
    assert!(!health.is_paused(start));
}

/// Guards against an old report that hides present load, or is believed for ever.
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

/// Guards against a drain that a relay does not pass on, because the endpoint had
/// already refused its own requests as another's.
#[test]
fn a_drain_is_news_though_the_endpoint_is_avoided_already() {
    let directory = Directory::default();
    directory.upsert(record("a", 1));
    directory.of_service("s")[0].set_leaving();
    assert!(directory.upsert(EndpointRecord { state: EndpointState::Draining, ..record("a", 2) }));
}

/// Replays endpoints that forget connections after 300 idle ms, while a router sends
/// to them after pauses of up to 3 s. Guards against bookings lost on such connections: the
/// limit loses a fraction of what is lost without it, and new connections are not opened
/// for longer than endpoints forget.
#[test]
fn few_requests_meet_a_forgotten_connection() {
    let start = Instant::now();
    let is_forgetful = |at: Duration| at < Duration::from_secs(9);
    let mut limit = IdleLimit::default();
    let (mut lost, mut lost_without, mut opened_late) = (0, 0, 0);
    for step in 0..2_000_u64 {
        let at = Duration::from_millis(20 * step);
        let now = start + at;
        let may_rerun = step % 3 != 0;
        let idle_time = Duration::from_millis(step * 7_919 % 3_000);
        let is_used = limit.max_idle(may_rerun, now).is_none_or(|max_idle| idle_time <= max_idle);
        let is_broken = is_forgetful(at) && idle_time > Duration::from_millis(300);
        lost_without += u32::from(is_broken && !may_rerun);
        if is_used && is_broken {
            limit.record_break(idle_time, now);
            lost += u32::from(!may_rerun);
        }
        opened_late += u32::from(!is_used && may_rerun && at > Duration::from_secs(15));
    }
    assert!(lost_without > 100, "{lost_without}");
    assert!(lost * 20 <= lost_without, "{lost} of {lost_without}");
    assert_eq!(opened_late, 0);
}

/// Guards against one crash that makes a router distrust all its connections.
#[test]
fn a_break_right_after_an_answer_sets_no_limit() {
    let now = Instant::now();
    let mut limit = IdleLimit::default();
    limit.record_break(Duration::from_millis(40), now);
    assert_eq!(limit.max_idle(false, now), None);
}
