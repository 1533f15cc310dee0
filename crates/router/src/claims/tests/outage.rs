use {
    super::fleet::{
        LEASE_MS, LONG_WAIT_MS, SHORT_WAIT_MS, SKEW_MS, TestFleet, key_at, serving_host,
    },
    mango_wire::peer::ClaimResult,
    std::time::Duration,
};

const OUTAGE_MS: u64 = 30_000;

/// Guards against a successor without the claims that were made in an outage and
/// flushed, and against a flushed outage that makes unused keys uncertain.
#[test]
fn flushed_claims_reach_the_successor() {
    let (fleet, host) = serving_host();
    let began_ms = fleet.begin_outage();
    host.authority.set(Some(1), true);
    let (done, running, abandoned, unused) = (fleet.key(), fleet.key(), fleet.key(), fleet.key());
    for (key, id) in [(&done, "a"), (&running, "b"), (&abandoned, "c")] {
        assert_eq!(host.claim_result(key, id), ClaimResult::Granted);
    }
    host.record_outcome(&done, "a", 200, b"ok");
    host.abandon(&abandoned, "c");
    assert_eq!(host.claim(&done, "d", LONG_WAIT_MS).body, b"ok");
    fleet.advance_clock(OUTAGE_MS);
    fleet.end_outage(began_ms);
    host.authority.set(Some(1), false);
    host.wait_until_recorded();
    fleet.advance_clock(SKEW_MS);
    // the second flush is appended by the next review of outages, within a second
    std::thread::sleep(Duration::from_millis(1_200));
    host.wait_until_recorded();
    host.authority.set(None, false);
    let successor = fleet.host("h2", Some(2));
    assert_eq!(successor.claim_result(&done, "e"), ClaimResult::Completed);
    assert_eq!(successor.claim(&running, "f", SHORT_WAIT_MS).result, ClaimResult::InProgress);
    assert_eq!(successor.claim_result(&abandoned, "g"), ClaimResult::Granted);
    assert_eq!(successor.claim_result(&unused, "h"), ClaimResult::Granted);
}

/// Guards against a successor that grants a key which its predecessor granted from
/// memory and never appended, and against refusing keys that can't be affected. Later
/// successors must refuse the same keys.
#[test]
fn unknown_keys_of_an_unflushed_outage_may_have_run() {
    let (fleet, host) = serving_host();
    let began_ms = fleet.begin_outage();
    host.authority.set(Some(1), true);
    let key = fleet.key();
    assert_eq!(host.claim_result(&key, "a"), ClaimResult::Granted);
    fleet.advance_clock(OUTAGE_MS);
    host.authority.set(None, true);
    fleet.end_outage(began_ms);
    let last_uncertain = key_at(fleet.now_ms() + LEASE_MS + SKEW_MS - 1);
    let first_certain = key_at(fleet.now_ms() + LEASE_MS + SKEW_MS);
    fleet.advance_clock(LEASE_MS * 2);
    let successor = fleet.host("h2", Some(2));
    assert_eq!(successor.claim_result(&key, "b"), ClaimResult::MayHaveRun);
    assert_eq!(successor.claim_result(&last_uncertain, "c"), ClaimResult::MayHaveRun);
    assert_eq!(successor.claim_result(&first_certain, "d"), ClaimResult::Granted);
    // the answer of the request that ran is accepted although its claim is unknown
    successor.record_outcome(&key, "a", 200, b"ran");
    successor.wait_until_recorded();
    assert_eq!(successor.claim(&key, "e", LONG_WAIT_MS).body, b"ran");
    fleet.advance_clock(60_000);
    let third = fleet.host("h3", Some(3));
    assert_eq!(third.claim_result(&last_uncertain, "f"), ClaimResult::MayHaveRun);
    assert_eq!(third.claim_result(&fleet.key(), "g"), ClaimResult::Granted);
}

/// Guards against a claim whose append is in flight when the log fails: it must not be
/// granted before the outage is verified, get lost, or be contradicted by a claim made
/// from memory.
#[test]
fn a_claim_in_flight_stays_undecided_until_the_outage_is_verified() {
    for takes_effect in [false, true] {
        let (fleet, host) = serving_host();
        let key = fleet.key();
        fleet.log.set_faults(|faults| faults.hold_back = true);
        let undecided = host.start_claim(&key, "a", LONG_WAIT_MS);
        assert!(undecided.recv_timeout(Duration::from_millis(50)).is_err());
        let began_ms = fleet.begin_outage();
        assert!(undecided.recv_timeout(Duration::from_millis(50)).is_err());
        host.authority.set(Some(1), true);
        assert_eq!(undecided.recv().unwrap().result, ClaimResult::Granted);
        assert_eq!(host.claim(&key, "b", SHORT_WAIT_MS).result, ClaimResult::InProgress);
        fleet.log.set_faults(|faults| faults.hold_back = false);
        if takes_effect {
            fleet.log.release_held_back();
        }
        fleet.end_outage(began_ms);
        host.authority.set(Some(1), false);
        host.wait_until_recorded();
        host.authority.set(None, false);
        let successor = fleet.host("h2", Some(2));
        assert_eq!(successor.claim(&key, "c", SHORT_WAIT_MS).result, ClaimResult::InProgress);
    }
}

/// Guards against serving a range from memory before its records have been read.
#[test]
fn a_range_that_was_not_replayed_is_not_served_in_an_outage() {
    let fleet = TestFleet::new();
    fleet.begin_outage();
    let host = fleet.host("h1", Some(1));
    host.authority.set(Some(1), true);
    assert_eq!(host.claim_result(&fleet.key(), "a"), ClaimResult::Unavailable);
}

/// Guards against claims that are granted while the log is down and the outage is not
/// verified, since another host may own the range.
#[test]
fn an_unverified_outage_grants_nothing() {
    let (fleet, host) = serving_host();
    fleet.begin_outage();
    let in_flight = host.start_claim(&fleet.key(), "a", LONG_WAIT_MS);
    assert_eq!(host.claim(&fleet.key(), "b", SHORT_WAIT_MS).result, ClaimResult::Unavailable);
    host.authority.set(None, false);
    assert_eq!(in_flight.recv().unwrap().result, ClaimResult::NotOwner);
}
