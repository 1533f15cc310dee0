use {
    super::owner::{Owner, acquire, progress, reason, topology},
    mango_wire::{
        peer::{Acquire, AcquireMode, LoadEntry, PassReason, ReleaseOutcome},
        settings::AdmissionSettings,
    },
};

const ENGINES: u32 = 10;

/// Completes requests on the engine that take `slowdown` times the usual time.
fn complete_requests(owner: &Owner, endpoint: u32, count: u32, slowdown: u32) {
    for _ in 0..count {
        // a degraded engine refuses requests of the other modes
        let grant = owner.call(acquire(endpoint, AcquireMode::Queue)).unwrap();
        let completed = ReleaseOutcome::Completed;
        owner.release_with(&grant, completed, 200 * slowdown, 50, 20_000 * slowdown);
        owner.advance(20);
    }
}

fn healthy_pool() -> Owner {
    let owner = Owner::new(&topology(ENGINES, 16), AdmissionSettings::default());
    for _ in 0..5 {
        (1..=ENGINES).for_each(|engine| complete_requests(&owner, engine, 1, 1));
    }
    assert!(health_factors(&owner).iter().all(|(_, factor)| *factor == 1.0));
    owner
}

fn health_factors(owner: &Owner) -> Vec<(u32, f64)> {
    let mut health_factors: Vec<_> =
        owner.admission.engine_states().iter().map(|s| (s.endpoint, s.health_factor)).collect();
    health_factors.sort_by_key(|(engine, _)| *engine);
    health_factors
}

fn degraded_engines(owner: &Owner) -> Vec<u32> {
    let mut degraded: Vec<_> = owner
        .admission
        .engine_states()
        .iter()
        .filter(|s| s.is_degraded)
        .map(|s| s.endpoint)
        .collect();
    degraded.sort_unstable();
    degraded
}

/// Guards against a slow engine that keeps its full weight, and a recovered one
/// that never regains it.
#[test]
fn health_factor_falls_at_once_and_recovers_through_requests() {
    let owner = healthy_pool();
    complete_requests(&owner, 1, 2, 5);
    let reduced = health_factors(&owner)[0].1;
    assert!(reduced < 0.5, "{reduced}");
    complete_requests(&owner, 1, 20, 5);
    let floor = health_factors(&owner)[0].1;
    assert!((0.1..0.25).contains(&floor), "{floor}");
    // time alone does not restore the factor
    owner.advance(60_000);
    owner.admission.tick();
    assert_eq!(health_factors(&owner)[0].1, floor);
    (2..=ENGINES).for_each(|engine| complete_requests(&owner, engine, 1, 1));
    complete_requests(&owner, 1, 8, 1);
    assert_eq!(health_factors(&owner)[0].1, 1.0);
}

/// Guards against a degraded engine that never recovers, because it gets no
/// requests to measure.
#[test]
fn a_degraded_engine_still_gets_one_request() {
    let owner = healthy_pool();
    complete_requests(&owner, 1, 10, 5);
    for engine in (2..=ENGINES).chain(2..=ENGINES) {
        owner.call(acquire(engine, AcquireMode::IfRoom)).unwrap();
    }
    assert!(owner.call(acquire(1, AcquireMode::IfRoom)).is_ok());
    assert_eq!(reason(owner.call(acquire(1, AcquireMode::IfRoom))), PassReason::Degraded);
}

/// Guards against a slow engine that gets one request after another while other
/// engines are free. In the `slow_endpoints` bench, that made p99 2.66 times as
/// high as with healthy engines.
#[test]
fn a_degraded_engine_is_probed_at_intervals_until_it_recovers() {
    let owner = healthy_pool();
    let acquire_one = |mode| owner.call(acquire(1, mode));
    complete_requests(&owner, 1, 10, 5);
    let probe = acquire_one(AcquireMode::IfRoom).unwrap();
    owner.release_with(&probe, ReleaseOutcome::Completed, 1_000, 50, 100_000);
    assert_eq!(reason(acquire_one(AcquireMode::IfRoom)), PassReason::Degraded);
    // work that finds no other engine still runs there
    owner.release(&acquire_one(AcquireMode::Queue).unwrap());
    owner.advance(2_000);
    let probe = acquire_one(AcquireMode::IfRoom).unwrap();
    owner.release_with(&probe, ReleaseOutcome::Completed, 200, 50, 20_000);
    assert!(acquire_one(AcquireMode::IfRoom).is_ok());
}

/// Guards against a pool that loses most of its weight when many engines are slow.
#[test]
fn only_a_share_of_the_pool_is_degraded() {
    let owner = healthy_pool();
    for engine in 1..=4 {
        complete_requests(&owner, engine, 10, 2 + engine);
    }
    assert_eq!(health_factors(&owner).iter().filter(|(_, factor)| *factor < 1.0).count(), 4);
    assert_eq!(degraded_engines(&owner), [2, 3, 4]);
}

/// Guards against an owner that ignores the health reported by other owners.
#[test]
fn weights_include_the_reports_of_other_owners() {
    let owner = healthy_pool();
    let report = |endpoint, weight_permille| LoadEntry {
        endpoint,
        epoch: 2,
        version: 1,
        in_flight: 0,
        queued: 0,
        weight_permille,
        age_ms: 0,
    };
    owner.load_table.merge_at(&[report(2, 100), report(3, 100), report(4, 100)], owner.now());
    complete_requests(&owner, 1, 20, 5);
    // engines 2 to 4 are slower, so engine 1 keeps its weight
    assert_eq!(degraded_engines(&owner), [2, 3, 4]);
}

/// Guards against an engine that looks healthy because it does not answer at all.
#[test]
fn late_first_tokens_lower_the_factor_before_they_arrive() {
    let owner = healthy_pool();
    for chat in 1..=4 {
        for engine in 1..=ENGINES {
            let request = Acquire { chat, ..acquire(engine, AcquireMode::IfRoom) };
            if let Ok(grant) = owner.call(request) {
                owner.confirm(&grant);
                if engine > 1 {
                    owner.admission.progress(&progress(&grant, 200, 1, 0));
                }
            }
        }
    }
    owner.advance(3_000);
    owner.admission.tick();
    let reduced = health_factors(&owner)[0].1;
    assert!(reduced < 1.0);
    assert!(health_factors(&owner)[1..].iter().all(|(_, factor)| *factor == 1.0));
    owner.admission.tick();
    assert_eq!(health_factors(&owner)[0].1, reduced, "each late token counts once");
}

/// Guards against hedged requests that start before the engine's usual first-token
/// time.
#[test]
fn grants_contain_the_expected_first_token_time() {
    let owner = healthy_pool();
    let grant = owner.call(acquire(3, AcquireMode::IfRoom)).unwrap();
    assert!((199..=201).contains(&grant.expected_first_token_ms));
}
