//! Tests that all routers decide concurrent changes alike, in whatever order
//! records are delivered, and that the version never decreases.

use {
    crate::config::{
        Config, ConfigEvent, ConfigState,
        snapshot_parts::{canonical_json, snapshot_records, whole_snapshot},
    },
    mango_config::{HistoryOutcome, parse_objects},
    mango_wire::{
        config::{Change, ConfigObject, ObjectKey, ObjectKind},
        platform::LogRecord,
    },
    proptest::{collection::vec, prelude::*},
    std::collections::{HashMap, VecDeque},
};

pub(super) fn object(text: &str) -> ConfigObject {
    let objects = parse_objects(text).expect("test object parses").objects;
    objects.into_iter().next().expect("one object")
}

pub(super) fn change(id: &str, based_on: u64, put: Vec<ConfigObject>) -> Change {
    let change_id = id.to_owned();
    Change { author: "ann".to_owned(), based_on, change_id, delete: Vec::new(), made_at_ms: 0, put }
}

pub(super) fn record(offset: u64, change: &Change) -> LogRecord {
    let body = serde_json::json!({ "change": change }).to_string();
    LogRecord { offset, at_ms: offset, body }
}

/// Canonical text of a configuration, for comparison.
fn fingerprint(config: &Config) -> String {
    canonical_json(&whole_snapshot(config, config.version())).expect("serialises")
}

/// One change of an operator: the object to put or delete, and how many accepted
/// versions the version that it is based on lags behind.
#[derive(Clone, Debug)]
struct Step {
    kind: u8,
    id: u8,
    delete: bool,
    label: u8,
    versions_behind: usize,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..4u8, 0..3u8, prop::bool::weighted(0.2), 0..3u8, 0..4usize).prop_map(
        |(kind, id, delete, label, versions_behind)| Step {
            kind,
            id,
            delete,
            label,
            versions_behind,
        },
    );
    vec(step, 1..40)
}

fn change_of(step: &Step, based_on: u64, index: usize) -> Change {
    let Step { id, label, .. } = step;
    let (kind, text) = match step.kind {
        0 => (
            ObjectKind::Endpoint,
            format!(
                r#"{{"endpoint":{{"id":"{id}","kind":"engine","address":"10.0.0.{id}:1",
                "region":"r","zone":"z","labels":{{"l":"{label}"}}}}}}"#
            ),
        ),
        1 => (ObjectKind::Pool, format!(r#"{{"pool":{{"id":"{id}","selector":"l={label}"}}}}"#)),
        2 => {
            (ObjectKind::Team, format!(r#"{{"team":{{"id":"{id}","labels":{{"l":"{label}"}}}}}}"#))
        }
        _ => (
            ObjectKind::Route,
            format!(r#"{{"route":{{"id":"{id}","work":"","pool":"{label}"}}}}"#),
        ),
    };
    let mut change = change(&format!("c{index}"), based_on, Vec::new());
    match step.delete {
        true => change.delete.push(ObjectKey { kind, id: id.to_string() }),
        false => change.put.push(object(&text)),
    }
    change
}

/// Log with the changes of all steps and periodic snapshots. `decisions` holds
/// whether each change is accepted if records are read in order.
struct Scenario {
    records: Vec<LogRecord>,
    decisions: HashMap<u64, bool>,
    last: Config,
    /// Offset after the last record.
    tail: u64,
}

/// Appends the records of each snapshot `lag` changes after the state that it
/// captures, as a slow snapshot writer does.
fn scenario(steps: &[Step], snapshot_every: usize, lag: usize) -> Scenario {
    let mut config = Config::default();
    let (mut records, mut decisions) = (Vec::new(), HashMap::new());
    let mut versions = vec![0];
    let mut written: VecDeque<(usize, Vec<String>)> = VecDeque::new();
    let mut offset = 1;
    for (index, step) in steps.iter().enumerate() {
        let based_on = versions[versions.len().saturating_sub(1 + step.versions_behind)];
        let change = change_of(step, based_on, index);
        records.push(record(offset, &change));
        let decided = config.decide(&change, offset);
        decisions.insert(offset, decided.is_ok());
        if let Ok(next) = decided {
            config = next;
            versions.push(offset);
        }
        offset += 2;
        if index % snapshot_every == snapshot_every - 1 {
            let bodies = snapshot_records(&config, offset - 1, 900).expect("snapshot");
            written.push_back((index + lag, bodies));
        }
        while let Some((_, bodies)) = written.pop_front_if(|(due, _)| *due <= index) {
            for body in bodies {
                records.push(LogRecord { offset, at_ms: offset, body });
                offset += 3;
            }
        }
    }
    Scenario { records, decisions, last: config, tail: offset }
}

/// Reads the scenario from offset `first` on in several parts. The records of
/// each part are shuffled and mixed with random others, including duplicates.
fn read_out_of_order(
    scenario: &Scenario,
    first: u64,
    seed: u64,
) -> (ConfigState, HashMap<u64, bool>) {
    let mut state = ConfigState::new();
    let mut decisions = HashMap::new();
    let mut random = seed | 1;
    let mut draw = move |below: usize| {
        random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (random >> 33) as usize % below.max(1)
    };
    let kept: Vec<_> = scenario.records.iter().filter(|record| record.offset >= first).collect();
    let mut version = 0;
    while state.next() < scenario.tail {
        let from = state.next();
        let part: Vec<_> =
            kept.iter().filter(|r| r.offset >= from).take(1 + draw(4)).copied().collect();
        let mut delivered = part.clone();
        for _ in 0..draw(6) {
            delivered.push(kept[draw(kept.len())]);
        }
        for index in (1..delivered.len()).rev() {
            delivered.swap(index, draw(index + 1));
        }
        for record in delivered {
            state.apply(record.clone());
        }
        let through = part.last().map_or(scenario.tail, |record| record.offset + 1);
        // a delayed confirmation of an earlier read, then one that skips records
        state.confirm(0, from.saturating_sub(1), first);
        let before = state.next();
        state.confirm(from + 1, through + 1, first);
        assert_eq!(state.next(), before, "a read that skips records has no effect");
        for event in state.confirm(from, through, first) {
            if let ConfigEvent::Decided(entry) = event {
                let accepted = matches!(entry.outcome, HistoryOutcome::Accepted);
                let known = decisions.insert(entry.offset, accepted);
                assert_eq!(known, None, "offset {} was decided twice", entry.offset);
            }
        }
        assert!(state.config().version() >= version, "the version decreased");
        version = state.config().version();
    }
    (state, decisions)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against routers that decide a concurrent change differently and
    /// therefore route by different configurations.
    #[test]
    fn every_delivery_is_decided_alike(steps in steps(), seed: u64, every in 1..8usize, lag in 0..4usize) {
        let scenario = scenario(&steps, every, lag);
        let (state, decisions) = read_out_of_order(&scenario, 1, seed);
        prop_assert!(state.is_following());
        prop_assert_eq!(&decisions, &scenario.decisions);
        prop_assert_eq!(fingerprint(state.config()), fingerprint(&scenario.last));
    }

    /// A router that starts after records expired must end with the same
    /// configuration as one that read them all, or with none.
    #[test]
    fn expired_log_gives_the_same_or_nothing(
        steps in steps(), seed: u64, every in 1..8usize, lag in 0..4usize, cut in 0..60u64,
    ) {
        let scenario = scenario(&steps, every, lag);
        let first = 2 + cut;
        prop_assume!(scenario.records.iter().any(|record| record.offset >= first));
        let (state, decisions) = read_out_of_order(&scenario, first, seed);
        if state.is_following() {
            prop_assert_eq!(fingerprint(state.config()), fingerprint(&scenario.last));
        } else {
            prop_assert_eq!(state.config().version(), 0);
        }
        for (offset, accepted) in decisions {
            prop_assert_eq!(accepted, scenario.decisions[&offset]);
        }
    }

    /// Applying changes incrementally must give the same result as a full compile.
    #[test]
    fn incremental_equals_full_compile(steps in steps()) {
        let last = scenario(&steps, 1000, 0).last;
        let snapshot = whole_snapshot(&last, last.version());
        let full = Config::from_objects(snapshot.version, snapshot.objects, snapshot.deleted, 0)
            .expect("a configuration in force compiles");
        let members = |config: &Config| -> Vec<(String, Vec<String>)> {
            let ids = |pool: &crate::config::PoolInfo| {
                pool.endpoints.iter().map(|e| format!("{}@{}", e.id, e.version)).collect()
            };
            config.pools().map(|pool| (pool.id.clone(), ids(pool))).collect()
        };
        prop_assert_eq!(members(&last), members(&full));
        prop_assert_eq!(fingerprint(&last), fingerprint(&full));
    }

    /// Invalid records must neither stop a router nor change the configuration.
    #[test]
    fn garbage_records_are_skipped(
        bodies in vec(prop_oneof![
            ".{0,60}",
            Just(r#"{"change":{"change_id":"x"}}"#.to_owned()),
            Just(r#"{"snapshot":{"version":9,"offset":3,"objects":[],"deleted":[]}}"#.to_owned()),
            Just(r#"{"snapshot":{"version":9,"offset":18446744073709551615,"objects":[],
                "deleted":[],"part":7,"parts":4294967295}}"#.to_owned()),
        ], 0..20),
        first in 0..3u64,
    ) {
        let mut state = ConfigState::new();
        let count = bodies.len() as u64;
        for (index, body) in bodies.into_iter().enumerate() {
            state.apply(LogRecord { offset: first + 1 + index as u64, at_ms: 0, body });
        }
        state.confirm(0, first + count + 1, first);
        prop_assert_eq!(state.config().version(), 0);
    }
}

fn state_with(changes: &[(u64, Change)]) -> (ConfigState, Vec<ConfigEvent>) {
    let mut state = ConfigState::new();
    let mut events = Vec::new();
    for (offset, change) in changes {
        state.apply(record(*offset, change));
        events.extend(state.confirm(state.next(), offset + 1, 0));
    }
    (state, events)
}

/// The rejection of a conflicting change must name the object, the preceding
/// change and its author.
#[test]
fn rejection_names_object_and_change() {
    let team = |weight: f64| object(&format!(r#"{{"team":{{"id":"t","weight":{weight}}}}}"#));
    let (state, events) = state_with(&[
        (1, change("first", 0, vec![team(1.0)])),
        (4, change("winner", 1, vec![team(2.0)])),
        (9, change("loser", 1, vec![team(3.0)])),
    ]);
    assert_eq!(state.config().version(), 4);
    let Some(ConfigEvent::Decided(entry)) = events.last() else { panic!("no decision") };
    let HistoryOutcome::Rejected(rejection) = &entry.outcome else { panic!("accepted") };
    assert_eq!(
        rejection.to_string(),
        "team/t: changed at version 4, after version 1 that the change was made against, change \
         winner of ann"
    );
}

/// A router that missed records keeps its configuration and adopts neither an
/// equal version from a peer nor an older one from a peer or the log.
#[test]
fn older_snapshot_never_replaces_a_newer_configuration() {
    let team = |weight: f64| object(&format!(r#"{{"team":{{"id":"t","weight":{weight}}}}}"#));
    let (mut state, _) = state_with(&[
        (1, change("first", 0, vec![team(1.0)])),
        (4, change("second", 1, vec![team(2.0)])),
    ]);
    let (old, _) = state_with(&[(1, change("first", 0, vec![team(1.0)]))]);
    let current = state.config().clone();
    state.confirm(state.next(), 90, 80);
    assert!(!state.is_following(), "records 5 to 79 are unknown");
    for config in [old.config(), &current] {
        let snapshot = whole_snapshot(config, config.version());
        assert_eq!(state.adopt_from_peer(snapshot), Ok(false));
    }
    let body = snapshot_records(old.config(), 95, 10_000).expect("snapshot").remove(0);
    state.apply(LogRecord { offset: 96, at_ms: 0, body });
    state.confirm(90, 97, 80);
    assert_eq!(state.config().version(), 4);
    assert!(!state.is_following());
}

/// Concurrent changes of different objects must not conflict.
#[test]
fn unrelated_changes_are_both_accepted() {
    let (state, _) = state_with(&[
        (1, change("a", 0, vec![object(r#"{"team":{"id":"a"}}"#)])),
        (2, change("b", 0, vec![object(r#"{"team":{"id":"b"}}"#)])),
    ]);
    assert!(state.config().team("a").is_some() && state.config().team("b").is_some());
}

/// A change based on a version before a delete must not restore the object.
#[test]
fn deleted_object_stays_deleted() {
    let team = || object(r#"{"team":{"id":"t"}}"#);
    let mut delete = change("delete", 1, Vec::new());
    delete.delete.push(ObjectKey { kind: ObjectKind::Team, id: "t".to_owned() });
    let (state, _) = state_with(&[
        (1, change("create", 0, vec![team()])),
        (2, delete),
        (3, change("late", 1, vec![team()])),
    ]);
    assert!(state.config().team("t").is_none());
    let (state, _) = state_with(&[
        (1, change("create", 0, vec![team()])),
        (2, change("again", 1, vec![team()])),
    ]);
    assert_eq!(state.config().version(), 2);
}

/// Invalid changes in the log must be rejected, even if the publishing router
/// did not check them.
#[test]
fn invalid_changes_are_rejected() {
    let pool = object(r#"{"pool":{"id":"p","selector":"a=1"}}"#);
    let route = object(r#"{"route":{"id":"r","work":"","pool":"p"}}"#);
    let mut drop_pool = change("drop", 1, Vec::new());
    drop_pool.delete.push(ObjectKey { kind: ObjectKind::Pool, id: "p".to_owned() });
    let mut drop_unknown = change("unknown", 1, Vec::new());
    drop_unknown.delete.push(ObjectKey { kind: ObjectKind::Team, id: "x".to_owned() });
    let dangling = object(r#"{"route":{"id":"q","work":"","pool":"nowhere"}}"#);
    let mut seen = HashMap::new();
    let (a, b) = (0..1_000_000)
        .find_map(|n| {
            let id = format!("team-{n}");
            let other = seen.insert(mango_wire::team_key(&id), id.clone())?;
            Some((other, id))
        })
        .expect("a collision among a million ids");
    let team = |id: &str| object(&format!(r#"{{"team":{{"id":"{id}"}}}}"#));
    let (state, events) = state_with(&[
        (1, change("ok", 0, vec![pool.clone(), route])),
        (2, drop_pool),
        (3, drop_unknown),
        (4, change("dangling", 1, vec![dangling])),
        (5, change("future", 99, vec![pool.clone()])),
        (6, change("empty", 1, Vec::new())),
        (7, change("twice", 1, vec![pool.clone(), pool])),
        (8, change("collision", 1, vec![team(&a), team(&b)])),
    ]);
    assert_eq!(state.config().version(), 1);
    assert_eq!(events.len(), 8);
}
