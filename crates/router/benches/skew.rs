//! Counts how often an engine's load exceeds its cap, with 20 routers, 12 engines of
//! uneven weights, changing demand, a few very large chats, router crashes, and wrong
//! host lists.
//!
//! Engine times are scaled down (decode steps of 15 ms instead of about 50 ms); the
//! routers use their default timings. Both are the same for all policies.

mod common;

use {
    anyhow::Result,
    common::{POLICIES, adjust_for, apply_change},
    mango_standins::{EngineOptions, LoadTracker},
    mango_testkit::{BenchResult, Caller, ChatTurn, ENGINE_POOL, FleetOptions, LocalFleet},
    mango_wire::{
        config::WorkClass,
        platform::{HostEntry, HostState},
        settings::Policy,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const ROUTERS: usize = 20;
const WEIGHTS: [f64; 12] = [1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 2.0, 2.0, 3.0, 3.0, 4.0, 4.0];
const SLOTS_PER_WEIGHT: f64 = 4.0;
const CAP_MULTIPLE: f64 = 1.25;
const STEP_MS: f64 = 15.0;
/// Number of callers in each phase, with one request in flight each, and the duration
/// of the phase in milliseconds.
const DEMAND_PHASES_MS: [(usize, u64); 5] =
    [(40, 900), (130, 1500), (16, 800), (110, 1200), (60, 600)];
const MAX_CALLERS: usize = 130;
/// Share of the requests that belong to a few chats with large prompts and long answers.
const LARGE_SHARE: f64 = 0.1;
const LARGE_CHATS: u32 = 3;
const CHATS: u32 = 2000;
const SEED: u64 = 17;

#[derive(Default)]
struct Outcome {
    /// Request starts that were checked against the engine's cap.
    samples: u64,
    over_cap: u64,
    /// Largest number of requests above a cap.
    max_excess: usize,
    answered: u64,
    /// Refused requests by reason.
    refused: BTreeMap<String, u64>,
    /// Requests without a complete answer that may have run.
    broken: u64,
    /// Mean share of the slots in use in each phase.
    slots_used: Vec<f64>,
}

/// State shared by the caller threads and the phases.
struct SharedState {
    /// Number of callers that send requests.
    callers: AtomicUsize,
    ended: AtomicBool,
    /// Caller addresses of the running routers.
    routers: Mutex<Vec<SocketAddr>>,
    /// Caller addresses of the crashed routers.
    crashed: Mutex<Vec<SocketAddr>>,
    outcome: Mutex<Outcome>,
}

fn main() -> Result<()> {
    let started = Instant::now();
    let mut values = BTreeMap::new();
    println!("time scale: engine steps of {STEP_MS} ms instead of about 50 ms, for all policies");
    for policy in POLICIES {
        let outcome = run(policy)?;
        let slots_used: Vec<String> =
            outcome.slots_used.iter().map(|share| format!("{:.0}%", share * 100.0)).collect();
        println!(
            "{policy:<15} over_cap={} of {} starts, max_excess={}, answered={}, refused={:?}, \
             broken={}, slots used by phase={}",
            outcome.over_cap,
            outcome.samples,
            outcome.max_excess,
            outcome.answered,
            outcome.refused,
            outcome.broken,
            slots_used.join(" ")
        );
        values.insert(policy, outcome.over_cap as f64);
    }
    println!("run time: {:.1} s", started.elapsed().as_secs_f64());
    let baselines = values.iter().filter(|(policy, _)| **policy != Policy::Owner);
    BenchResult {
        bench: "skew".to_owned(),
        value: values[&Policy::Owner],
        baseline: baselines.map(|(_, value)| *value).fold(f64::INFINITY, f64::min),
        target: 0.0,
        unit: "samples over the cap".to_owned(),
    }
    .print();
    Ok(())
}

fn run(policy: Policy) -> Result<Outcome> {
    let tracker = LoadTracker::new(CAP_MULTIPLE);
    let mut fleet = start_fleet(policy, &tracker)?;
    let shared = SharedState {
        callers: AtomicUsize::new(0),
        ended: AtomicBool::new(false),
        routers: Mutex::new(fleet.caller_addresses()),
        crashed: Mutex::default(),
        outcome: Mutex::default(),
    };
    thread::scope(|scope| {
        for number in 0..MAX_CALLERS {
            let shared = &shared;
            scope.spawn(move || run_caller(number, shared));
        }
        let result = run_phases(&mut fleet, &tracker, &shared);
        shared.ended.store(true, Ordering::Relaxed);
        result
    })?;
    Ok(shared.outcome.into_inner().unwrap_or_else(|e| e.into_inner()))
}

fn start_fleet(policy: Policy, tracker: &LoadTracker) -> Result<LocalFleet> {
    let engine = |(index, weight): (usize, &f64)| EngineOptions {
        name: format!("engine-{index}"),
        slots: (weight * SLOTS_PER_WEIGHT) as usize,
        weight: *weight,
        step_ms: STEP_MS,
        prefill_us_per_token: 10.0,
        tracker: Some(tracker.clone()),
        ..EngineOptions::default()
    };
    let options = FleetOptions {
        routers: ROUTERS,
        zones: 3,
        engines: WEIGHTS.iter().enumerate().map(engine).collect(),
        adjust: adjust_for(policy),
        ..FleetOptions::default()
    };
    let fleet = LocalFleet::spawn(options)?;
    let objects = fleet
        .objects(CAP_MULTIPLE)
        .team("team", 1.0, 2000)
        .work("short", true, WorkClass::Normal, 20, 5000)
        .work("large", true, WorkClass::Normal, 150, 5000)
        .route("short", ENGINE_POOL, None)
        .route("large", ENGINE_POOL, None)
        .build();
    apply_change(&fleet, &objects, &[])?;
    fleet.await_ready(Duration::from_secs(20))?;
    Ok(fleet)
}

fn run_phases(fleet: &mut LocalFleet, tracker: &LoadTracker, shared: &SharedState) -> Result<()> {
    // the host list that the routers read is 3 s old
    fleet.platform.set_host_list_lag(Duration::from_secs(3));
    let slots: f64 = WEIGHTS.iter().sum::<f64>() * SLOTS_PER_WEIGHT;
    tracker.reset();
    for (phase, (callers, ms)) in DEMAND_PHASES_MS.into_iter().enumerate() {
        shared.callers.store(callers, Ordering::Relaxed);
        let ends = Instant::now() + Duration::from_millis(ms);
        inject_faults(fleet, phase, shared)?;
        thread::sleep(ends.saturating_duration_since(Instant::now()));
        let summary = tracker.summary();
        tracker.reset();
        let mut outcome = shared.outcome.lock().unwrap_or_else(|e| e.into_inner());
        outcome.samples += summary.samples;
        outcome.over_cap += summary.over_cap;
        outcome.max_excess = outcome.max_excess.max(summary.max_excess);
        outcome
            .slots_used
            .push(summary.engines.iter().map(|e| e.mean_in_flight).sum::<f64>() / slots);
    }
    Ok(())
}

/// Crashes a router in each odd phase and starts it again in the next one. Makes the
/// host list omit a quarter of the routers and mark some others as leaving in every
/// phase, and delays the log by 40 ms in odd phases.
fn inject_faults(fleet: &mut LocalFleet, phase: usize, shared: &SharedState) -> Result<()> {
    let entry = |index: usize, router: SocketAddr| HostEntry {
        host_id: format!("host-{index}"),
        peer_address: router.to_string(),
        state: if index % 7 == phase { HostState::Leaving } else { HostState::Live },
    };
    let listed =
        fleet.routers.iter().enumerate().filter(|(index, _)| !(index + phase).is_multiple_of(4));
    fleet.platform.set_hosts(listed.map(|(i, r)| entry(i, r.peer_address())).collect());
    fleet.platform.set_log_delay(Duration::from_millis(if phase.is_multiple_of(2) {
        0
    } else {
        40
    }));
    if phase % 2 == 1 {
        let crashed = &fleet.routers[3 + phase];
        lock(&shared.crashed).push(crashed.caller_address());
        crashed.stop();
    } else if phase > 0 {
        fleet.start_router(2 + phase)?;
    }
    let mut routers = fleet.caller_addresses();
    routers.retain(|address| !lock(&shared.crashed).contains(address));
    *lock(&shared.routers) = routers;
    Ok(())
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Sends one request after the other while the phase needs this caller.
fn run_caller(number: usize, shared: &SharedState) {
    let mut rng = SmallRng::seed_from_u64(SEED + number as u64);
    let caller = Caller::new(Duration::from_secs(8));
    while !shared.ended.load(Ordering::Relaxed) {
        if number >= shared.callers.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
            continue;
        }
        let address = {
            let routers = lock(&shared.routers);
            routers[rng.random_range(0..routers.len())]
        };
        let reply = caller.chat(address, &random_turn(&mut rng));
        let mut outcome = lock(&shared.outcome);
        if reply.complete {
            outcome.answered += 1;
        } else if reply.verdict.as_deref() == Some("not_run") {
            *outcome.refused.entry(reply.reason.unwrap_or_default()).or_default() += 1;
        } else {
            outcome.broken += 1;
        }
    }
}

fn random_turn(rng: &mut SmallRng) -> ChatTurn {
    let is_large = rng.random_bool(LARGE_SHARE);
    let (work, chats, tokens, characters) =
        if is_large { ("large", LARGE_CHATS, 150, 16_000) } else { ("short", CHATS, 20, 400) };
    let chat = format!("{work}-{}", rng.random_range(0..chats));
    let messages = vec!["x".repeat(characters), "answer".to_owned(), "question".to_owned()];
    let tokens = rng.random_range(tokens / 2..=tokens + tokens / 2);
    ChatTurn { messages, ..ChatTurn::new("team", work, "", tokens) }.chat(&chat).deadline_ms(5000)
}
