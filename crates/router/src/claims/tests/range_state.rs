use {
    super::fleet::{START_MS, key_at},
    crate::claims::{
        claim_id::ClaimId,
        range_state::{ApplyResult, ClaimEvent, KeyStatus, RangeState},
        uncertainty::uncertain_before_ms,
    },
    mango_wire::records::{Claim, ClaimBatch, ClaimEntry, Fence},
};

fn batch(batch_id: &str, epoch: u64, entries: Vec<ClaimEntry>) -> ClaimBatch {
    ClaimBatch { batch_id: batch_id.to_owned(), epoch, entries }
}

fn claim(id: &ClaimId, request_id: &str) -> ClaimEntry {
    ClaimEntry::Claim(Claim {
        key: id.to_record(),
        request_id: request_id.to_owned(),
        host_id: "h1".to_owned(),
        body_digest: 1,
    })
}

fn fence(uncertain_before_ms: u64) -> ClaimEntry {
    ClaimEntry::Fence(Fence { uncertain_before_ms })
}

fn new_id() -> ClaimId {
    ClaimId::parse("firma", &key_at(START_MS)).unwrap()
}

/// Guards against a late record of a former owner that claims a key.
#[test]
fn records_of_older_epochs_are_ignored() {
    let (mut state, id) = (RangeState::new(), new_id());
    state.apply(1, &batch("f", 5, vec![fence(0)]));
    assert_eq!(state.apply(2, &batch("old", 4, vec![claim(&id, "x")])), ApplyResult::StaleEpoch);
    assert_eq!(state.key_status(&id, "y", 1), KeyStatus::Free);
}

/// Guards against a batch that is applied twice, because its append was repeated after a
/// lost answer.
#[test]
fn a_batch_that_appears_twice_is_applied_once() {
    let (mut state, id) = (RangeState::new(), new_id());
    let first = batch("b", 5, vec![claim(&id, "x")]);
    let granted = ClaimEvent::Granted(id.clone(), "x".to_owned());
    assert_eq!(state.apply(1, &first), ApplyResult::Applied(vec![granted]));
    assert_eq!(state.apply(2, &first), ApplyResult::Duplicate);
    let refused = ClaimEvent::Refused(id.clone(), "y".to_owned());
    assert_eq!(
        state.apply(3, &batch("c", 5, vec![claim(&id, "y")])),
        ApplyResult::Applied(vec![refused])
    );
}

/// Guards against a takeover that makes keys of an earlier unflushed outage claimable.
#[test]
fn a_later_fence_does_not_lower_the_uncertainty() {
    let mut state = RangeState::new();
    state.apply(1, &batch("f", 5, vec![fence(START_MS + 1)]));
    state.apply(2, &batch("g", 6, vec![fence(0)]));
    assert_eq!(state.key_status(&new_id(), "x", 1), KeyStatus::MayHaveRun);
}

/// Guards against relying on the flush of an earlier outage, and against ignoring that an
/// owner may act for a lease after the end of an outage.
#[test]
fn uncertainty_covers_the_outage_the_lease_and_the_skew() {
    let outages = [(10_000, 20_000), (40_000, 50_000)];
    assert_eq!(uncertain_before_ms(&[], 0, 90_000, 1_000, 2_000), 0);
    assert_eq!(uncertain_before_ms(&outages, 0, 90_000, 1_000, 2_000), 53_000);
    assert_eq!(uncertain_before_ms(&outages, 22_000, 90_000, 1_000, 2_000), 53_000);
    assert_eq!(uncertain_before_ms(&outages, 51_999, 90_000, 1_000, 2_000), 53_000);
    assert_eq!(uncertain_before_ms(&outages, 52_000, 90_000, 1_000, 2_000), 0);
    assert_eq!(uncertain_before_ms(&outages, 22_000, 30_000, 1_000, 2_000), 0);
    assert_eq!(uncertain_before_ms(&outages, 0, 30_000, 1_000, 2_000), 23_000);
}
