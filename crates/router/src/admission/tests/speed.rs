use {
    super::owner::{Owner, acquire, topology},
    mango_wire::{
        peer::{Acquire, AcquireMode, ReleaseOutcome},
        settings::AdmissionSettings,
    },
    std::time::{Duration, Instant},
};

const ROUNDS: u32 = 2_000;

/// Shortest mean time of one acquire with its release over several batches.
fn fastest(owner: &Owner, engines: u32) -> Duration {
    let batch = || {
        let started = Instant::now();
        for chat in 1..=ROUNDS {
            let request = acquire(chat % engines + 1, AcquireMode::IfRoom);
            let grant = owner.call(Acquire { chat: u64::from(chat), ..request }).unwrap();
            owner.release_with(&grant, ReleaseOutcome::Completed, 100, 50, 20_000);
        }
        started.elapsed() / ROUNDS
    };
    (0..10).map(|_| batch()).min().unwrap()
}

/// Time of one release that grants to the next of a full queue, and of queueing again.
fn fastest_queued(teams: u32) -> Duration {
    let owner = Owner::new(&topology(1, 16), AdmissionSettings::default());
    let mut grants = owner.fill(1);
    let ask = |team| owner.ask(Acquire { team, ..acquire(1, AcquireMode::Queue) });
    for n in 0..255 {
        ask(100 + n % teams);
    }
    let mut batch = || {
        let started = Instant::now();
        for n in 0..ROUNDS {
            owner.release(&grants.pop().unwrap());
            grants.extend(owner.answers().into_iter().map(|(_, grant)| grant.unwrap()));
            ask(100 + n % teams);
        }
        started.elapsed() / ROUNDS
    };
    (0..10).map(|_| batch()).min().unwrap()
}

/// Guards against a request path above 5 µs. Unoptimised builds only print the times.
#[test]
fn acquire_and_release_are_fast() {
    for engines in [12, 40] {
        let owner = Owner::new(&topology(engines, 16), AdmissionSettings::default());
        let each = fastest(&owner, engines);
        println!("acquire and release, pool of {engines}: {each:?}");
        assert!(cfg!(debug_assertions) || each < Duration::from_micros(5), "{each:?}");
    }
    for teams in [10, 100] {
        println!("release, grant and queue, {teams} teams waiting: {:?}", fastest_queued(teams));
    }
}
