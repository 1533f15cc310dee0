use {
    super::owner::{Owner, acquire, progress, reason, topology},
    mango_wire::{
        peer::{Acquire, AcquireMode, LoadEntry, PassReason, ReleaseOutcome},
        settings::AdmissionSettings,
    },
};

const ENGINES: u32 = 10;

/// Sends requests through the engine that take `slowdown` times the usual time.
fn serve(owner: &Owner, endpoint: u32, count: u32, slowdown: u32) {
    for _ in 0..count {
        // a degraded engine is avoided by other modes
        let grant = owner.call(acquire(endpoint, AcquireMode::Queue)).unwrap();
        let completed = ReleaseOutcome::Completed;
        owner.release_with(&grant, completed, 200 * slowdown, 50, 20_000 * slowdown);
        owner.advance(20);
    }
}

fn healthy_pool() -> Owner {
    let owner = Owner::new(&topology(ENGINES, 16), AdmissionSettings::default());
    for _ in 0..5 {
        (1..=ENGINES).for_each(|engine| serve(&owner, engine, 1, 1));
    }
    assert!(factors(&owner).iter().all(|(_, factor)| *factor == 1.0));
    owner
}

fn factors(owner: &Owner) -> Vec<(u32, f64)> {
    let mut factors: Vec<_> =
        owner.admission.engine_states().iter().map(|s| (s.endpoint, s.health_factor)).collect();
    factors.sort_by_key(|(engine, _)| *engine);
    factors
}

fn degraded(owner: &Owner) -> Vec<u32> {
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

/// Guards against a slow engine that keeps its share, and one that never gets it back.
#[test]
fn the_factor_falls_at_once_and_recovers_by_requests() {
    let owner = healthy_pool();
    serve(&owner, 1, 2, 5);
    let fallen = factors(&owner)[0].1;
    assert!(fallen < 0.5, "{fallen}");
    serve(&owner, 1, 20, 5);
    let floor = factors(&owner)[0].1;
    assert!((0.1..0.25).contains(&floor), "{floor}");
    // time alone proves nothing
    owner.advance(60_000);
    owner.admission.tick();
    assert_eq!(factors(&owner)[0].1, floor);
    (2..=ENGINES).for_each(|engine| serve(&owner, engine, 1, 1));
    serve(&owner, 1, 8, 1);
    assert_eq!(factors(&owner)[0].1, 1.0);
}

/// Guards against a degraded engine that is starved of the requests it would recover by.
#[test]
fn a_degraded_engine_still_gets_one_request() {
    let owner = healthy_pool();
    serve(&owner, 1, 10, 5);
    for engine in (2..=ENGINES).chain(2..=ENGINES) {
        owner.call(acquire(engine, AcquireMode::IfRoom)).unwrap();
    }
    assert!(owner.call(acquire(1, AcquireMode::IfRoom)).is_ok());
    assert_eq!(reason(owner.call(acquire(1, AcquireMode::IfRoom))), PassReason::Degraded);
}

/// Guards against a slow engine that gets a request after the other while others are
/// free. In the `slow_endpoints` bench, p99 was 2.66 times the healthy one so.
#[test]
fn a_degraded_engine_is_probed_seldom_until_it_recovers() {
    let owner = healthy_pool();
    let ask = |mode| owner.call(acquire(1, mode));
    serve(&owner, 1, 10, 5);
    let probe = ask(AcquireMode::IfRoom).unwrap();
    owner.release_with(&probe, ReleaseOutcome::Completed, 1_000, 50, 100_000);
    assert_eq!(reason(ask(AcquireMode::IfRoom)), PassReason::Degraded);
    // work that finds no other place still runs there
    owner.release(&ask(AcquireMode::Queue).unwrap());
    owner.advance(2_000);
    let probe = ask(AcquireMode::IfRoom).unwrap();
    owner.release_with(&probe, ReleaseOutcome::Completed, 200, 50, 20_000);
    assert!(ask(AcquireMode::IfRoom).is_ok());
}

/// Guards against a pool that loses most of its weight when many engines are slow.
#[test]
fn only_a_share_of_the_pool_is_degraded() {
    let owner = healthy_pool();
    for engine in 1..=4 {
        serve(&owner, engine, 10, 2 + engine);
    }
    assert_eq!(factors(&owner).iter().filter(|(_, factor)| *factor < 1.0).count(), 4);
    assert_eq!(degraded(&owner), [2, 3, 4]);
}

/// Guards against an owner that ignores what other owners measured.
#[test]
fn reports_of_other_owners_count_in_the_weights() {
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
    owner.table.merge_at(&[report(2, 100), report(3, 100), report(4, 100)], owner.now());
    serve(&owner, 1, 20, 5);
    // engines 2 to 4 are slower, so engine 1 keeps its weight
    assert_eq!(degraded(&owner), [2, 3, 4]);
}

/// Guards against an engine that looks healthy because it does not answer at all.
#[test]
fn late_first_tokens_count_before_they_arrive() {
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
    let fallen = factors(&owner)[0].1;
    assert!(fallen < 1.0);
    assert!(factors(&owner)[1..].iter().all(|(_, factor)| *factor == 1.0));
    owner.admission.tick();
    assert_eq!(factors(&owner)[0].1, fallen, "each late token counts once");
}

/// Guards against hedges that start too early for an engine's usual first token.
#[test]
fn grants_tell_the_expected_first_token() {
    let owner = healthy_pool();
    let grant = owner.call(acquire(3, AcquireMode::IfRoom)).unwrap();
    assert!((199..=201).contains(&grant.expected_first_token_ms));
}
