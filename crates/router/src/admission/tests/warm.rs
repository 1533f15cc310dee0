use {
    super::owner::{Owner, acquire, reason, topology},
    mango_wire::{
        peer::{Acquire, AcquireMode, ChatMoved, PassReason, ReleaseOutcome},
        platform::{CacheEvent, CacheEvents, CacheListing},
        settings::AdmissionSettings,
    },
};

fn owner() -> Owner {
    let settings = AdmissionSettings { warm_chats_max: 3, ..AdmissionSettings::default() };
    Owner::new(&topology(1, 4), settings)
}

fn event(sequence: u64, chat: u64, cached_tokens: u32) -> CacheEvent {
    CacheEvent { sequence, chat: format!("{chat:016x}"), cached_tokens }
}

fn apply(owner: &Owner, identity: &str, next_sequence: u64, events: Vec<CacheEvent>) -> bool {
    let identity = identity.to_owned();
    owner.admission.cache_events(1, &CacheEvents { identity, next_sequence, events })
}

fn list(owner: &Owner, identity: &str, next_sequence: u64, chats: Vec<CacheEvent>) {
    let identity = identity.to_owned();
    owner.admission.cache_listing(1, &CacheListing { identity, next_sequence, chats });
}

fn is_warm(owner: &Owner, chat: u64) -> bool {
    match owner.call(Acquire { chat, ..acquire(1, AcquireMode::IfWarm) }) {
        Ok(grant) => {
            owner.release(&grant);
            grant.warm
        }
        refused => {
            assert_eq!(reason(refused), PassReason::Cold);
            false
        }
    }
}

/// Guards against missed events that leave the list wrong permanently.
#[test]
fn missed_events_require_a_listing_that_repairs_the_list() {
    let owner = owner();
    list(&owner, "x", 5, vec![event(1, 1, 10), event(2, 2, 10)]);
    assert!(!apply(&owner, "x", 6, vec![event(5, 1, 0)]));
    assert!(!is_warm(&owner, 1) && is_warm(&owner, 2));
    // events 6 and 7 are missing
    assert!(apply(&owner, "x", 9, vec![event(8, 3, 10)]));
    assert!(is_warm(&owner, 3));
    list(&owner, "x", 9, vec![event(7, 7, 10), event(8, 3, 10)]);
    assert!(is_warm(&owner, 7) && is_warm(&owner, 3) && !is_warm(&owner, 2));
    assert!(!apply(&owner, "x", 9, vec![]));
    assert!(apply(&owner, "x", 10, vec![]), "event 9 is missing");
    assert_eq!(owner.admission.next_cache_sequence(1), 10);
}

/// Guards against chats that stay warm although the engine was restarted and lost
/// its cache.
#[test]
fn a_new_identity_clears_the_list() {
    let owner = owner();
    list(&owner, "x", 5, vec![event(1, 1, 10)]);
    assert!(apply(&owner, "y", 1, vec![event(0, 4, 10)]));
    assert!(!is_warm(&owner, 1) && is_warm(&owner, 4));
}

/// Guards against repeated events that overwrite newer ones.
#[test]
fn repeated_events_are_ignored() {
    let owner = owner();
    list(&owner, "x", 5, vec![]);
    let events = || vec![event(5, 1, 0), event(6, 1, 10)];
    assert!(!apply(&owner, "x", 7, events()));
    assert!(!apply(&owner, "x", 7, vec![event(5, 1, 0)]));
    assert!(is_warm(&owner, 1));
}

/// Guards against a list that grows without bound or drops the chats of running
/// requests.
#[test]
fn grants_add_chats_to_a_bounded_list() {
    let owner = owner();
    for chat in [1, 2, 3, 1, 4] {
        let grant = owner.call(Acquire { chat, ..acquire(1, AcquireMode::IfRoom) }).unwrap();
        owner.release(&grant);
    }
    assert!(is_warm(&owner, 1) && is_warm(&owner, 4) && !is_warm(&owner, 2));
    let grant = owner.call(Acquire { chat: 5, ..acquire(1, AcquireMode::IfRoom) }).unwrap();
    list(&owner, "x", 5, vec![]);
    assert!(is_warm(&owner, 5), "its request runs");
    owner.release_with(&grant, ReleaseOutcome::Failed, 0, 0, 0);
    assert!(!is_warm(&owner, 5), "nothing was computed");
    assert!(!is_warm(&owner, 0));
}

/// Guards against a chat that moved to another engine for lack of capacity and is
/// not found there.
#[test]
fn a_home_engine_returns_where_its_chat_moved() {
    let owner = owner();
    let if_warm = Acquire { chat: 5, ..acquire(1, AcquireMode::IfWarm) };
    let moved_to = |owner: &Owner| owner.call(if_warm.clone()).unwrap_err().moved_to;
    assert_eq!(moved_to(&owner), 0);
    owner.admission.chat_moved(&ChatMoved { endpoint: 1, chat: 5, to: 7 });
    assert_eq!(moved_to(&owner), 7);
    // the chat runs on its home engine again and is then evicted from the cache
    let grant = owner.call(Acquire { chat: 5, ..acquire(1, AcquireMode::IfRoom) }).unwrap();
    owner.release(&grant);
    list(&owner, "x", 1, vec![]);
    assert_eq!(moved_to(&owner), 0);
}
