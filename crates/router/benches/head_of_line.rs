//! Measures head-of-line blocking: the latency of short requests while reports that are
//! 10 to 30 times longer run beside them, against the same short requests alone.
//!
//! A decode step of an engine takes longer with each running request, whatever a router
//! does. The compared phases therefore run with `batch_slope` 0, so that only the wait
//! for slots is left. With the default slope of 3% per further request, 6 long requests
//! beside a short one make each of its steps up to 18% longer at any router.
//!
//! Engine times are halved for all policies. The routers are not told the lengths: both
//! kinds of work are configured with the same expected length.
//! Run: `cargo bench --bench head_of_line`.

use {
    mango_standins::EngineOptions,
    mango_testkit::{
        BenchResult, Caller, ChatTurn, ENGINE_POOL, FleetOptions, LatencySummary, LocalFleet,
        PlannedTurn, TurnOutcome, run_open_loop_load,
    },
    mango_wire::{
        config::WorkClass,
        settings::{AdmissionSettings, Policy, Settings},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

const SEED: u64 = 11;
const ROUTERS: usize = 4;
const ENGINES: usize = 5;
const SLOTS: usize = 12;
const SHORT_TOKENS: std::ops::RangeInclusive<u32> = 12..=20;
const LONG_TOKENS: std::ops::RangeInclusive<u32> = 160..=480;
const SHORT_REQUESTS_PER_S: f64 = 70.0;
/// Callers that request one report after the other. They are more than the slots that the
/// policy `owner` gives to long work, so that its queue is never empty.
const LONG_CALLERS: u64 = 45;
const SHORT_DEADLINE_MS: u32 = 5_000;
const LONG_DEADLINE_MS: u32 = 60_000;

// all spans start and end in seconds from the start of the load
const SHORT_ALONE_S: (f64, f64) = (0.5, 3.5);
/// Long work arrives from this time on. The routers know nothing of its length then.
const LONG_FROM_S: f64 = 3.5;
/// Includes most of the first wave of long work.
const BOTH_S: (f64, f64) = (4.5, 10.9);
/// Throughput is compared after the first wave of long work, which takes all free slots.
const BOTH_LATER_S: (f64, f64) = (8.5, 10.9);
const LONG_ALONE_S: (f64, f64) = (11.3, 13.5);

struct Figures {
    /// Latency of short work alone.
    short_alone: LatencySummary,
    /// Latency of short work beside long work.
    short_both: LatencySummary,
    /// As `short_both`, after the first wave of long work.
    short_both_later: LatencySummary,
    /// Throughput of long work beside short work, and alone.
    long_both_tokens_per_s: f64,
    long_alone_tokens_per_s: f64,
    unanswered_short: usize,
}

impl Figures {
    fn p99_ratio(&self) -> f64 {
        self.short_both.quantile_ms(0.99) / self.short_alone.quantile_ms(0.99)
    }

    /// Share of its throughput that long work loses beside short work.
    fn long_loss(&self) -> f64 {
        1.0 - self.long_both_tokens_per_s / self.long_alone_tokens_per_s
    }
}

fn main() -> anyhow::Result<()> {
    println!(
        "head_of_line: {ENGINES} engines x {SLOTS} slots, {ROUTERS} routers, engine times x 0.5; \
         long work alone has the same long slots (short_reserve unchanged)"
    );
    let owner = run("owner", adjust_owner, 0.0)?;
    let random = run("random", adjust_random, 0.0)?;
    run("rendezvous", adjust_rendezvous, 0.0)?;
    BenchResult {
        bench: "head_of_line".to_owned(),
        value: owner.p99_ratio(),
        baseline: random.p99_ratio(),
        target: 1.2,
        unit: "p99 with long work / p99 without".to_owned(),
    }
    .print();
    Ok(())
}

fn adjust_owner(settings: &mut Settings) {
    set_policy(settings, Policy::Owner);
}

fn adjust_random(settings: &mut Settings) {
    set_policy(settings, Policy::Random);
}

fn adjust_rendezvous(settings: &mut Settings) {
    set_policy(settings, Policy::Rendezvous);
}

fn set_policy(settings: &mut Settings, policy: Policy) {
    settings.admission = Some(AdmissionSettings { policy, ..AdmissionSettings::default() });
}

/// Plans the short requests of a run.
fn plan_short_load() -> Vec<PlannedTurn> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut turns = Vec::new();
    add_arrivals(&mut turns, &mut rng, SHORT_REQUESTS_PER_S, (0.0, BOTH_S.1), |rng| {
        let message = format!("is the valve of appliance {} recalled?", rng.random::<u32>());
        let team = TEAMS[rng.random_range(0..TEAMS.len())];
        let tokens = rng.random_range(SHORT_TOKENS);
        ChatTurn::new(team, "question", &message, tokens).deadline_ms(SHORT_DEADLINE_MS.into())
    });
    turns
}

const TEAMS: [&str; 3] = ["north", "south", "east"];

fn run_load(addresses: &[SocketAddr]) -> Vec<TurnOutcome> {
    let started = Instant::now();
    let caller = |index: u64| {
        let address = addresses[index as usize % addresses.len()];
        thread::spawn(move || request_reports(address, index, started))
    };
    let callers: Vec<_> = (0..LONG_CALLERS).map(caller).collect();
    let mut outcomes = run_open_loop_load(addresses, plan_short_load());
    outcomes.extend(callers.into_iter().flat_map(|c| c.join().unwrap_or_default()));
    outcomes
}

/// Requests reports one after the other until the end of the load, which cuts off the last.
fn request_reports(address: SocketAddr, index: u64, started: Instant) -> Vec<TurnOutcome> {
    let mut rng = SmallRng::seed_from_u64(SEED + 1 + index);
    let end = Duration::from_secs_f64(LONG_ALONE_S.1);
    thread::sleep(Duration::from_secs_f64(LONG_FROM_S));
    let mut outcomes = Vec::new();
    while let Some(left) = end.checked_sub(started.elapsed()).filter(|left| !left.is_zero()) {
        let message = format!("write the report of visit {}", rng.random::<u32>());
        let team = TEAMS[rng.random_range(0..TEAMS.len())];
        let tokens = rng.random_range(LONG_TOKENS);
        let turn =
            ChatTurn::new(team, "report", &message, tokens).deadline_ms(LONG_DEADLINE_MS.into());
        let at = started.elapsed();
        let reply = Caller::new(left).chat(address, &turn);
        let total = reply.total;
        outcomes.push(TurnOutcome { planned: PlannedTurn { at, turn }, reply, total });
    }
    outcomes
}

fn compute_figures(outcomes: &[TurnOutcome]) -> Figures {
    let is_short = |o: &&TurnOutcome| o.planned.turn.work == "question";
    let is_within =
        |o: &TurnOutcome, (from, to): (f64, f64)| (from..to).contains(&o.planned.at.as_secs_f64());
    let latencies = |span| {
        let mut latencies = LatencySummary::default();
        let answered = outcomes.iter().filter(is_short).filter(|o| is_within(o, span));
        answered.filter(|o| o.reply.complete).for_each(|o| latencies.add(o.total));
        latencies
    };
    let long_tokens_per_s = |(from, to): (f64, f64)| {
        let long = outcomes.iter().filter(|o| !is_short(o));
        let (start, end) = (Duration::from_secs_f64(from), Duration::from_secs_f64(to));
        long.map(|o| o.tokens_within(start, end)).sum::<f64>() / (to - from)
    };
    Figures {
        short_alone: latencies(SHORT_ALONE_S),
        short_both: latencies(BOTH_S),
        short_both_later: latencies(BOTH_LATER_S),
        long_both_tokens_per_s: long_tokens_per_s(BOTH_LATER_S),
        long_alone_tokens_per_s: long_tokens_per_s(LONG_ALONE_S),
        unanswered_short: outcomes.iter().filter(is_short).filter(|o| !o.reply.complete).count(),
    }
}

/// Adds Poisson arrivals between two times in seconds.
fn add_arrivals(
    turns: &mut Vec<PlannedTurn>,
    rng: &mut SmallRng,
    per_second: f64,
    (from, to): (f64, f64),
    mut turn: impl FnMut(&mut SmallRng) -> ChatTurn,
) {
    let mut at = from;
    while at < to {
        turns.push(PlannedTurn { at: Duration::from_secs_f64(at), turn: turn(rng) });
        at += -(1.0 - rng.random::<f64>()).ln() / per_second;
    }
}

fn run(name: &str, adjust: fn(&mut Settings), batch_slope: f64) -> anyhow::Result<Figures> {
    let engine = |index| EngineOptions {
        name: format!("engine-{index}"),
        slots: SLOTS,
        batch_slope,
        time_scale: 0.5,
        ..EngineOptions::default()
    };
    let engines = (0..ENGINES).map(engine).collect();
    let options =
        FleetOptions { routers: ROUTERS, zones: 4, engines, adjust, ..Default::default() };
    let fleet = LocalFleet::spawn(options)?;
    let objects = fleet
        .objects(1.25)
        .work("question", true, WorkClass::Normal, 16, SHORT_DEADLINE_MS)
        .work("report", true, WorkClass::Normal, 16, LONG_DEADLINE_MS)
        .route("question", ENGINE_POOL, None)
        .route("report", ENGINE_POOL, None)
        .team("north", 1.0, 10_000)
        .team("south", 1.0, 10_000)
        .team("east", 1.0, 10_000)
        .build();
    // the first attempt may time out on a busy machine
    fleet.apply(&objects).or_else(|_| fleet.apply(&objects))?;
    fleet.await_ready(Duration::from_secs(30))?;
    let figures = compute_figures(&run_load(&fleet.caller_addresses()));
    println!(
        "{name}: short p99 ratio {:.2}, long work loses {:.1}% ({:.0} of {:.0} tokens/s), \
         unanswered short {}",
        figures.p99_ratio(),
        figures.long_loss() * 100.0,
        figures.long_both_tokens_per_s,
        figures.long_alone_tokens_per_s,
        figures.unanswered_short,
    );
    println!("  short alone:     {}", figures.short_alone);
    println!("  short with long: {}", figures.short_both);
    println!("  after the first wave: {}", figures.short_both_later);
    Ok(figures)
}
