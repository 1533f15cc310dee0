use {
    super::{Candidate, PlacementRequest, PrefixTable, choose_endpoint},
    std::time::{Duration, Instant},
};

fn candidate(id: &str, requests: f64) -> Candidate<'_> {
    Candidate {
        id,
        requests,
        reported_requests: 0.0,
        waiting: 0,
        slots: 64,
        slowness: 1.0,
        latency_ms: 0.0,
        failure_share: 0.0,
        is_paused: false,
        was_tried: false,
        has_refused: false,
        is_same_zone: true,
        has_idle_connection: false,
        holds_prefix: false,
        is_closed: false,
        is_recently_added: false,
    }
}

fn endpoint_ids(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("engine-{index}")).collect()
}

/// A request whose prompt has a shared prefix with the given hash.
fn request(hash: u64) -> PlacementRequest {
    PlacementRequest { prefix_hash: Some(hash), shared_tokens: 100, tie_breaker: hash }
}

/// Guards against a prefix that is processed again on every endpoint.
#[test]
fn a_prefix_stays_on_one_endpoint_while_it_has_capacity() {
    let ids = endpoint_ids(12);
    for requests in [0.0, 1.0, 3.0] {
        let candidates: Vec<_> = ids.iter().map(|id| candidate(id, requests)).collect();
        let first = choose_endpoint(&request(7), &candidates).map(|placement| placement.target);
        for _ in 0..20 {
            let next = choose_endpoint(&request(7), &candidates).map(|placement| placement.target);
            assert_eq!(next, first);
        }
    }
}

/// Guards against moving prefixes of the other endpoints when one endpoint leaves, which
/// would lose most of the cached prefixes.
#[test]
fn a_leaving_endpoint_moves_only_its_own_prefixes() {
    let ids = endpoint_ids(12);
    let before: Vec<_> = ids.iter().map(|id| candidate(id, 0.0)).collect();
    let mut after = before.clone();
    after[3].is_closed = true;
    for hash in 0..500 {
        let old = choose_endpoint(&request(hash), &before).expect("a target");
        let new = choose_endpoint(&request(hash), &after).expect("a target");
        if old.target == 3 {
            assert_ne!(new.target, 3);
            assert_eq!(new.prefix_source, Some(3), "the leaving endpoint still holds the cache");
        } else {
            assert_eq!(new.target, old.target);
            assert_eq!(new.prefix_source, None);
        }
    }
}

/// Guards against an endpoint that was just added and processes cached prefixes again,
/// instead of fetching them from the endpoint that ranked first before.
#[test]
fn a_new_endpoint_fetches_from_the_endpoint_that_ranked_first_before() {
    let ids = endpoint_ids(12);
    let mut candidates: Vec<_> = ids.iter().map(|id| candidate(id, 0.0)).collect();
    candidates[5].is_recently_added = true;
    let without: Vec<_> = candidates.iter().filter(|c| !c.is_recently_added).cloned().collect();
    let mut moved = 0;
    for hash in 0..500 {
        let placement = choose_endpoint(&request(hash), &candidates).expect("a target");
        if placement.target == 5 {
            let previous = choose_endpoint(&request(hash), &without).expect("a target").target;
            let source = placement.prefix_source.map(|index| candidates[index].id);
            assert_eq!(source, Some(without[previous].id));
            moved += 1;
        }
    }
    assert!(moved > 10, "{moved} prefixes moved");
}

/// Guards against requests to tried, paused or failing endpoints while a better one exists.
#[test]
fn tried_paused_and_failing_endpoints_come_last() {
    let ids = endpoint_ids(4);
    let mut candidates: Vec<_> = ids.iter().map(|id| candidate(id, 0.0)).collect();
    candidates[0].was_tried = true;
    candidates[1].is_paused = true;
    candidates[2].failure_share = 0.6;
    for hash in 0..100 {
        let with_prefix = choose_endpoint(&request(hash), &candidates).expect("a target");
        let plain = PlacementRequest { prefix_hash: None, shared_tokens: 0, tie_breaker: hash };
        let without = choose_endpoint(&plain, &candidates).expect("a target");
        assert_eq!((with_prefix.target, without.target), (3, 3));
    }
}

/// Guards against refusing a request while any endpoint may accept it.
#[test]
fn a_paused_endpoint_is_used_when_there_is_no_other() {
    let mut only = candidate("engine-0", 0.0);
    only.is_paused = true;
    let placement = choose_endpoint(&request(1), &[only.clone()]);
    assert_eq!(placement.map(|placement| placement.target), Some(0));
    only.is_closed = true;
    assert_eq!(choose_endpoint(&request(1), &[only]), None);
}

/// Simulates a hot prefix across many routers that each see a part of the requests. With
/// the loads that the other routers report, at most 3% of the requests bring their endpoint
/// above the cap of twice the mean load plus 3; with own counts alone, more than three times as
/// many.
#[test]
fn loads_of_other_routers_bound_the_load_of_a_hot_prefix() {
    let with_reports = requests_over_cap(true);
    let alone = requests_over_cap(false);
    assert!(with_reports * 100 <= 3 * REQUESTS, "{with_reports} of {REQUESTS} over the cap");
    assert!(
        alone > 3 * with_reports.max(1),
        "{alone} over the cap with own counts alone, {with_reports} with load reports"
    );
}

const REQUESTS: usize = 4_000;
const ROUTERS: usize = 15;
const ENDPOINTS: usize = 12;
/// Requests between two load reports of all routers.
const REQUESTS_PER_REPORT: usize = 16;
/// Requests in flight at once.
const IN_FLIGHT: usize = 90;

/// Counts the requests after which their endpoint is above the cap. A quarter of all requests
/// have the hot prefix. Without reports, a router knows only its own requests.
fn requests_over_cap(uses_reports: bool) -> usize {
    let ids = endpoint_ids(ENDPOINTS);
    let mut counts = vec![[0_u32; ENDPOINTS]; ROUTERS];
    let mut reported = counts.clone();
    let mut running = std::collections::VecDeque::new();
    let mut over_cap = 0;
    let mut state = 88_172_645_463_325_252_u64;
    for step in 0..REQUESTS {
        // xorshift, so that every run uses the same sequence
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        let router = (state % ROUTERS as u64) as usize;
        let hash = if state >> 32 & 3 == 0 { 1 } else { (state >> 40) % 64 };
        if step % REQUESTS_PER_REPORT == 0 {
            reported.clone_from(&counts);
        }
        let sum = |endpoint: usize, of: &Vec<[u32; ENDPOINTS]>| -> u32 {
            of.iter().map(|counts| counts[endpoint]).sum()
        };
        let candidates: Vec<_> = (0..ENDPOINTS)
            .map(|endpoint| {
                let others = sum(endpoint, &reported) - reported[router][endpoint];
                let others = if uses_reports { others } else { 0 };
                candidate(&ids[endpoint], f64::from(counts[router][endpoint] + others))
            })
            .collect();
        let target = choose_endpoint(&request(hash), &candidates).expect("a target").target;
        counts[router][target] += 1;
        running.push_back((router, target));
        if running.len() > IN_FLIGHT
            && let Some((router, target)) = running.pop_front()
        {
            counts[router][target] -= 1;
        }
        let mean = running.len() as f64 / ENDPOINTS as f64;
        over_cap += usize::from(f64::from(sum(target, &counts)) > 2.0 * mean + 3.0);
    }
    over_cap
}

/// Guards against a request that misses the cached prefix because the ranking of the
/// endpoints has changed since the prefix was cached.
#[test]
fn a_known_cache_holder_is_chosen_or_fetched_from() {
    let ids = endpoint_ids(12);
    for hash in 0..100 {
        let mut candidates: Vec<_> = ids.iter().map(|id| candidate(id, 1.0)).collect();
        let first = choose_endpoint(&request(hash), &candidates).expect("a target").target;
        let holder = (first + 5) % ids.len();
        candidates[holder].holds_prefix = true;
        let placement = choose_endpoint(&request(hash), &candidates).expect("a target");
        assert_eq!((placement.target, placement.prefix_source), (holder, None));
        // the first in the ranking can still fetch from a holder without capacity
        candidates[holder].requests = 20.0;
        let placement = choose_endpoint(&request(hash), &candidates).expect("a target");
        assert_eq!((placement.target, placement.prefix_source), (first, Some(holder)));
    }
}

/// Guards against a table that counts evicted caches as held, grows without bound, or
/// announces every use to every host.
#[test]
fn uses_are_announced_at_intervals_and_expire() {
    let start = Instant::now();
    let mut table = PrefixTable::default();
    assert!(table.record_local_use(1, 7, start));
    assert!(!table.record_local_use(1, 7, start + Duration::from_secs(1)));
    assert!(table.record_local_use(1, 7, start + Duration::from_secs(5)));
    table.record_peer_use(1, 8, start);
    assert!(table.holds(1, 8, start + Duration::from_secs(11)));
    assert!(!table.holds(1, 8, start + Duration::from_secs(13)));
    table.expire(start + Duration::from_secs(30));
    assert!(!table.holds(1, 7, start), "expired uses are removed");
}

/// Guards against sending a request again to an endpoint that refused it. When every
/// endpoint is overloaded, this only uses up the retry budget.
#[test]
fn an_endpoint_that_refused_a_request_does_not_receive_it_again() {
    let mut only = candidate("plain-0", 30.0);
    only.has_refused = true;
    only.was_tried = true;
    let plain = PlacementRequest { prefix_hash: None, shared_tokens: 0, tie_breaker: 1 };
    assert_eq!(choose_endpoint(&plain, &[only.clone()]), None);
    // an endpoint that failed the request is chosen if there is no other
    let failed = Candidate { has_refused: false, ..only.clone() };
    let placement = choose_endpoint(&plain, &[only, failed]).expect("a target");
    assert_eq!(placement.target, 1);
}

/// Guards against routers that all send to the endpoint that was idle when loads were
/// reported. Simulates short calls from many routers to three endpoints at peak load, where
/// each router receives the loads of the others 0.2 to 0.4 s late.
#[test]
fn stale_load_reports_do_not_overload_one_endpoint() {
    const WORK_MS: f64 = 30.0;
    let discounted = queued_calls(WORK_MS);
    let as_reported = queued_calls(0.0);
    assert!(
        as_reported > CALLS / 10,
        "{as_reported} of {CALLS} wait if stale reports count in full"
    );
    assert!(
        discounted * 5 <= as_reported,
        "{discounted} of {CALLS} wait, {as_reported} if stale reports count in full"
    );
}

const CALLS: usize = 6_000;

/// Counts the calls that wait because all slots of their endpoint are in use. With a known
/// latency of 0, load reports count in full.
fn queued_calls(known_latency_ms: f64) -> usize {
    const CALLING_ROUTERS: usize = 103;
    const ENDPOINT_COUNT: usize = 3;
    const SLOTS: usize = 6;
    const WORK_MS: usize = 30;
    const REPORT_INTERVAL_MS: usize = 200;
    let ids = endpoint_ids(ENDPOINT_COUNT);
    let mut state = 88_172_645_463_325_252_u64;
    // for each endpoint, the start time of each call in ms and the router that sent it
    let mut sent: Vec<Vec<(usize, usize)>> = vec![Vec::new(); ENDPOINT_COUNT];
    let mut queued = 0;
    for call in 0..CALLS {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        // one call each 2.5 ms, which keeps about two thirds of the slots in use
        let now_ms = 1_000 + call * 5 / 2;
        let router = (state % CALLING_ROUTERS as u64) as usize;
        let reported_at_ms = (now_ms / REPORT_INTERVAL_MS - 1) * REPORT_INTERVAL_MS;
        let running_at = |calls: &[(usize, usize)],
                          time_ms: usize,
                          accept: &dyn Fn(usize) -> bool| {
            let is_running = |start_ms: usize| start_ms <= time_ms && time_ms < start_ms + WORK_MS;
            calls.iter().filter(|(start, by)| is_running(*start) && accept(*by)).count()
        };
        let candidates: Vec<_> = (0..ENDPOINT_COUNT)
            .map(|endpoint| {
                let others = running_at(&sent[endpoint], reported_at_ms, &|by| by != router) as f64;
                let own = running_at(&sent[endpoint], now_ms, &|by| by == router) as f64;
                Candidate {
                    reported_requests: others,
                    latency_ms: known_latency_ms,
                    slots: SLOTS as u32,
                    ..candidate(&ids[endpoint], own + others)
                }
            })
            .collect();
        let plain = PlacementRequest { prefix_hash: None, shared_tokens: 0, tie_breaker: state };
        let target = choose_endpoint(&plain, &candidates).expect("a target").target;
        queued += usize::from(running_at(&sent[target], now_ms, &|_| true) >= SLOTS);
        sent[target].push((now_ms, router));
    }
    queued
}

/// Guards against long prefixes that are read again by other engines while all are full, which
/// takes the capacity that is missing; short ones move to the engine with the lowest load.
#[test]
fn long_prefixes_stay_while_all_endpoints_are_full() {
    let ids = endpoint_ids(6);
    let candidates: Vec<_> = ids
        .iter()
        .enumerate()
        .map(|(index, id)| Candidate {
            holds_prefix: index == 2,
            waiting: 3,
            ..candidate(id, if index == 2 { 80.0 } else { 70.0 })
        })
        .collect();
    let moves = |shared_tokens: u32| {
        let moved = (0..200).filter(|&hash| {
            let request = PlacementRequest { shared_tokens, ..request(hash) };
            choose_endpoint(&request, &candidates).expect("a target").target != 2
        });
        moved.count()
    };
    assert_eq!(moves(10_000), 0);
    assert_eq!(moves(700), 200);
}

/// Guards against a new connection for nearly every request while hundreds of routers send few
/// requests each: a router keeps to the endpoint that it is connected to, until that endpoint has a
/// request more than the others.
#[test]
fn open_connections_are_used_while_loads_are_equal() {
    let ids = endpoint_ids(5);
    let mut candidates: Vec<_> = ids.iter().map(|id| candidate(id, 1.0)).collect();
    candidates[3].has_idle_connection = true;
    let plain = |tie_breaker| PlacementRequest { prefix_hash: None, shared_tokens: 0, tie_breaker };
    let sent_to_it = |candidates: &[Candidate<'_>]| {
        let targets = (0..300).filter_map(|tie| choose_endpoint(&plain(tie), candidates));
        targets.filter(|placement| placement.target == 3).count()
    };
    assert_eq!(sent_to_it(&candidates), 300);
    candidates[3].requests = 2.2;
    assert_eq!(sent_to_it(&candidates), 0);
}
