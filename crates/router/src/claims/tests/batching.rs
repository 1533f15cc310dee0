use {
    super::{
        fleet::{LONG_WAIT_MS, RETENTION_MS, SHORT_WAIT_MS, START_MS, key_at, serving_host},
        test_log::Stage,
    },
    crate::claims::{KeyError, key_issued_at_ms},
    mango_wire::peer::ClaimResult,
    std::{thread, time::Duration},
    uuid::Uuid,
};

/// Guards against one append per claim under load, which the log can't handle, and against
/// records above the log's size limit.
#[test]
fn concurrent_claims_share_bounded_batches() {
    let (fleet, host) = serving_host();
    fleet.log.set_faults(|faults| faults.delay = Duration::from_millis(10));
    let replies: Vec<_> =
        (0..200).map(|i| host.start_claim(&fleet.key(), &format!("r{i}"), LONG_WAIT_MS)).collect();
    for reply in replies {
        assert_eq!(reply.recv().unwrap().result, ClaimResult::Granted);
    }
    assert!(fleet.log.bodies().len() < 40);
    assert!(fleet.log.bodies().iter().all(|body| body.len() <= 4096));
}

/// Guards against a repeat that runs again or gets another answer than the first request.
#[test]
fn repeats_get_the_stored_answer() {
    let (fleet, host) = serving_host();
    let (key, large) = (fleet.key(), fleet.key());
    assert_eq!(host.claim_result(&key, "a"), ClaimResult::Granted);
    let waiting_repeat = host.start_claim(&key, "b", LONG_WAIT_MS);
    host.record_outcome(&key, "a", 201, b"booked");
    let reply = waiting_repeat.recv().unwrap();
    assert_eq!((reply.result, reply.status), (ClaimResult::Completed, 201));
    assert_eq!(reply.body, b"booked");
    assert_eq!(host.claim_result(&large, "c"), ClaimResult::Granted);
    host.record_outcome(&large, "c", 200, &[b'x'; 65]);
    let reply = host.claim(&large, "d", LONG_WAIT_MS);
    assert_eq!((reply.result, reply.body_kept), (ClaimResult::Completed, false));
}

/// Guards against a second request with another body under the same key.
#[test]
fn a_key_reused_with_another_body_is_refused() {
    let (fleet, host) = serving_host();
    let key = fleet.key();
    assert_eq!(host.claim_result(&key, "a"), ClaimResult::Granted);
    let reply = host.start_claim_with_body(&key, "b", LONG_WAIT_MS, 2).recv().unwrap();
    assert_eq!(reply.result, ClaimResult::KeyReused);
}

/// Guards against a repeat that hangs, or is run, while the first request runs.
#[test]
fn a_repeat_waits_no_longer_than_its_deadline() {
    let (fleet, host) = serving_host();
    let key = fleet.key();
    assert_eq!(host.claim_result(&key, "a"), ClaimResult::Granted);
    assert_eq!(host.claim(&key, "b", SHORT_WAIT_MS).result, ClaimResult::InProgress);
    assert_eq!(
        host.claim_result(&key, "a"),
        ClaimResult::Granted,
        "the same request may claim again"
    );
}

/// Guards against a key that stays blocked although nothing was sent.
#[test]
fn an_abandoned_key_goes_to_a_waiting_repeat() {
    let (fleet, host) = serving_host();
    let key = fleet.key();
    assert_eq!(host.claim_result(&key, "a"), ClaimResult::Granted);
    let waiting_repeat = host.start_claim(&key, "b", LONG_WAIT_MS);
    host.abandon(&key, "a");
    assert_eq!(waiting_repeat.recv().unwrap().result, ClaimResult::Granted);
    host.abandon(&key, "a");
    assert_eq!(host.claim(&key, "c", SHORT_WAIT_MS).result, ClaimResult::InProgress);
}

/// Guards against a second run after a request that failed, or whose host died, since
/// either may already have taken effect.
#[test]
fn failed_and_orphaned_requests_may_have_run() {
    let (fleet, host) = serving_host();
    let (failed, orphan) = (fleet.key(), fleet.key());
    assert_eq!(host.claim_result(&failed, "a"), ClaimResult::Granted);
    host.record_outcome(&failed, "a", 0, b"");
    assert_eq!(host.claim_result(&orphan, "b"), ClaimResult::Granted);
    host.claims.host_down(&"h1".to_owned());
    host.wait_until_recorded();
    assert_eq!(host.claim_result(&failed, "c"), ClaimResult::MayHaveRun);
    assert_eq!(host.claim_result(&orphan, "d"), ClaimResult::MayHaveRun);
    let successor = fleet.host("h2", Some(2));
    assert_eq!(successor.claim_result(&orphan, "e"), ClaimResult::MayHaveRun);
}

/// Guards against granting a key whose claim the log has deleted, also after the clock
/// jumped back.
#[test]
fn old_keys_are_refused() {
    let (fleet, host) = serving_host();
    let key = fleet.key();
    assert_eq!(host.claim_result(&key, "a"), ClaimResult::Granted);
    fleet.advance_clock(RETENTION_MS);
    assert_eq!(host.claim_result(&key, "b"), ClaimResult::KeyExpired);
    fleet.advance_clock(RETENTION_MS.wrapping_neg());
    assert_eq!(host.claim_result(&key, "c"), ClaimResult::KeyExpired);
}

/// Guards against a grant that came after the deadline, is never used and blocks its key
/// for good.
#[test]
fn a_grant_after_the_deadline_is_abandoned() {
    let (fleet, host) = serving_host();
    let key = fleet.key();
    fleet.log.set_faults(|faults| faults.delay = Duration::from_millis(60));
    assert_eq!(host.start_claim(&key, "a", 30).recv().unwrap().result, ClaimResult::Unavailable);
    fleet.log.set_faults(|faults| faults.delay = Duration::ZERO);
    thread::sleep(Duration::from_millis(5));
    assert_eq!(host.claim(&key, "b", LONG_WAIT_MS).result, ClaimResult::Granted);
}

/// Guards against granting a request while its own abandonment is not yet in the log: the
/// abandonment would then free the key of a running request.
#[test]
fn an_abandoned_request_is_not_granted_before_its_abandonment_is_recorded() {
    let (fleet, host) = serving_host();
    let key = fleet.key();
    let (reached, resume) = host.log.pause_at(Stage::BeforeAppend);
    let first = host.start_claim(&key, "a", 1_000);
    reached.recv_timeout(Duration::from_secs(5)).unwrap();
    fleet.log.set_faults(|faults| faults.down = true);
    thread::sleep(Duration::from_millis(1_000));
    resume.send(()).unwrap();
    assert_eq!(first.recv().unwrap().result, ClaimResult::Unavailable);
    assert_eq!(host.claim(&key, "a", LONG_WAIT_MS).result, ClaimResult::Unavailable);
    fleet.log.set_faults(|faults| faults.down = false);
    assert_eq!(host.claim(&key, "b", LONG_WAIT_MS).result, ClaimResult::Granted);
    assert!(fleet.grants.lock()[&key].iter().eq(["b"]));
}

/// Guards against two spellings of one key, which would be claimed in two ranges, and
/// against keys without an issue time.
#[test]
fn only_canonical_version_7_keys_are_accepted() {
    let key = key_at(START_MS);
    assert_eq!(key_issued_at_ms(&key), Ok(START_MS));
    assert_eq!(key_issued_at_ms(&key.to_uppercase()), Err(KeyError::NotCanonical));
    assert_eq!(key_issued_at_ms(&key.replace('-', "")), Err(KeyError::NotCanonical));
    let random = Uuid::new_v4().to_string();
    assert_eq!(key_issued_at_ms(&random), Err(KeyError::WrongVersion(4)));
}
