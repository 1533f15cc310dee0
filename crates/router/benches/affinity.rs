//! Measures how many prompt tokens returning chats find in the engines' prefix caches
//! while engines join, leave and crash, as a share of what a single router with complete
//! knowledge of loads and caches reaches.
//!
//! Chat pauses and churn are 100 times faster than in production: 1 s stands for 100 s.
//! The timings of the routers and of the cache events are not scaled, so relative to the
//! churn a crash is detected 100 times later than in production. The scale is the same
//! for all policies.

mod common;
#[path = "affinity/reference.rs"]
mod reference;

use {
    anyhow::Result,
    common::{POLICIES, adjust_for, apply_change},
    mango_standins::{EngineOptions, EngineStandin, expected_answer},
    mango_testkit::{
        BenchResult, Caller, ChatTurn, ENGINE_POOL, FleetOptions, LocalFleet, engine_endpoint,
    },
    mango_wire::{
        config::{ConfigObject, WorkClass},
        settings::Policy,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rand_distr::{Distribution, LogNormal},
    reference::{Bounds, Event, Reference},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Mutex, MutexGuard},
        thread,
        time::{Duration, Instant},
    },
};

const ROUTERS: usize = 6;
const ENGINES: usize = 12;
const JOINING_ENGINES: usize = 2;
const SLOTS: usize = 16;
const CAP_MULTIPLE: f64 = 1.25;
const CACHE_TOKENS: u64 = 80_000;
const CACHE_EVENT_LOSS: f64 = 0.05;
const CHATS: u32 = 320;
/// Length of each answer.
const ANSWER_TOKENS: u32 = 12;
/// All chats start in this time. Turns that begin in it count neither for the fleet nor
/// for the reference.
const WARM_UP: Duration = Duration::from_millis(1500);
const RUN_TIME: Duration = Duration::from_millis(5000);
/// Median pause between the turns of a chat; stands for 100 s in production.
const MEDIAN_PAUSE_S: f64 = 1.0;
/// Standard deviation of the logarithm of the pause.
const PAUSE_SIGMA: f64 = 0.8;
const MAX_PAUSE_S: f64 = 4.0;
const SEED: u64 = 29;

/// Change to the engine with the given index.
#[derive(Clone, Copy)]
enum Churn {
    Crash(usize),
    Restart(usize),
    /// A further engine is added to the configuration.
    Join(usize),
    /// The engine refuses new requests.
    Leave(usize),
    /// The engine is removed from the configuration.
    Remove(usize),
}

/// Changes with their times in milliseconds from the start. 6 engines join, leave or crash
/// in 5 s, which stand for 8.3 minutes. That is more than 5% of 12 engines per minute,
/// which would be 5 engines.
const CHURN_AT_MS: [(u64, Churn); 10] = [
    (1600, Churn::Crash(2)),
    (1900, Churn::Join(12)),
    (2400, Churn::Restart(2)),
    (2500, Churn::Leave(5)),
    (2900, Churn::Crash(9)),
    (3100, Churn::Remove(5)),
    (3400, Churn::Join(13)),
    (3600, Churn::Leave(10)),
    (3800, Churn::Restart(9)),
    (4200, Churn::Remove(10)),
];

/// State of one chat. Its message lengths and pauses depend only on its number.
struct Chat {
    number: u32,
    rng: SmallRng,
    messages: Vec<String>,
}

#[derive(Default)]
struct Outcome {
    reused_tokens: u64,
    /// Tokens that the reference reuses for the same turns.
    reference_tokens: u64,
    prompt_tokens: u64,
    answered: u64,
    /// Failed turns by reason.
    failed: BTreeMap<String, u64>,
}

/// State shared by the caller threads and the churn.
struct SharedState {
    started: Instant,
    events: Mutex<Vec<(Instant, Event)>>,
    outcome: Mutex<Outcome>,
    routers: Vec<SocketAddr>,
}

fn main() -> Result<()> {
    let started = Instant::now();
    let mut values = BTreeMap::new();
    println!("time scale: 1 s of pauses and churn stands for 100 s, for all policies");
    for policy in POLICIES {
        let outcome = run(policy)?;
        let share = outcome.reused_tokens as f64 / outcome.reference_tokens.max(1) as f64;
        println!(
            "{policy:<15} share={share:.4} reused={} reference={} prompts={} answered={} failed={:?}",
            outcome.reused_tokens,
            outcome.reference_tokens,
            outcome.prompt_tokens,
            outcome.answered,
            outcome.failed
        );
        values.insert(policy, share);
    }
    println!("run time: {:.1} s", started.elapsed().as_secs_f64());
    let baselines = values.iter().filter(|(policy, _)| **policy != Policy::Owner);
    BenchResult {
        bench: "affinity".to_owned(),
        value: values[&Policy::Owner],
        baseline: baselines.map(|(_, value)| *value).fold(0.0, f64::max),
        target: 0.95,
        unit: "share of the reused prefix tokens of one router with complete knowledge".to_owned(),
    }
    .print();
    Ok(())
}

fn run(policy: Policy) -> Result<Outcome> {
    let (mut fleet, mut joining) = start_fleet(policy)?;
    let shared = SharedState {
        started: Instant::now(),
        events: Mutex::default(),
        outcome: Mutex::default(),
        routers: fleet.caller_addresses(),
    };
    thread::scope(|scope| {
        for number in 0..CHATS {
            let shared = &shared;
            scope.spawn(move || run_chat(shared, number));
        }
        apply_churn(&mut fleet, &mut joining, &shared)
    })?;
    let mut events = std::mem::take(&mut *lock(&shared.events));
    events.sort_by_key(|(at, _)| *at);
    let bounds = Bounds { slots: SLOTS, cap_multiple: CAP_MULTIPLE, cache_tokens: CACHE_TOKENS };
    let mut reference = Reference::new(ENGINES, JOINING_ENGINES, bounds);
    events.into_iter().for_each(|(_, event)| reference.apply(event));
    let mut outcome = std::mem::take(&mut *lock(&shared.outcome));
    outcome.reference_tokens = reference.reused_tokens();
    Ok(outcome)
}

fn start_fleet(policy: Policy) -> Result<(LocalFleet, Vec<EngineStandin>)> {
    let options = |index: usize| EngineOptions {
        name: format!("engine-{index}"),
        slots: SLOTS,
        step_ms: 30.0,
        prefill_us_per_token: 50.0,
        cache_tokens: CACHE_TOKENS,
        cache_event_loss: CACHE_EVENT_LOSS,
        seed: SEED + index as u64,
        ..EngineOptions::default()
    };
    let fleet = LocalFleet::spawn(FleetOptions {
        routers: ROUTERS,
        zones: 3,
        engines: (0..ENGINES).map(options).collect(),
        adjust: adjust_for(policy),
        ..FleetOptions::default()
    })?;
    let joining =
        (ENGINES..ENGINES + JOINING_ENGINES).map(|i| EngineStandin::spawn(options(i))).collect();
    let objects = fleet
        .objects(CAP_MULTIPLE)
        .team("team", 1.0, 2000)
        .work("chat", true, WorkClass::Normal, ANSWER_TOKENS, 5000)
        .route("chat", ENGINE_POOL, None)
        .build();
    apply_change(&fleet, &objects, &[])?;
    fleet.await_ready(Duration::from_secs(20))?;
    Ok((fleet, joining))
}

/// Applies the planned churn and records it for the reference.
fn apply_churn(
    fleet: &mut LocalFleet,
    joining: &mut [EngineStandin],
    shared: &SharedState,
) -> Result<()> {
    for (at_ms, event) in CHURN_AT_MS {
        let at = shared.started + Duration::from_millis(at_ms);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let record = |event| lock(&shared.events).push((Instant::now(), event));
        match event {
            Churn::Crash(index) => {
                record(Event::Crash(index));
                fleet.engines[index].crash();
            }
            Churn::Restart(index) => {
                fleet.engines[index].restart();
                record(Event::Start(index));
            }
            Churn::Join(index) => {
                let address = joining[index - ENGINES].address();
                let id = format!("engine-{index}");
                let endpoint = engine_endpoint(&id, address, ENGINE_POOL, SLOTS as u32);
                apply_change(fleet, &[ConfigObject::Endpoint(endpoint)], &[])?;
                record(Event::Start(index));
            }
            Churn::Leave(index) => {
                record(Event::Leave(index));
                fleet.engines[index].set_leaving();
            }
            Churn::Remove(index) => {
                let id = format!("engine-{index}");
                apply_change(fleet, &[], &[&id])?;
            }
        }
    }
    Ok(())
}

/// Runs the turns of one chat until the end of the run.
fn run_chat(shared: &SharedState, number: u32) {
    let mut rng = SmallRng::seed_from_u64(SEED << 32 | u64::from(number));
    let caller = Caller::new(Duration::from_secs(8));
    let pauses = LogNormal::new(MEDIAN_PAUSE_S.ln(), PAUSE_SIGMA).expect("PAUSE_SIGMA is finite");
    let mut pause = rng.random_range(0.0..1.5);
    let context = "c".repeat(rng.random_range(2000..8000));
    let mut chat = Chat { number, rng, messages: vec![context, "ready".to_owned()] };
    loop {
        thread::sleep(Duration::from_secs_f64(pause));
        if shared.started.elapsed() >= RUN_TIME {
            return;
        }
        run_turn(shared, &caller, &mut chat);
        pause = pauses.sample(&mut chat.rng).min(MAX_PAUSE_S);
    }
}

fn run_turn(shared: &SharedState, caller: &Caller, chat: &mut Chat) {
    let question = "q".repeat(chat.rng.random_range(200..800));
    let address = shared.routers[chat.rng.random_range(0..shared.routers.len())];
    chat.messages.push(question);
    let characters: usize = chat.messages.iter().map(String::len).sum();
    // the engine stand-ins count four characters as one token
    let prompt_tokens = (characters / 4) as u32;
    let turn = ChatTurn {
        messages: chat.messages.clone(),
        ..ChatTurn::new("team", "chat", "", ANSWER_TOKENS)
    }
    .chat(&format!("chat-{}", chat.number))
    .deadline_ms(1500);
    let started = Instant::now();
    let is_warm_up = shared.started.elapsed() < WARM_UP;
    let reply = caller.chat(address, &turn);
    {
        let mut events = lock(&shared.events);
        events.push((started, Event::Begin { chat: chat.number, prompt_tokens, is_warm_up }));
        events.push((
            Instant::now(),
            Event::End { chat: chat.number, cached_tokens: prompt_tokens + ANSWER_TOKENS },
        ));
    }
    let answer = expected_answer(chat.messages.last().map_or("", String::as_str), ANSWER_TOKENS);
    chat.messages.push(answer);
    let mut outcome = lock(&shared.outcome);
    if is_warm_up {
        return;
    }
    outcome.prompt_tokens += u64::from(prompt_tokens);
    if reply.complete {
        outcome.answered += 1;
        outcome.reused_tokens += u64::from(reply.cached_tokens);
    } else {
        *outcome.failed.entry(reply.reason.unwrap_or_default()).or_default() += 1;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
