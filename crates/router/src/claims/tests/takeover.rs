use {
    super::{
        fleet::{LONG_MS, serving_host},
        test_log::Stage,
    },
    mango_wire::peer::ClaimResult,
};

const STAGES: [Stage; 4] =
    [Stage::BeforeAppend, Stage::AfterAppend, Stage::BeforeRead, Stage::AfterRead];

/// Guards against an owner that pauses anywhere between append and answer, goes on
/// after a takeover while it still believes that it owns the range, and grants a key
/// that its successor has granted.
#[test]
fn a_paused_owner_never_grants_a_key_twice() {
    for stage in STAGES {
        for still_believes in [false, true] {
            let (fleet, old) = serving_host();
            let key = fleet.key();
            let stop = old.log.stop_at(stage);
            let undecided = old.start(&key, "a", LONG_MS);
            stop.reached.recv().unwrap();
            let new = fleet.host("h2", Some(2));
            if !still_believes {
                old.authority.set(None, false);
            }
            let second = new.result(&key, "b");
            stop.resume.send(()).unwrap();
            let first = undecided.recv().unwrap().result;
            let on_log = stage != Stage::BeforeAppend;
            let expected = if on_log { ClaimResult::InProgress } else { ClaimResult::Granted };
            assert_eq!(second, expected, "{stage:?}");
            if !still_believes || !on_log {
                assert_eq!(first, ClaimResult::NotOwner, "{stage:?}");
            }
            assert!(fleet.grants.lock().get(&key).is_none_or(|ids| ids.len() == 1), "{stage:?}");
        }
    }
}

/// Guards against a claim that is lost or granted anew when its owner dies at any point
/// between append and answer: the same request may go on, another one may not.
#[test]
fn a_claim_survives_a_crash_at_any_point() {
    for stage in STAGES {
        let (fleet, old) = serving_host();
        let key = fleet.key();
        let stop = old.log.stop_at(stage);
        let _undecided = old.start(&key, "a", LONG_MS);
        stop.reached.recv().unwrap();
        old.authority.set(None, false);
        let new = fleet.host("h2", Some(2));
        assert_eq!(new.result(&key, "a"), ClaimResult::Granted, "{stage:?}");
        assert_eq!(new.result(&key, "b"), ClaimResult::InProgress, "{stage:?}");
        new.finish(&key, "a", 200, b"done");
        assert_eq!(new.claim(&key, "c", LONG_MS).body, b"done", "{stage:?}");
        stop.resume.send(()).unwrap();
    }
}

/// Guards against a retry after a lost answer that creates a second effect or that
/// leaves the claim undecided.
#[test]
fn a_lost_answer_is_recognised_by_the_batch_id() {
    let (fleet, host) = serving_host();
    fleet.log.set(|faults| faults.lose_answers = true);
    let key = fleet.key();
    assert_eq!(host.claim(&key, "a", LONG_MS).result, ClaimResult::Granted);
    assert_eq!(host.result(&key, "b"), ClaimResult::InProgress);
    host.settle();
    let ids: Vec<String> = fleet.log.batches().into_iter().map(|b| b.batch_id).collect();
    let mut distinct = ids.clone();
    distinct.dedup();
    assert_eq!(ids, distinct, "a record that is on the log is not appended again");
}

/// Guards against an append that takes effect after its retry and after the key was
/// freed and claimed by another request.
#[test]
fn a_delayed_append_has_no_second_effect() {
    let (fleet, host) = serving_host();
    let key = fleet.key();
    fleet.log.set(|faults| faults.hold_back = true);
    let undecided = host.start(&key, "a", LONG_MS);
    assert!(undecided.recv_timeout(std::time::Duration::from_millis(50)).is_err());
    fleet.log.set(|faults| faults.hold_back = false);
    assert_eq!(undecided.recv().unwrap().result, ClaimResult::Granted);
    host.abandon(&key, "a");
    assert_eq!(host.claim(&key, "b", LONG_MS).result, ClaimResult::Granted);
    fleet.log.release();
    assert_eq!(host.result(&key, "c"), ClaimResult::InProgress);
    let successor = fleet.host("h2", Some(2));
    assert_eq!(successor.result(&key, "d"), ClaimResult::InProgress);
    assert_eq!(successor.result(&key, "b"), ClaimResult::Granted);
}
