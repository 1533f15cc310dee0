use {
    super::owner::{Owner, acquire, topology},
    mango_wire::{
        peer::{Acquire, AcquireMode, ReleaseOutcome},
        settings::AdmissionSettings,
    },
    std::time::{Duration, Instant},
};

const CYCLES_PER_BATCH: u32 = 2_000;

/// Mean time of one acquire and release in the fastest of several batches.
fn min_acquire_cycle(owner: &Owner, engines: u32) -> Duration {
    let batch = || {
        let started = Instant::now();
        for chat in 1..=CYCLES_PER_BATCH {
            let request = acquire(chat % engines + 1, AcquireMode::IfRoom);
            let grant = owner.call(Acquire { chat: u64::from(chat), ..request }).unwrap();
            owner.release_with(&grant, ReleaseOutcome::Completed, 100, 50, 20_000);
        }
        started.elapsed() / CYCLES_PER_BATCH
    };
    (0..10).map(|_| batch()).min().unwrap()
}

/// Mean time to release a permit, grant it to the next request of a full queue and
/// queue another request, in the fastest of several batches.
fn min_queued_cycle(teams: u32) -> Duration {
    let owner = Owner::new(&topology(1, 16), AdmissionSettings::default());
    let mut grants = owner.fill(1);
    let submit = |team| owner.submit(Acquire { team, ..acquire(1, AcquireMode::Queue) });
    for n in 0..255 {
        submit(100 + n % teams);
    }
    let mut batch = || {
        let started = Instant::now();
        for n in 0..CYCLES_PER_BATCH {
            owner.release(&grants.pop().unwrap());
            grants.extend(owner.answers().into_iter().map(|(_, grant)| grant.unwrap()));
            submit(100 + n % teams);
        }
        started.elapsed() / CYCLES_PER_BATCH
    };
    (0..10).map(|_| batch()).min().unwrap()
}

/// Guards against an acquire and release that take 5 µs or more. Builds with debug
/// assertions only print the times.
#[test]
fn acquire_and_release_are_fast() {
    for engines in [12, 40] {
        let owner = Owner::new(&topology(engines, 16), AdmissionSettings::default());
        let each = min_acquire_cycle(&owner, engines);
        println!("acquire and release, pool of {engines}: {each:?}");
        assert!(cfg!(debug_assertions) || each < Duration::from_micros(5), "{each:?}");
    }
    for teams in [10, 100] {
        println!("release, grant and queue, {teams} teams waiting: {:?}", min_queued_cycle(teams));
    }
}
