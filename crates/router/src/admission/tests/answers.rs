use {
    super::owner::{Owner, acquire, topology},
    mango_wire::{
        peer::{Acquire, AcquireMode, CancelAcquire, Grant},
        settings::AdmissionSettings,
    },
    proptest::prelude::*,
    std::{collections::HashSet, sync::atomic::Ordering::SeqCst},
};

#[derive(Clone, Debug)]
enum Step {
    Acquire { mode: u8, team: u32, work: u32, remaining_ms: u32 },
    Release(prop::sample::Index),
    Cancel(u64),
    Wait(u64),
    SetEpoch(u64),
    HostDown,
}

fn steps() -> impl Strategy<Value = Step> {
    let acquire_step =
        (0u8..3, 1u32..4, 1u32..5, 0u32..3_000).prop_map(|(mode, team, work, remaining_ms)| {
            Step::Acquire { mode, team, work, remaining_ms }
        });
    prop_oneof![
        10 => acquire_step,
        5 => any::<prop::sample::Index>().prop_map(Step::Release),
        1 => (1u64..60).prop_map(Step::Cancel),
        2 => (1u64..500).prop_map(Step::Wait),
        1 => (0u64..3).prop_map(Step::SetEpoch),
        1 => Just(Step::HostDown),
    ]
}

/// Collects the answers and confirms the grants. Fails if a request is answered
/// twice.
fn collect_answers(owner: &Owner, answered: &mut HashSet<u64>, grants: &mut Vec<Grant>) {
    for (request, result) in owner.answers() {
        assert!(answered.insert(request), "request {request} was answered twice");
        if let Ok(grant) = result {
            owner.confirm(&grant);
            grants.push(grant);
        }
    }
}

fn apply(owner: &Owner, step: Step, grants: &mut Vec<Grant>) {
    use AcquireMode::{IfRoom, IfWarm, Queue};
    match step {
        Step::Acquire { mode, team, work, remaining_ms } => {
            let mode = [IfWarm, IfRoom, Queue][usize::from(mode)];
            owner.submit(Acquire { team, work, remaining_ms, chat: 7, ..acquire(1, mode) });
        }
        Step::Release(at) if !grants.is_empty() => {
            owner.release(&grants.swap_remove(at.index(grants.len())));
        }
        Step::Release(_) => (),
        Step::Cancel(request) => {
            owner.admission.cancel(&"a".to_owned(), &CancelAcquire { endpoint: 1, request });
        }
        Step::Wait(ms) => {
            owner.advance(ms);
            owner.admission.tick();
        }
        Step::SetEpoch(epoch) => owner.authority.epoch.store(epoch, SeqCst),
        Step::HostDown => owner.admission.host_down(&"a".to_owned()),
    }
}

proptest! {
    /// Guards against requests that get no answer or several, more permits than
    /// slots, and slots or queue places that are never freed.
    #[test]
    fn each_request_gets_one_answer(steps in prop::collection::vec(steps(), 1..120)) {
        let settings = AdmissionSettings { queue_max: 6, ..AdmissionSettings::default() };
        let owner = Owner::new(&topology(1, 3), settings);
        let (mut answered, mut grants) = (HashSet::new(), Vec::new());
        let mut sent = 0;
        for step in steps {
            sent += u64::from(matches!(step, Step::Acquire { .. }));
            apply(&owner, step, &mut grants);
            collect_answers(&owner, &mut answered, &mut grants);
            prop_assert!(owner.in_flight(1) <= 3);
        }
        owner.advance(4_000);
        owner.admission.tick();
        collect_answers(&owner, &mut answered, &mut grants);
        grants.iter().for_each(|grant| owner.release(grant));
        prop_assert_eq!(answered, (1..=sent).collect::<HashSet<_>>());
        let state = owner.admission.engine_states();
        prop_assert!(state.iter().all(|s| (s.in_flight, s.long_in_flight, s.queued) == (0, 0, 0)));
    }
}
