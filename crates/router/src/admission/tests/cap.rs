use {
    super::{
        fleet::Fleet,
        owner::{Owner, acquire, reason, topology},
    },
    mango_wire::{
        peer::{AcquireMode, Grant, LoadEntry, PassReason},
        settings::AdmissionSettings,
    },
    proptest::prelude::*,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        sync::atomic::{AtomicU32, Ordering::SeqCst},
        thread,
    },
};

const ENGINES: u32 = 12;

fn report(endpoint: u32, version: u32, in_flight: u16, age_ms: u32) -> LoadEntry {
    let weight_permille = 1000;
    LoadEntry { endpoint, epoch: 1, version, in_flight, queued: 0, weight_permille, age_ms }
}

/// Cap of each engine for a request that starts while `total` others are in flight.
fn expected_cap(total: u32) -> u32 {
    (1.25 / f64::from(ENGINES) * f64::from(total + 1) - 1e-9).ceil().max(1.0) as u32
}

/// Guards against two threads that both get the last permit below the cap.
#[test]
fn concurrent_starts_stay_below_the_cap() {
    let owner = Owner::new(&topology(ENGINES, 16), AdmissionSettings::default());
    let in_flight = AtomicU32::new(0);
    let peak = AtomicU32::new(0);
    let refused = AtomicU32::new(0);
    let loads: Vec<AtomicU32> = (0..ENGINES).map(|_| AtomicU32::new(0)).collect();
    let release = |grant: Grant| {
        loads[grant.endpoint as usize - 1].fetch_sub(1, SeqCst);
        owner.release(&grant);
        in_flight.fetch_sub(1, SeqCst);
    };
    let run_requests = |seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut grants = Vec::new();
        for _ in 0..3_000 {
            let engine = (rng.random::<f64>().powi(2) * f64::from(ENGINES)) as u32;
            // requests count before they are granted, so the true total is never higher
            peak.fetch_max(in_flight.fetch_add(1, SeqCst) + 1, SeqCst);
            match owner.call_concurrently(acquire(engine + 1, AcquireMode::IfRoom)) {
                Ok(grant) => {
                    let load = loads[engine as usize].fetch_add(1, SeqCst) + 1;
                    assert!(load <= expected_cap(peak.load(SeqCst) - 1), "load {load}");
                    grants.push(grant);
                }
                Err(_) => {
                    refused.fetch_add(1, SeqCst);
                    in_flight.fetch_sub(1, SeqCst);
                }
            }
            while grants.len() > 8 || (!grants.is_empty() && rng.random_bool(0.3)) {
                release(grants.swap_remove(rng.random_range(0..grants.len())));
            }
        }
        grants.into_iter().for_each(&release);
    };
    thread::scope(|scope| {
        (0..8).for_each(|seed| {
            drop(scope.spawn({
                let run_requests = &run_requests;
                move || run_requests(seed)
            }))
        })
    });
    assert!(refused.load(SeqCst) > 0, "the cap was never reached");
    assert!((1..=ENGINES).all(|e| owner.in_flight(e) == 0), "a slot was lost");
}

/// Guards against delayed load reports that add up to more requests than the pool
/// ever ran, and so raise the cap.
#[test]
fn delayed_loads_do_not_raise_the_cap() {
    for (seed, arrivals_per_s, hold_ms) in
        [(0, 400.0, 200.0), (6, 60.0, 1000.0), (7, 150.0, 1000.0)]
    {
        let mut fleet = Fleet::new(seed);
        fleet.run(10_000, arrivals_per_s, hold_ms, 3.0);
        assert!(fleet.grants > 500);
        assert_eq!(fleet.over_cap, 0, "of {} starts", fleet.grants);
    }
}

/// Guards against a cap that stays too high or too low when demand changes in
/// steps.
#[test]
fn steps_in_demand_stay_below_the_cap() {
    let mut fleet = Fleet::new(23);
    for _ in 0..5 {
        fleet.run(1_000, 150.0, 500.0, 3.0);
        fleet.run(1_000, 30.0, 500.0, 3.0);
    }
    assert!(fleet.grants > 300);
    assert_eq!(fleet.over_cap, 0, "of {} starts", fleet.grants);
}

/// Guards against a cap of 0 in an idle pool.
#[test]
fn one_request_is_always_admitted() {
    let owner = Owner::new(&topology(ENGINES, 16), AdmissionSettings::default());
    assert!(owner.call(acquire(1, AcquireMode::IfRoom)).is_ok());
    assert_eq!(reason(owner.call(acquire(1, AcquireMode::IfRoom))), PassReason::AtCap);
}

/// Number of requests that engine 1 grants while the other engines run `loads`, by
/// reports of the age `age_ms`.
fn granted_with_loads(loads: &[u16], age_ms: u32) -> usize {
    let owner = Owner::new(&topology(ENGINES, 16), AdmissionSettings::default());
    // two reports each, because the estimate of the total uses the previous count too
    for version in 1..=2 {
        let reports: Vec<_> = (2u32..)
            .zip(loads)
            .map(|(endpoint, load)| LoadEntry {
                epoch: 2,
                ..report(endpoint, version, *load, age_ms)
            })
            .collect();
        owner.load_table.merge_at(&reports, owner.now());
    }
    owner.fill(1).len()
}

proptest! {
    /// Guards against stale loads that raise the cap.
    #[test]
    fn stale_loads_only_lower_the_cap(loads in prop::collection::vec(0u16..20, 11)) {
        let (fresh, stale) = (granted_with_loads(&loads, 0), granted_with_loads(&loads, 1000));
        prop_assert!(stale <= fresh);
        prop_assert_eq!(stale, 1);
        let total: u32 = loads.iter().map(|l| u32::from(*l)).sum();
        prop_assert!(fresh as u32 <= expected_cap(total + fresh as u32 - 1));
    }
}
