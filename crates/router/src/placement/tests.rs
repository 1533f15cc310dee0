use {
    super::{
        Candidate, EngineSpec, LoadTable, Planner, PoolSpec, PoolView, Topology, TotalEstimate,
        rank,
    },
    mango_wire::{
        peer::{AcquireMode, LoadEntry},
        settings::Policy,
    },
    proptest::prelude::*,
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const TTL: Duration = Duration::from_millis(1000);

fn topology(engines: u32) -> Topology {
    let engine = |key| EngineSpec { key, id: key.to_string(), slots: 16, weight: 1.0 };
    Topology {
        engines: (1..=engines).map(engine).collect(),
        pools: vec![PoolSpec { key: 1, cap_multiple: 1.25, engines: (1..=engines).collect() }],
        ..Topology::default()
    }
}

fn report(endpoint: u32, in_flight: u16) -> LoadEntry {
    let (epoch, version, queued, weight_permille, age_ms) = (1, 1, 0, 1000, 0);
    LoadEntry { endpoint, epoch, version, in_flight, queued, weight_permille, age_ms }
}

fn planner(policy: Policy, engines: u32) -> (Planner, Arc<LoadTable>) {
    let table = Arc::new(LoadTable::new(TTL, 0.3));
    let planner = Planner::new(policy, 0.3, table.clone(), 7);
    planner.set_topology(&topology(engines));
    (planner, table)
}

fn view(table: &LoadTable, engines: u32) -> Arc<PoolView> {
    PoolView::build(&topology(engines), table, 0.3).remove(&1).unwrap()
}

proptest! {
    /// Guards against the removal of one engine moving the chats of the other engines.
    #[test]
    fn only_the_chats_of_a_removed_engine_move(
        weights in prop::collection::vec(0.5f64..4.0, 2..30),
        removed in any::<prop::sample::Index>(),
        chat in any::<u64>(),
    ) {
        let engines: Vec<(u32, f64)> = (1u32..).zip(weights).collect();
        let removed = engines[removed.index(engines.len())].0;
        let remaining = engines.iter().copied().filter(|(key, _)| *key != removed);
        let mut before = rank(chat, engines.iter().copied());
        before.retain(|key| *key != removed);
        prop_assert_eq!(before, rank(chat, remaining));
    }

    /// Guards against an estimate that is higher than the sum of the latest counts.
    #[test]
    fn the_conservative_total_is_no_more_than_the_latest(
        counts in prop::collection::vec((0u32..50, 0u32..50), 0..40),
    ) {
        let mut total = TotalEstimate::default();
        counts.iter().for_each(|(latest, previous)| total.add(*latest, *previous));
        prop_assert!(total.conservative() <= total.latest());
    }
}

/// Guards against engines that get more or fewer chats than their share of the weights.
#[test]
fn chats_are_spread_by_weight() {
    let engines = [(1u32, 1.0), (2, 1.0), (3, 2.0), (4, 0.0)];
    let mut homes = HashMap::new();
    for chat in 1..=40_000u64 {
        *homes.entry(rank(chat, engines)[0]).or_insert(0u32) += 1;
    }
    for (engine, expected) in [(1, 10_000), (2, 10_000), (3, 20_000)] {
        let chats = homes[&engine];
        assert!(chats.abs_diff(expected) < 500, "{chats} of {expected}");
    }
    assert!(!homes.contains_key(&4));
}

/// Guards against a repeated report, or one of a previous owner, replacing a newer report.
#[test]
fn only_newer_reports_are_stored() {
    let table = LoadTable::new(TTL, 0.3);
    table.cell(1);
    let entry = |epoch, version, in_flight| LoadEntry { epoch, version, ..report(1, in_flight) };
    let merges =
        [(2, 5, 4, 1), (2, 5, 9, 0), (2, 4, 9, 0), (1, 9, 9, 0), (2, 6, 5, 1), (3, 1, 6, 1)];
    for (epoch, version, in_flight, stored) in merges {
        assert_eq!(table.merge(&[entry(epoch, version, in_flight)]).len(), stored);
    }
    assert_eq!(table.load(1).unwrap().in_flight, 6);
    assert!(table.merge(&[report(99, 1)]).is_empty(), "not configured");
}

/// Guards against the age of a report restarting at 0 at each host that forwards it.
#[test]
fn the_age_of_a_report_grows_while_it_is_forwarded() {
    let table = LoadTable::new(TTL, 0.3);
    let pool = view(&table, 2);
    let now = Instant::now();
    table.merge_at(&[LoadEntry { age_ms: 600, ..report(1, 5) }], now);
    assert_eq!(pool.total(now + Duration::from_millis(399)), 5);
    assert_eq!(pool.total(now + Duration::from_millis(400)), 0);
    let forwarded_at = now + Duration::from_millis(100);
    assert_eq!(table.cell(1).last().unwrap().to_entry(1, forwarded_at).age_ms, 700);
}

/// Guards against counting requests twice that moved from one engine to another.
#[test]
fn moved_requests_are_not_counted_twice() {
    let mut total = TotalEstimate::default();
    // the first engine has not yet reported that its 6 requests ended
    total.add(6, 6);
    total.add(0, 6);
    total.add(6, 0);
    assert_eq!((total.latest(), total.conservative()), (12, 6));
}

/// Guards against candidates in another order than `docs/design.md` defines: warm engines,
/// engines with free capacity by rank and then by load, queues.
#[test]
fn candidates_follow_the_order_of_the_design() {
    let (planner, table) = planner(Policy::Owner, 6);
    let ranked = rank(42, (1..=6u32).map(|key| (key, 1.0)));
    let loads: Vec<_> = (0u16..).zip(&ranked).map(|(load, key)| report(*key, 9 - load)).collect();
    table.merge(&loads);
    let steps = |returning| -> Vec<_> {
        let steps = planner.plan(1, 42, returning).unwrap();
        steps.map(|Candidate { endpoint, mode }| (endpoint, mode)).collect()
    };
    use AcquireMode::{IfRoom, IfWarm, Queue};
    let (home, second) = (ranked[0], ranked[1]);
    let rest = [(home, IfRoom), (second, IfRoom), (ranked[5], IfRoom), (ranked[4], IfRoom)];
    let rest: Vec<_> = rest.into_iter().chain([(home, Queue), (second, Queue)]).collect();
    assert_eq!(steps(false), rest);
    assert_eq!(steps(true), [vec![(home, IfWarm), (second, IfWarm)], rest].concat());
    assert!(planner.plan(2, 42, true).is_none());
}

/// Guards against a redirected request that does not look for the least loaded engines
/// again, or does not queue again after them.
#[test]
fn a_redirected_request_restarts_the_search() {
    let (planner, table) = planner(Policy::Owner, 3);
    let mut plan = planner.plan(1, 42, false).unwrap();
    let ranked = rank(42, (1..=3u32).map(|key| (key, 1.0)));
    assert_eq!(plan.by_ref().last().unwrap().endpoint, ranked[1]);
    table.merge(&[report(1, 2), report(2, 16), report(3, 1)]);
    plan.restart_search();
    let steps: Vec<_> = plan.map(|c| (c.endpoint, c.mode)).collect();
    use AcquireMode::{IfRoom, Queue};
    assert_eq!(steps, [(3, IfRoom), (1, IfRoom), (ranked[0], Queue), (ranked[1], Queue)]);
}

/// Guards against queueing at a degraded home before a healthy second choice.
#[test]
fn requests_do_not_queue_at_a_degraded_home() {
    let (planner, table) = planner(Policy::Owner, 4);
    let ranked = rank(42, (1..=4u32).map(|key| (key, 1.0)));
    table.merge(&[LoadEntry { weight_permille: 200, ..report(ranked[0], 16) }]);
    let steps = planner.plan(1, 42, false).unwrap();
    let queues: Vec<_> =
        steps.filter(|c| c.mode == AcquireMode::Queue).map(|c| c.endpoint).collect();
    assert_eq!(queues, [ranked[1], ranked[0]]);
}

/// Guards against a baseline policy that does not choose by the rule in its name.
#[test]
fn baselines_choose_one_engine() {
    let chosen = |policy, chat| -> Vec<u32> {
        let (planner, _) = planner(policy, 8);
        for engine in 1..=8 {
            planner.set_reported_load(engine, if engine == 5 { 0 } else { 10 + engine });
        }
        let plan = |_| {
            let steps: Vec<_> = planner.plan(1, chat, true).unwrap().collect();
            assert_eq!((steps.len(), steps[0].mode), (1, AcquireMode::Queue));
            steps[0].endpoint
        };
        (0..800).map(plan).collect()
    };
    let times_chosen = |chosen: &[u32], engine| chosen.iter().filter(|e| **e == engine).count();
    let random = chosen(Policy::Random, 42);
    assert!((1..=8).all(|engine| (60..150).contains(&times_chosen(&random, engine))));
    assert_eq!(random, chosen(Policy::Random, 42), "equal seeds choose equally");
    assert_eq!(times_chosen(&chosen(Policy::LeastReported, 42), 5), 800);
    let two = chosen(Policy::TwoChoices, 42);
    // of the 64 pairs of engines, 15 contain the least loaded one; the most loaded one is
    // chosen only from the pair that contains it twice
    assert!((140..240).contains(&times_chosen(&two, 5)) && times_chosen(&two, 8) < 40);
    let home = rank(42, (1..=8u32).map(|key| (key, 1.0)))[0];
    assert_eq!(times_chosen(&chosen(Policy::Rendezvous, 42), home), 800);
}

/// Guards against the old count of an engine whose owner has crashed: its requests have
/// restarted on other engines, whose caps the old count would raise.
#[test]
fn an_overdue_count_is_not_in_the_estimate() {
    let (table, now) = (LoadTable::new(TTL, 0.3), Instant::now());
    let pool = view(&table, 3);
    // two reports each, because the estimate uses the previous count too
    for version in 1..=2 {
        let reports = [report(2, 10), report(3, 10)].map(|r| LoadEntry { version, ..r });
        table.merge_at(&reports, now);
    }
    let in_flight = |ms| pool.load_for(1, 0, 1000, now + Duration::from_millis(ms)).in_flight;
    assert_eq!(in_flight(600), 20);
    let newer = LoadEntry { version: 3, ..report(2, 10) };
    table.merge_at(&[newer], now + Duration::from_millis(600));
    assert_eq!(in_flight(750), 10);
}

/// Guards against starting a moved chat without its cached prefix although its engine is
/// known, and against notifying the home's owner of a move that it reported itself.
#[test]
fn the_engine_that_a_chat_moved_to_is_tried_next() {
    let (planner, _) = planner(Policy::Owner, 6);
    let mut plan = planner.plan(1, 42, true).unwrap();
    let home = plan.next().unwrap().endpoint;
    let second = planner.plan(1, 42, true).unwrap().nth(1).unwrap().endpoint;
    let moved = (1..=6).find(|e| *e != home && *e != second).unwrap();
    assert_eq!(plan.home_to_notify(moved), Some(home));
    plan.record_chat_move(home, Some(moved));
    let next = Candidate { endpoint: moved, mode: AcquireMode::IfWarm };
    assert_eq!(plan.next(), Some(next));
    plan.record_chat_move(second, Some(moved));
    assert_ne!(plan.next(), Some(next));
    assert_eq!(plan.home_to_notify(moved), None);
    assert_eq!(plan.home_to_notify(second), Some(home));
    assert_eq!(plan.home_to_notify(home), None);
}
