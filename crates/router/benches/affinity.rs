//! Prefix tokens that returning chats find in the cache while engines join, leave
//! and crash, as a share of what one router with complete knowledge reaches.
//!
//! Time is scaled down 100 times for pauses and churn: 1 s stands for 100 s. The
//! timings of the routers and of the cache events are not scaled, so a crash is
//! noticed 100 times later than in the fleet. All policies share the scale.

mod common;
#[path = "affinity/reference.rs"]
mod reference;

use {
    anyhow::Result,
    common::{POLICIES, adjust, change},
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
const JOINING: usize = 2;
const SLOTS: usize = 16;
const CAP_MULTIPLE: f64 = 1.25;
const CACHE_TOKENS: u64 = 80_000;
const CACHE_EVENT_LOSS: f64 = 0.05;
const CHATS: u32 = 320;
const TOKENS: u32 = 12;
/// Turns that begin earlier count neither for the fleet nor for the reference: all
/// chats start in this time.
const WARM_UP: Duration = Duration::from_millis(1500);
const RUN: Duration = Duration::from_millis(5000);
/// Median pause of a chat; 100 s at the scale of the fleet.
const PAUSE_S: f64 = 1.0;
const PAUSE_SIGMA: f64 = 0.8;
const MAX_PAUSE_S: f64 = 4.0;
const SEED: u64 = 29;

#[derive(Clone, Copy)]
enum Churn {
    Crash(usize),
    Restart(usize),
    Join(usize),
    Leave(usize),
    Remove(usize),
}

/// 6 changes in 5 s: 5% of 12 engines per minute are 5 in the 8.3 minutes that it stands for.
const CHURN: [(u64, Churn); 10] = [
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

/// Next turn of a chat. Its sizes and pauses depend on the chat's seed alone.
struct Chat {
    number: u32,
    rng: SmallRng,
    messages: Vec<String>,
}

#[derive(Default)]
struct Outcome {
    reused_tokens: u64,
    reference_tokens: u64,
    prompt_tokens: u64,
    answered: u64,
    failed: BTreeMap<String, u64>,
}

/// State that the callers share.
struct Work {
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
    let work = Work {
        started: Instant::now(),
        events: Mutex::default(),
        outcome: Mutex::default(),
        routers: fleet.caller_addresses(),
    };
    thread::scope(|scope| {
        for number in 0..CHATS {
            let work = &work;
            scope.spawn(move || hold_chat(work, number));
        }
        churn(&mut fleet, &mut joining, &work)
    })?;
    let mut events = std::mem::take(&mut *lock(&work.events));
    events.sort_by_key(|(at, _)| *at);
    let bounds = Bounds { slots: SLOTS, cap_multiple: CAP_MULTIPLE, cache_tokens: CACHE_TOKENS };
    let mut reference = Reference::new(ENGINES, JOINING, bounds);
    events.into_iter().for_each(|(_, event)| reference.apply(event));
    let mut outcome = std::mem::take(&mut *lock(&work.outcome));
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
        adjust: adjust(policy),
        ..FleetOptions::default()
    })?;
    let joining = (ENGINES..ENGINES + JOINING).map(|i| EngineStandin::spawn(options(i))).collect();
    let objects = fleet
        .objects(CAP_MULTIPLE)
        .team("team", 1.0, 2000)
        .work("chat", true, WorkClass::Normal, TOKENS, 5000)
        .route("chat", ENGINE_POOL, None)
        .build();
    change(&fleet, &objects, &[])?;
    fleet.await_ready(Duration::from_secs(20))?;
    Ok((fleet, joining))
}

/// Carries out the churn and records it for the reference.
fn churn(fleet: &mut LocalFleet, joining: &mut [EngineStandin], work: &Work) -> Result<()> {
    for (at_ms, event) in CHURN {
        let at = work.started + Duration::from_millis(at_ms);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let note = |event| lock(&work.events).push((Instant::now(), event));
        match event {
            Churn::Crash(index) => {
                note(Event::Crash(index));
                fleet.engines[index].crash();
            }
            Churn::Restart(index) => {
                fleet.engines[index].restart();
                note(Event::Start(index));
            }
            Churn::Join(index) => {
                let address = joining[index - ENGINES].address();
                let id = format!("engine-{index}");
                let endpoint = engine_endpoint(&id, address, ENGINE_POOL, SLOTS as u32);
                change(fleet, &[ConfigObject::Endpoint(endpoint)], &[])?;
                note(Event::Start(index));
            }
            Churn::Leave(index) => {
                note(Event::Leave(index));
                fleet.engines[index].set_leaving();
            }
            Churn::Remove(index) => {
                let id = format!("engine-{index}");
                change(fleet, &[], &[&id])?;
            }
        }
    }
    Ok(())
}

/// Runs the turns of one chat until the end of the run.
fn hold_chat(work: &Work, number: u32) {
    let mut rng = SmallRng::seed_from_u64(SEED << 32 | u64::from(number));
    let caller = Caller::new(Duration::from_secs(8));
    let pauses = LogNormal::new(PAUSE_S.ln(), PAUSE_SIGMA).expect("a valid distribution");
    let mut pause = rng.random_range(0.0..1.5);
    let context = "c".repeat(rng.random_range(2000..8000));
    let mut chat = Chat { number, rng, messages: vec![context, "ready".to_owned()] };
    loop {
        thread::sleep(Duration::from_secs_f64(pause));
        if work.started.elapsed() >= RUN {
            return;
        }
        take_turn(work, &caller, &mut chat);
        pause = pauses.sample(&mut chat.rng).min(MAX_PAUSE_S);
    }
}

fn take_turn(work: &Work, caller: &Caller, chat: &mut Chat) {
    let question = "q".repeat(chat.rng.random_range(200..800));
    let address = work.routers[chat.rng.random_range(0..work.routers.len())];
    chat.messages.push(question);
    let characters: usize = chat.messages.iter().map(String::len).sum();
    let prompt_tokens = (characters / 4) as u32;
    let turn =
        ChatTurn { messages: chat.messages.clone(), ..ChatTurn::new("team", "chat", "", TOKENS) }
            .chat(&format!("chat-{}", chat.number))
            .deadline_ms(1500);
    let started = Instant::now();
    let is_warm_up = work.started.elapsed() < WARM_UP;
    let reply = caller.chat(address, &turn);
    {
        let mut events = lock(&work.events);
        events.push((started, Event::Begin { chat: chat.number, prompt_tokens, is_warm_up }));
        events.push((
            Instant::now(),
            Event::End { chat: chat.number, cached_tokens: prompt_tokens + TOKENS },
        ));
    }
    let answer = expected_answer(chat.messages.last().map_or("", String::as_str), TOKENS);
    chat.messages.push(answer);
    let mut outcome = lock(&work.outcome);
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
