//! Load over the cap with 20 routers, 12 engines of uneven weights, changing
//! demand, a few very large chats, router crashes, and wrong host lists.
//!
//! Engine times are scaled down (15 ms steps instead of about 50 ms); the timings
//! of the routers are the defaults. Both are the same for all policies.

mod common;

use {
    anyhow::Result,
    common::{POLICIES, adjust, change},
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
/// Callers that keep one request in flight each, and for how long.
const DEMAND: [(usize, u64); 5] = [(40, 900), (130, 1500), (16, 800), (110, 1200), (60, 600)];
const MAX_CALLERS: usize = 130;
/// Share of the requests that belong to a few chats of large prompts and long answers.
const LARGE_SHARE: f64 = 0.1;
const LARGE_CHATS: u32 = 3;
const CHATS: u32 = 2000;
const SEED: u64 = 17;

#[derive(Default)]
struct Outcome {
    samples: u64,
    over_cap: u64,
    max_excess: usize,
    answered: u64,
    refused: BTreeMap<String, u64>,
    broken: u64,
    /// Share of the slots in use in each phase.
    used: Vec<f64>,
}

struct Demand {
    callers: AtomicUsize,
    ended: AtomicBool,
    routers: Mutex<Vec<SocketAddr>>,
    /// Callers' addresses of crashed routers.
    stopped: Mutex<Vec<SocketAddr>>,
    outcome: Mutex<Outcome>,
}

fn main() -> Result<()> {
    let started = Instant::now();
    let mut values = BTreeMap::new();
    println!("time scale: engine steps of {STEP_MS} ms instead of about 50 ms, for all policies");
    for policy in POLICIES {
        let outcome = run(policy)?;
        let used: Vec<String> = outcome.used.iter().map(|u| format!("{:.0}%", u * 100.0)).collect();
        println!(
            "{policy:<15} over_cap={} of {} starts, max_excess={}, answered={}, refused={:?}, \
             broken={}, slots used by phase={}",
            outcome.over_cap,
            outcome.samples,
            outcome.max_excess,
            outcome.answered,
            outcome.refused,
            outcome.broken,
            used.join(" ")
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
    let demand = Demand {
        callers: AtomicUsize::new(0),
        ended: AtomicBool::new(false),
        routers: Mutex::new(fleet.caller_addresses()),
        stopped: Mutex::default(),
        outcome: Mutex::default(),
    };
    thread::scope(|scope| {
        for number in 0..MAX_CALLERS {
            let demand = &demand;
            scope.spawn(move || call(number, demand));
        }
        let result = run_phases(&mut fleet, &tracker, &demand);
        demand.ended.store(true, Ordering::Relaxed);
        result
    })?;
    Ok(demand.outcome.into_inner().unwrap_or_else(|e| e.into_inner()))
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
        adjust: adjust(policy),
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
    change(&fleet, &objects, &[])?;
    fleet.await_ready(Duration::from_secs(20))?;
    Ok(fleet)
}

fn run_phases(fleet: &mut LocalFleet, tracker: &LoadTracker, demand: &Demand) -> Result<()> {
    // the host list is late, lacks some hosts and calls others leaving
    fleet.platform.set_host_list_lag(Duration::from_secs(3));
    let slots: f64 = WEIGHTS.iter().sum::<f64>() * SLOTS_PER_WEIGHT;
    tracker.reset();
    for (phase, (callers, ms)) in DEMAND.into_iter().enumerate() {
        demand.callers.store(callers, Ordering::Relaxed);
        let ends = Instant::now() + Duration::from_millis(ms);
        disturb(fleet, phase, demand)?;
        thread::sleep(ends.saturating_duration_since(Instant::now()));
        let reading = tracker.summary();
        tracker.reset();
        let mut outcome = demand.outcome.lock().unwrap_or_else(|e| e.into_inner());
        outcome.samples += reading.samples;
        outcome.over_cap += reading.over_cap;
        outcome.max_excess = outcome.max_excess.max(reading.max_excess);
        outcome.used.push(reading.engines.iter().map(|e| e.mean_in_flight).sum::<f64>() / slots);
    }
    Ok(())
}

/// Crashes a router in one phase and starts it again in the next; the platform's
/// host list is wrong all the time.
fn disturb(fleet: &mut LocalFleet, phase: usize, demand: &Demand) -> Result<()> {
    let entry = |index: usize, router: SocketAddr| HostEntry {
        host_id: format!("host-{index}"),
        peer_address: router.to_string(),
        state: if index % 7 == phase { HostState::Leaving } else { HostState::Live },
    };
    let wrong =
        fleet.routers.iter().enumerate().filter(|(index, _)| !(index + phase).is_multiple_of(4));
    fleet.platform.set_hosts(wrong.map(|(i, r)| entry(i, r.peer_address())).collect());
    fleet.platform.set_log_delay(Duration::from_millis(if phase.is_multiple_of(2) {
        0
    } else {
        40
    }));
    if phase % 2 == 1 {
        let crashed = &fleet.routers[3 + phase];
        lock(&demand.stopped).push(crashed.caller_address());
        crashed.stop();
    } else if phase > 0 {
        fleet.start_router(2 + phase)?;
    }
    let mut routers = fleet.caller_addresses();
    routers.retain(|address| !lock(&demand.stopped).contains(address));
    *lock(&demand.routers) = routers;
    Ok(())
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

fn call(number: usize, demand: &Demand) {
    let mut rng = SmallRng::seed_from_u64(SEED + number as u64);
    let caller = Caller::new(Duration::from_secs(8));
    while !demand.ended.load(Ordering::Relaxed) {
        if number >= demand.callers.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
            continue;
        }
        let address = {
            let routers = lock(&demand.routers);
            routers[rng.random_range(0..routers.len())]
        };
        let reply = caller.chat(address, &turn(&mut rng));
        let mut outcome = lock(&demand.outcome);
        if reply.complete {
            outcome.answered += 1;
        } else if reply.verdict.as_deref() == Some("not_run") {
            *outcome.refused.entry(reply.reason.unwrap_or_default()).or_default() += 1;
        } else {
            outcome.broken += 1;
        }
    }
}

fn turn(rng: &mut SmallRng) -> ChatTurn {
    let is_large = rng.random_bool(LARGE_SHARE);
    let (work, chats, tokens, characters) =
        if is_large { ("large", LARGE_CHATS, 150, 16_000) } else { ("short", CHATS, 20, 400) };
    let chat = format!("{work}-{}", rng.random_range(0..chats));
    let messages = vec!["x".repeat(characters), "answer".to_owned(), "question".to_owned()];
    let tokens = rng.random_range(tokens / 2..=tokens + tokens / 2);
    ChatTurn { messages, ..ChatTurn::new("team", work, "", tokens) }.chat(&chat).deadline_ms(5000)
}
