//! Replays of a fleet that sends to one cold endpoint as much as it may. Checks the bound of the whole
//! fleet in every second.

use {
    super::slow_start::{ColdLimit, SlowStart},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::{Duration, Instant},
};

/// Requests per second that the endpoint bears.
const BEARABLE_PER_S: f64 = 13.0;
/// What the fleet may send in a second, as a multiple of that and in addition to it.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
const COLD_TIME: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(20);
/// Until when the hosts have learnt that the endpoint is cold.
const LEARNING_TIME: Duration = Duration::from_millis(1_500);

struct Host {
    place: f64,
    learns_at: Duration,
    /// When the process is killed; it runs again a second later and knows nothing of before.
    restarts_at: Option<Duration>,
    /// Times at which callers ask.
    has_requests: Vec<(Duration, Duration)>,
    counted_hosts: u32,
    slow_start: SlowStart,
}

/// What goes on while the endpoint is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    /// Every host has a request at any time.
    Saturated,
    /// Hosts have no requests at first, then all of them at once.
    LateCrest,
    /// A share of the hosts is killed and starts again.
    Restarts,
    /// More hosts than are counted, since some joined lately.
    Joins,
}

fn host(index: usize, count: usize, scenario: Scenario, random: &mut StdRng) -> Host {
    let crest_at = Duration::from_millis(3_000);
    let restarts_at = (scenario == Scenario::Restarts && random.random_bool(0.6))
        .then(|| Duration::from_millis(random.random_range(2_000..6_000)));
    let counted = if scenario == Scenario::Joins { count * 9 / 10 } else { count };
    Host {
        place: index as f64 / count as f64,
        learns_at: LEARNING_TIME.mul_f64(random.random()),
        restarts_at,
        has_requests: match scenario {
            Scenario::LateCrest => vec![(crest_at, COLD_TIME)],
            _ => vec![(Duration::ZERO, COLD_TIME)],
        },
        counted_hosts: counted.max(1) as u32,
        slow_start: SlowStart::default(),
    }
}

/// Times at which the fleet sends to the endpoint.
fn replay(scenario: Scenario, seed: u64) -> Vec<Duration> {
    let mut random = StdRng::seed_from_u64(seed);
    let count = random.random_range(2..320);
    let endpoint_phase = random.random();
    let mut hosts: Vec<Host> =
        (0..count).map(|index| host(index, count, scenario, &mut random)).collect();
    let start = Instant::now();
    let mut sends = Vec::new();
    for step in 0..COLD_TIME.as_millis() / STEP.as_millis() {
        let at = STEP * step as u32;
        let now = start + at;
        for host in &mut hosts {
            let process_age = match host.restarts_at {
                Some(down_at) if at < down_at => Duration::from_secs(60) + at,
                Some(down_at) => at.saturating_sub(down_at + Duration::from_secs(1)),
                None => Duration::from_secs(60) + at,
            };
            if host.restarts_at.is_some_and(|down_at| down_at <= at && at < down_at + STEP) {
                host.slow_start = SlowStart::default();
                host.learns_at = at + Duration::from_secs(1);
            }
            if at < host.learns_at {
                continue;
            }
            host.slow_start.record_cold(start + COLD_TIME, now);
            let limit = ColdLimit {
                requests_per_s: Some(BEARABLE_PER_S * FACTOR),
                hosts: Some(host.counted_hosts),
                host_place: host.place,
                process_age,
            };
            let has_request =
                host.has_requests.iter().any(|(from, until)| (*from..*until).contains(&at));
            if has_request && host.slow_start.may_send(&limit, endpoint_phase, now) {
                host.slow_start.record_send(now);
                sends.push(at);
            }
        }
    }
    sends
}

fn most_in_a_second(sends: &[Duration]) -> usize {
    let second = Duration::from_secs(1);
    sends
        .iter()
        .map(|from| sends.iter().filter(|at| (*from..*from + second).contains(at)).count())
        .max()
        .unwrap_or(0)
}

/// Guards against a fleet that crashes an endpoint which has just started, whatever its hosts know
/// of each other.
#[test]
fn a_fleet_never_sends_more_than_a_cold_endpoint_bears() {
    let bound = BEARABLE_PER_S * FACTOR + SLACK;
    for scenario in [Scenario::Saturated, Scenario::LateCrest, Scenario::Restarts, Scenario::Joins]
    {
        for seed in 0..200 {
            let most = most_in_a_second(&replay(scenario, seed));
            assert!(most as f64 <= bound, "{scenario:?} seed {seed}: {most} in a second");
        }
    }
}

/// Guards against cold endpoints that are hardly used: the fleet sends at least 0.9 of what they
/// bear while it has requests.
#[test]
fn a_fleet_uses_what_a_cold_endpoint_bears() {
    let from = LEARNING_TIME + Duration::from_millis(500);
    let (mut sent, mut seconds) = (0, 0.0);
    for seed in 0..200 {
        sent += replay(Scenario::Saturated, seed).iter().filter(|at| **at >= from).count();
        seconds += (COLD_TIME - from).as_secs_f64();
    }
    let per_s = sent as f64 / seconds;
    assert!(per_s >= 0.9 * BEARABLE_PER_S, "{per_s:.1} requests per second");
}

/// Guards against hosts that send although they do not know how many share the limit, and against
/// endpoints that stay closed after they have warmed up.
#[test]
fn an_unknown_fleet_size_closes_cold_endpoints_only() {
    let now = Instant::now();
    let limit = ColdLimit {
        requests_per_s: Some(BEARABLE_PER_S),
        hosts: None,
        host_place: 0.5,
        process_age: Duration::from_secs(60),
    };
    let mut slow_start = SlowStart::default();
    assert!(slow_start.may_send(&limit, 0.0, now));
    slow_start.record_cold(now + Duration::from_secs(3), now);
    assert!(slow_start.is_cold(now) && !slow_start.may_send(&limit, 0.0, now));
    let warm_at = now + Duration::from_secs(3);
    assert!(!slow_start.is_cold(warm_at) && slow_start.may_send(&limit, 0.0, warm_at));
}

/// Guards against endpoints that are closed after their start although their service has no limit.
#[test]
fn a_service_without_a_limit_is_not_closed() {
    let now = Instant::now();
    let limit = ColdLimit {
        requests_per_s: None,
        hosts: Some(9),
        host_place: 0.0,
        process_age: Duration::from_secs(60),
    };
    let mut slow_start = SlowStart::default();
    slow_start.record_cold(now + Duration::from_secs(3), now);
    assert!(slow_start.may_send(&limit, 0.0, now));
}
