use {
    super::owner::{Owner, acquire, progress, reason, topology},
    mango_wire::{
        peer::{
            Acquire, AcquireMode, CancelAcquire, PassReason, PermitInUse, ReleaseOutcome,
            Reregister,
        },
        settings::AdmissionSettings,
    },
    std::sync::atomic::Ordering::SeqCst,
};

fn owner() -> Owner {
    Owner::new(&topology(1, 2), AdmissionSettings::default())
}

fn in_use(permit: u64, epoch: u64) -> PermitInUse {
    PermitInUse { epoch, long: false, permit, team: 1, work: 1 }
}

fn reregister(owner: &Owner, host: &str, permits: Vec<PermitInUse>) {
    owner.admission.reregister(&host.to_owned(), &Reregister { endpoint: 1, permits });
}

/// Guards against a slot that is never freed because the grant was lost.
#[test]
fn unused_permits_are_freed_after_the_dispatch_deadline() {
    let owner = owner();
    owner.call(acquire(1, AcquireMode::IfRoom)).unwrap();
    let used = owner.call(acquire(1, AcquireMode::IfRoom)).unwrap();
    owner.confirm(&used);
    let waiting = owner.submit(acquire(1, AcquireMode::Queue));
    // an unused permit is freed after twice `dispatch_ms`, which is 500 by default
    owner.advance(999);
    owner.admission.tick();
    assert_eq!((owner.in_flight(1), owner.next_answer().is_none()), (2, true));
    owner.advance(1);
    owner.admission.tick();
    assert_eq!(owner.next_answer().map(|(request, _)| request), Some(waiting));
    assert_eq!(owner.in_flight(1), 2);
}

/// Guards against a running request that is not counted because its confirmation
/// came late.
#[test]
fn a_late_confirmation_restores_the_permit() {
    let owner = owner();
    let grant = owner.call(acquire(1, AcquireMode::IfRoom)).unwrap();
    owner.advance(1_000);
    owner.admission.tick();
    assert_eq!(owner.in_flight(1), 0);
    owner.confirm(&grant);
    assert_eq!(owner.in_flight(1), 1);
    owner.release(&grant);
    owner.confirm(&grant);
    assert_eq!(owner.in_flight(1), 0);
}

/// Guards against slots that are never freed because their host died, and against
/// freeing them while the engine may still generate the answers.
#[test]
fn permits_of_a_dead_host_are_freed() {
    let owner = owner();
    let grants = owner.fill(1);
    owner.submit(acquire(1, AcquireMode::Queue));
    owner.admission.host_down(&"b".to_owned());
    assert!(owner.next_answer().is_none());
    owner.admission.host_down(&"a".to_owned());
    assert_eq!(reason(owner.answers().pop().unwrap().1), PassReason::Cancelled);
    owner.advance(1_999);
    owner.admission.tick();
    assert_eq!(owner.in_flight(1), 2);
    // progress of a request keeps its permit
    owner.admission.progress(&progress(&grants[0], 10, 1, 0));
    owner.advance(1);
    owner.admission.tick();
    assert_eq!(owner.in_flight(1), 1);
}

/// Guards against grants without authority, and against waiting until the deadline
/// for an owner that may not act.
#[test]
fn nothing_is_granted_without_authority() {
    let owner = owner();
    owner.authority.epoch.store(0, SeqCst);
    assert_eq!(reason(owner.call(acquire(1, AcquireMode::Queue))), PassReason::NotOwner);
    owner.authority.epoch.store(1, SeqCst);
    let grants = owner.fill(1);
    owner.submit(acquire(1, AcquireMode::Queue));
    owner.authority.epoch.store(0, SeqCst);
    owner.release(&grants[0]);
    assert!(owner.next_answer().is_none());
    owner.admission.tick();
    assert_eq!(reason(owner.answers().pop().unwrap().1), PassReason::LeaseLapsed);
    assert_eq!(reason(owner.call(acquire(1, AcquireMode::IfRoom))), PassReason::LeaseLapsed);
}

/// Guards against an owner that starts a new epoch without permits or with outdated
/// ones, and against grants under an earlier epoch.
#[test]
fn a_new_epoch_starts_with_the_reregistered_permits() {
    let owner = owner();
    let grants = owner.fill(1);
    owner.authority.epoch.store(0, SeqCst);
    reregister(&owner, "a", vec![in_use(grants[0].permit, 1)]);
    reregister(&owner, "b", vec![in_use(77, 5)]);
    owner.authority.epoch.store(7, SeqCst);
    assert_eq!(reason(owner.call(acquire(1, AcquireMode::IfRoom))), PassReason::NoSlot);
    owner.release(&grants[0]);
    let grant = owner.call(acquire(1, AcquireMode::IfRoom)).unwrap();
    assert_eq!(grant.epoch, 7);
    assert!(!grants.iter().any(|old| old.permit == grant.permit));
    owner.release(&grant);
    owner.authority.epoch.store(1, SeqCst);
    assert_eq!(reason(owner.call(acquire(1, AcquireMode::IfRoom))), PassReason::LeaseLapsed);
}

/// Guards against a slot that is never freed because the release was lost, and
/// against freeing a permit whose grant has not arrived yet.
#[test]
fn permits_that_their_host_does_not_list_are_freed() {
    let owner = owner();
    let grants = owner.fill(1);
    reregister(&owner, "a", vec![]);
    assert_eq!(owner.in_flight(1), 2);
    owner.advance(1_000);
    reregister(&owner, "b", vec![]);
    assert_eq!(owner.in_flight(1), 2);
    reregister(&owner, "a", vec![in_use(grants[1].permit, 1)]);
    assert_eq!(owner.in_flight(1), 1);
}

/// Guards against a cancelled request that keeps its place in the queue, or the
/// permit of a grant that crossed the cancellation.
#[test]
fn cancelled_requests_hold_no_place_and_no_permit() {
    let owner = owner();
    let unused = owner.submit(acquire(1, AcquireMode::IfRoom));
    let used = owner
        .call_concurrently(Acquire { request: 99, ..acquire(1, AcquireMode::IfRoom) })
        .unwrap();
    owner.confirm(&used);
    owner.next_answer();
    let waiting = owner.submit(acquire(1, AcquireMode::Queue));
    let cancel = |request| {
        owner.admission.cancel(&"a".to_owned(), &CancelAcquire { endpoint: 1, request });
    };
    cancel(waiting);
    assert_eq!(reason(owner.answers().pop().unwrap().1), PassReason::Cancelled);
    cancel(unused);
    cancel(99);
    assert_eq!(owner.in_flight(1), 1);
}

/// Guards against new work on an engine that is about to leave or was removed, and
/// against dropping the permits that are still in use there.
#[test]
fn leaving_engines_get_no_work() {
    let owner = owner();
    let grant = owner.call(acquire(1, AcquireMode::IfRoom)).unwrap();
    owner.admission.set_draining(1, true);
    assert_eq!(reason(owner.call(acquire(1, AcquireMode::Queue))), PassReason::Draining);
    owner.admission.set_draining(1, false);
    owner.admission.set_topology(&topology(0, 2));
    assert_eq!(reason(owner.call(acquire(1, AcquireMode::Queue))), PassReason::UnknownEndpoint);
    owner.admission.set_topology(&topology(1, 1));
    assert_eq!(reason(owner.call(acquire(1, AcquireMode::IfRoom))), PassReason::NoSlot);
    owner.release(&grant);
    assert!(owner.call(acquire(1, AcquireMode::IfRoom)).is_ok());
}

/// Guards against a state dump without the reasons of refusals.
#[test]
fn state_contains_the_reasons_of_refusals() {
    let owner = owner();
    owner.fill(1);
    owner.submit(acquire(1, AcquireMode::Queue));
    let state = owner.admission.engine_states().pop().unwrap();
    assert_eq!((state.in_flight, state.slots, state.caps[0].1), (2, 2, 2));
    assert_eq!(state.queued_by_team, [(1, 1)]);
    assert!(state.decisions.iter().any(|line| line.contains("Refused(NoSlot) in_flight=2")));
    assert!(state.decisions.last().unwrap().contains("Queued"));
}

/// Guards against a crashed engine that attracts requests because its load is the
/// lowest.
#[test]
fn an_engine_that_did_not_accept_a_request_is_paused_and_not_reported_free() {
    let owner = Owner::new(&topology(1, 4), AdmissionSettings::default());
    let grant = owner.call(acquire(1, AcquireMode::IfRoom)).unwrap();
    owner.release_with(&grant, ReleaseOutcome::NotAccepted, 0, 0, 0);
    let refused = owner.call(acquire(1, AcquireMode::IfRoom));
    assert_eq!(reason(refused), PassReason::Draining);
    assert_eq!(owner.admission.load_reports()[0].queued, 1);
    owner.advance(301);
    assert!(owner.call(acquire(1, AcquireMode::IfRoom)).is_ok());
    assert_eq!(owner.admission.load_reports()[0].queued, 0);
}
