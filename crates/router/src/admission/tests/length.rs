use {
    super::{
        super::{Demotion, LengthModel},
        owner::{LONG, Owner, acquire, progress, reason, topology},
    },
    mango_wire::{
        peer::{Acquire, AcquireMode, PassReason, ReleaseOutcome},
        settings::AdmissionSettings,
    },
};

/// Guards against configured lengths that are not corrected by the lengths of
/// requests.
#[test]
fn lengths_are_learned_by_team_and_work() {
    let owner = Owner::new(&topology(1, 4), AdmissionSettings::default());
    let request_permit =
        |team, work| owner.call(Acquire { team, work, ..acquire(1, AcquireMode::IfRoom) });
    let complete_five = |team, work, tokens| {
        for _ in 0..5 {
            let grant = request_permit(team, work).unwrap();
            owner.release_with(&grant, ReleaseOutcome::Completed, 100, tokens, 20_000);
        }
    };
    complete_five(1, 1, 900);
    complete_five(2, LONG, 30);
    let long = [(1, 1), (2, 1), (1, LONG), (2, LONG)].map(|(team, work)| {
        let grant = request_permit(team, work).unwrap();
        owner.release_with(&grant, ReleaseOutcome::Unused, 0, 0, 0);
        grant.long
    });
    assert_eq!(long, [true, false, true, false]);
}

/// Guards against work that counts as short because its first sample is below
/// `long_tokens`. In the `head_of_line` bench, long requests took 35 of 60 slots
/// instead of 30.
#[test]
fn running_requests_show_that_work_is_long() {
    let owner = Owner::new(&topology(1, 8), AdmissionSettings::default());
    let request_permit =
        |team| owner.call(Acquire { team, ..acquire(1, AcquireMode::IfRoom) }).unwrap();
    let (first, running) = (request_permit(1), request_permit(1));
    owner.release_with(&first, ReleaseOutcome::Completed, 100, 160, 20_000);
    assert!(!request_permit(1).long);
    owner.admission.progress(&progress(&running, 100, 320, 20_000));
    assert!(request_permit(1).long);
}

/// Guards against a model that grows with the number of teams.
#[test]
fn the_length_model_is_bounded() {
    let model = LengthModel::new();
    for team in 0..24_000u32 {
        (0..4).for_each(|work| model.observe(team.wrapping_mul(0x9E37_79B9), work, 500));
    }
    assert!(model.len() <= 32_768);
    assert_eq!(model.stats(23_999u32.wrapping_mul(0x9E37_79B9), 3, 64).mean_tokens(), 500);
}

/// Guards against work that turns out long and keeps the slots reserved for short
/// work.
#[test]
fn work_that_turns_out_long_is_demoted_once() {
    let owner = Owner::new(&topology(1, 4), AdmissionSettings::default());
    let grants: Vec<_> =
        (0..2).map(|_| owner.call(acquire(1, AcquireMode::IfRoom)).unwrap()).collect();
    assert_eq!(owner.admission.progress(&progress(&grants[0], 100, 256, 20_000)), None);
    for grant in &grants {
        let demoted = owner.admission.progress(&progress(grant, 100, 257, 20_000)).unwrap();
        assert_eq!(demoted, Demotion { permit: grant.permit, priority: demoted.priority });
        assert!(demoted.priority > grant.priority);
        assert_eq!(owner.admission.progress(&progress(grant, 100, 300, 20_000)), None);
    }
    let long = Acquire { work: LONG, ..acquire(1, AcquireMode::IfRoom) };
    assert_eq!(reason(owner.call(long.clone())), PassReason::NoSlot);
    owner.release(&grants[0]);
    assert!(owner.call(long).is_ok());
}
