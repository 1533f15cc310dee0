use {
    super::fleet::{START_MS, key_at},
    crate::claims::{
        claim_id::ClaimId,
        range_state::{Applied, ClaimEvent, Judgement, RangeState},
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

/// Guards against a late record of an old owner that takes a key from the new one.
#[test]
fn records_of_older_epochs_are_void() {
    let (mut state, id) = (RangeState::new(), new_id());
    state.apply(1, &batch("f", 5, vec![fence(0)]));
    assert_eq!(state.apply(2, &batch("old", 4, vec![claim(&id, "x")])), Applied::Void);
    assert_eq!(state.judge(&id, "y", 1), Judgement::Free);
}

/// Guards against an append that was repeated after a lost answer and counts twice.
#[test]
fn a_batch_that_appears_twice_counts_once() {
    let (mut state, id) = (RangeState::new(), new_id());
    let first = batch("b", 5, vec![claim(&id, "x")]);
    let granted = ClaimEvent::Granted(id.clone(), "x".to_owned());
    assert_eq!(state.apply(1, &first), Applied::Counted(vec![granted]));
    assert_eq!(state.apply(2, &first), Applied::Repeated);
    let refused = ClaimEvent::Refused(id.clone(), "y".to_owned());
    assert_eq!(
        state.apply(3, &batch("c", 5, vec![claim(&id, "y")])),
        Applied::Counted(vec![refused])
    );
}

/// Guards against an outage's uncertainty that ends with the next takeover.
#[test]
fn a_later_fence_does_not_lower_the_uncertainty() {
    let mut state = RangeState::new();
    state.apply(1, &batch("f", 5, vec![fence(START_MS + 1)]));
    state.apply(2, &batch("g", 6, vec![fence(0)]));
    assert_eq!(state.judge(&new_id(), "x", 1), Judgement::MayHaveRun);
}

/// Guards against a rule that trusts a flush of an earlier outage, or ignores that an
/// owner keeps its authority for a lease after the outage.
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
