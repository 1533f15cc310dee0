use {
    super::owner::{Owner, acquire, topology},
    mango_wire::{peer::AcquireMode, settings::AdmissionSettings},
    std::time::Instant,
};

/// Guards the cost of the request path; prints the time of one acquire with its release.
#[test]
fn acquire_and_release_are_fast() {
    let owner = Owner::new(&topology(12, 16), AdmissionSettings::default());
    let rounds = 20_000;
    let started = Instant::now();
    for chat in 1..=rounds {
        let request = acquire(chat % 12 + 1, AcquireMode::IfRoom);
        let grant =
            owner.call(mango_wire::peer::Acquire { chat: u64::from(chat), ..request }).unwrap();
        owner.release_with(&grant, mango_wire::peer::ReleaseOutcome::Completed, 100, 50, 20_000);
    }
    let each = started.elapsed() / rounds;
    println!("acquire and release: {each:?}");
}
