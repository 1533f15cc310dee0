//! Replays of a service whose endpoints all turn requests away until the same moment.

use {
    super::{closed_times::ClosedTimes, endpoint_record::EndpointRecord, tests::record},
    crate::callers::with_jitter,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const ENDPOINTS: usize = 3;
/// Requests per second of all callers, and what the endpoints together bear.
const USUAL_PER_S: f64 = 300.0;
const BEARABLE_PER_S: f64 = 1_200.0;
/// The endpoints turn requests away from the first time to the second.
const CLOSED_FROM: Duration = Duration::from_millis(1_000);
const CLOSED_TO: Duration = Duration::from_millis(3_000);
const END: Duration = Duration::from_millis(6_000);
const STEP: Duration = Duration::from_millis(5);
const WINDOW: Duration = Duration::from_millis(100);
/// After this time, at most two requests of a host may reach the endpoint that turned it away.
const SETTLING_TIME: Duration = Duration::from_millis(500);
/// Mean time after which callers come back that were told no other one.
const MEAN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A send that reached an endpoint.
struct Arrival {
    at: Duration,
    host: usize,
    endpoint: usize,
    is_refused: bool,
}

/// Sends requests through hosts that keep to `Retry-After`, or do not. Callers that are refused come back
/// once, when they were told to.
fn replay(hosts: usize, keeps_to_it: bool, seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let records: Vec<EndpointRecord> =
        (0..ENDPOINTS).map(|index| record(&format!("e-{index}"), 1)).collect();
    let mut closed: Vec<ClosedTimes> = (0..hosts).map(|_| ClosedTimes::default()).collect();
    let mut returning: BTreeMap<Duration, usize> = BTreeMap::new();
    let mut arrivals = Vec::new();
    for step in 0..END.as_millis() / STEP.as_millis() {
        let at = STEP * step as u32;
        let now = start + at;
        let due = returning.extract_if(..=at, |_, _| true).map(|(_, count)| count).sum::<usize>();
        let new = (0..10).filter(|_| random.random_bool(USUAL_PER_S * 0.005 / 10.0)).count();
        for request in 0..due + new {
            let host = random.random_range(0..hosts);
            let is_open = |index: &usize| closed[host].get(&records[*index], now).is_none();
            let open: Vec<usize> =
                (0..ENDPOINTS).filter(|index| !keeps_to_it || is_open(index)).collect();
            if !open.is_empty() {
                let endpoint = open[random.random_range(0..open.len())];
                let is_refused = (CLOSED_FROM..CLOSED_TO).contains(&at);
                arrivals.push(Arrival { at, host, endpoint, is_refused });
                if !is_refused {
                    continue;
                }
                closed[host].record(&records[endpoint], CLOSED_TO - at, now);
            }
            let times = records.iter().filter_map(|record| closed[host].get(record, now));
            let closed_time = match keeps_to_it && times.clone().count() == ENDPOINTS {
                true => times.min_by_key(|time| time.until),
                false => None,
            };
            let retry_after = closed_time
                .map_or_else(|| with_jitter(MEAN_RETRY_AFTER), |time| time.caller_retry_after(now));
            let is_first_try = request >= due;
            if is_first_try {
                *returning.entry(at + retry_after).or_default() += 1;
            }
        }
    }
    arrivals
}

/// Largest number of arrivals of a host at an endpoint from half a second after it was turned away until
/// the end of the time.
fn most_unwanted(arrivals: &[Arrival]) -> usize {
    let mut first_refusals: BTreeMap<(usize, usize), Duration> = BTreeMap::new();
    let mut unwanted: BTreeMap<(usize, usize), usize> = BTreeMap::new();
    for arrival in arrivals {
        let pair = (arrival.host, arrival.endpoint);
        if let Some(refused_at) = first_refusals.get(&pair)
            && arrival.at > *refused_at + SETTLING_TIME
            && arrival.at < CLOSED_TO
        {
            *unwanted.entry(pair).or_default() += 1;
        }
        if arrival.is_refused {
            first_refusals.entry(pair).or_insert(arrival.at);
        }
    }
    unwanted.into_values().max().unwrap_or(0)
}

/// Guards against requests to endpoints that want none, and against a return of all callers at the moment
/// at which they take requests again.
#[test]
fn a_service_that_turns_requests_away_is_left_alone_and_returns_without_a_burst() {
    for hosts in [12, 38, 195] {
        for seed in 0..5 {
            let arrivals = replay(hosts, true, seed);
            assert_eq!(most_unwanted(&arrivals), 0, "{hosts} hosts, seed {seed}");
            let without = replay(hosts, false, seed);
            let refused =
                |arrivals: &[Arrival]| arrivals.iter().filter(|arrival| arrival.is_refused).count();
            assert!(most_unwanted(&without) > 2, "{hosts} hosts, seed {seed}");
            // a host has to be turned away once by each endpoint
            let most_refused = hosts * ENDPOINTS;
            assert!(refused(&arrivals) <= most_refused && refused(&arrivals) < refused(&without));
            let mut windows: BTreeMap<u128, usize> = BTreeMap::new();
            for arrival in arrivals.iter().filter(|arrival| arrival.at >= CLOSED_TO) {
                *windows.entry(arrival.at.as_millis() / WINDOW.as_millis()).or_default() += 1;
            }
            let most = windows.into_values().max().unwrap_or(0) as f64;
            let bearable = BEARABLE_PER_S * WINDOW.as_secs_f64();
            assert!(most <= bearable, "{hosts} hosts, seed {seed}: {most} of {bearable}");
        }
    }
}
