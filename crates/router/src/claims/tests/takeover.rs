use {
    super::{
        fleet::{LONG_WAIT_MS, SHORT_WAIT_MS, serving_host},
        test_log::Stage,
    },
    mango_wire::peer::ClaimResult,
    std::{collections::HashSet, time::Duration},
};

const STAGES: [Stage; 4] =
    [Stage::BeforeAppend, Stage::AfterAppend, Stage::BeforeRead, Stage::AfterRead];

/// Guards against an owner that is paused between append and answer, continues after a
/// takeover that it may not have noticed, and grants a key that its successor granted.
#[test]
fn a_paused_owner_never_grants_a_key_twice() {
    for stage in STAGES {
        for takeover_unnoticed in [false, true] {
            let (fleet, old) = serving_host();
            let key = fleet.key();
            let (reached, resume) = old.log.pause_at(stage);
            let undecided = old.start_claim(&key, "a", LONG_WAIT_MS);
            reached.recv_timeout(Duration::from_secs(5)).unwrap();
            let new = fleet.host("h2", Some(2));
            if !takeover_unnoticed {
                old.authority.set(None, false);
            }
            let in_log = stage != Stage::BeforeAppend;
            let second =
                new.claim(&key, "b", if in_log { SHORT_WAIT_MS } else { LONG_WAIT_MS }).result;
            resume.send(()).unwrap();
            let first = undecided.recv().unwrap().result;
            let expected = if in_log { ClaimResult::InProgress } else { ClaimResult::Granted };
            assert_eq!(second, expected, "{stage:?}");
            if !takeover_unnoticed || !in_log {
                assert_eq!(first, ClaimResult::NotOwner, "{stage:?}");
            }
            assert!(fleet.grants.lock().get(&key).is_none_or(|ids| ids.len() == 1), "{stage:?}");
        }
    }
}

/// Guards against a claim that is lost or granted to another request when its owner dies
/// between append and answer. The same request may claim again.
#[test]
fn a_claim_survives_a_crash_at_any_point() {
    for stage in STAGES {
        let (fleet, old) = serving_host();
        let key = fleet.key();
        let (reached, resume) = old.log.pause_at(stage);
        let _undecided = old.start_claim(&key, "a", LONG_WAIT_MS);
        reached.recv_timeout(Duration::from_secs(5)).unwrap();
        old.authority.set(None, false);
        let new = fleet.host("h2", Some(2));
        assert_eq!(new.claim_result(&key, "a"), ClaimResult::Granted, "{stage:?}");
        assert_eq!(
            new.claim(&key, "b", SHORT_WAIT_MS).result,
            ClaimResult::InProgress,
            "{stage:?}"
        );
        new.record_outcome(&key, "a", 200, b"done");
        assert_eq!(new.claim(&key, "c", LONG_WAIT_MS).body, b"done", "{stage:?}");
        resume.send(()).unwrap();
    }
}

/// Guards against an append whose answer is lost and that is repeated, or whose claim
/// stays undecided.
#[test]
fn a_lost_answer_is_recognised_by_the_batch_id() {
    let (fleet, host) = serving_host();
    fleet.log.set_faults(|faults| faults.lose_answers = true);
    let key = fleet.key();
    assert_eq!(host.claim(&key, "a", LONG_WAIT_MS).result, ClaimResult::Granted);
    assert_eq!(host.claim(&key, "b", SHORT_WAIT_MS).result, ClaimResult::InProgress);
    host.wait_until_recorded();
    let bodies = fleet.log.bodies();
    let distinct: HashSet<&String> = bodies.iter().collect();
    assert_eq!(bodies.len(), distinct.len(), "a record in the log is not appended again");
}

/// Guards against an append that takes effect only after its retry, when the key was
/// freed and claimed by another request, and that claims the key again.
#[test]
fn a_delayed_append_has_no_second_effect() {
    let (fleet, host) = serving_host();
    let key = fleet.key();
    fleet.log.set_faults(|faults| faults.hold_back = true);
    let undecided = host.start_claim(&key, "a", LONG_WAIT_MS);
    assert!(undecided.recv_timeout(Duration::from_millis(50)).is_err());
    fleet.log.set_faults(|faults| faults.hold_back = false);
    assert_eq!(undecided.recv().unwrap().result, ClaimResult::Granted);
    host.abandon(&key, "a");
    assert_eq!(host.claim(&key, "b", LONG_WAIT_MS).result, ClaimResult::Granted);
    fleet.log.release_held_back();
    assert_eq!(host.claim(&key, "c", SHORT_WAIT_MS).result, ClaimResult::InProgress);
    let successor = fleet.host("h2", Some(2));
    assert_eq!(successor.claim(&key, "d", SHORT_WAIT_MS).result, ClaimResult::InProgress);
    assert_eq!(successor.claim_result(&key, "b"), ClaimResult::Granted);
}
