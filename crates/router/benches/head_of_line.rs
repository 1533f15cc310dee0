//! Short work beside reports that are 10 to 30 times longer, against the same short
//! work alone.
//!
//! A decode step of an engine takes longer with each running request, whatever a router
//! does, so the compared phases run with `batch_slope` 0: what is left is waiting for
//! slots. With the default slope of 3% per further request, 6 long requests beside a
//! short one make each of its steps up to 18% longer at any router. Engine times are scaled to one half, the same for all
//! policies. Lengths are not known: both kinds are configured with the same length.
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
const SHORT_PER_SECOND: f64 = 70.0;
/// Callers that ask for one report after the other; more than the product gives slots
/// to long work, so that its queue never runs empty.
const LONG_CALLERS: u64 = 45;
const SHORT_DEADLINE_MS: u32 = 5_000;
const LONG_DEADLINE_MS: u32 = 60_000;

/// Spans in seconds from the start of the load. Long work arrives from `LONG_FROM` on;
/// nothing is known of its length then, and `BOTH` contains most of the first wave.
const ALONE: (f64, f64) = (0.5, 3.5);
const LONG_FROM: f64 = 3.5;
const BOTH: (f64, f64) = (4.5, 10.9);
/// Throughput is compared once the first wave has ended: it takes all free slots.
const LONG_BOTH: (f64, f64) = (8.5, 10.9);
const LONG_ALONE: (f64, f64) = (11.3, 13.5);

struct Figures {
    alone: LatencySummary,
    both: LatencySummary,
    /// As `both`, after the first wave of long work.
    learned: LatencySummary,
    /// Tokens per second of long work beside short work, and without.
    long_both: f64,
    long_alone: f64,
    unanswered: usize,
}

impl Figures {
    fn ratio(&self) -> f64 {
        self.both.quantile_ms(0.99) / self.alone.quantile_ms(0.99)
    }

    fn long_loss(&self) -> f64 {
        1.0 - self.long_both / self.long_alone
    }
}

fn main() -> anyhow::Result<()> {
    println!(
        "head_of_line: {ENGINES} engines x {SLOTS} slots, {ROUTERS} routers, engine times x 0.5; \
         long work alone has the same long slots (short_reserve unchanged)"
    );
    let product = run("owner", adjust_owner, 0.0)?;
    let random = run("random", adjust_random, 0.0)?;
    run("rendezvous", adjust_rendezvous, 0.0)?;
    BenchResult {
        bench: "head_of_line".to_owned(),
        value: product.ratio(),
        baseline: random.ratio(),
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

fn load() -> Vec<PlannedTurn> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut turns = Vec::new();
    arrivals(&mut turns, &mut rng, SHORT_PER_SECOND, (0.0, BOTH.1), |rng| {
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
        thread::spawn(move || ask_for_reports(address, index, started))
    };
    let callers: Vec<_> = (0..LONG_CALLERS).map(caller).collect();
    let mut outcomes = run_open_loop_load(addresses, load());
    outcomes.extend(callers.into_iter().flat_map(|c| c.join().unwrap_or_default()));
    outcomes
}

/// Asks for reports until the end of the load, where the last one is given up.
fn ask_for_reports(address: SocketAddr, index: u64, started: Instant) -> Vec<TurnOutcome> {
    let mut rng = SmallRng::seed_from_u64(SEED + 1 + index);
    let end = Duration::from_secs_f64(LONG_ALONE.1);
    thread::sleep(Duration::from_secs_f64(LONG_FROM));
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

fn figures(outcomes: &[TurnOutcome]) -> Figures {
    let is_short = |o: &&TurnOutcome| o.planned.turn.work == "question";
    let is_within =
        |o: &TurnOutcome, (from, to): (f64, f64)| (from..to).contains(&o.planned.at.as_secs_f64());
    let times = |span| {
        let mut times = LatencySummary::default();
        let answered = outcomes.iter().filter(is_short).filter(|o| is_within(o, span));
        answered.filter(|o| o.reply.complete).for_each(|o| times.add(o.total));
        times
    };
    let long_per_second = |(from, to): (f64, f64)| {
        let long = outcomes.iter().filter(|o| !is_short(o));
        let (start, end) = (Duration::from_secs_f64(from), Duration::from_secs_f64(to));
        long.map(|o| o.tokens_within(start, end)).sum::<f64>() / (to - from)
    };
    Figures {
        alone: times(ALONE),
        both: times(BOTH),
        learned: times(LONG_BOTH),
        long_both: long_per_second(LONG_BOTH),
        long_alone: long_per_second(LONG_ALONE),
        unanswered: outcomes.iter().filter(is_short).filter(|o| !o.reply.complete).count(),
    }
}

/// Poisson arrivals.
fn arrivals(
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
    // a busy machine makes the first try time out now and then
    fleet.apply(&objects).or_else(|_| fleet.apply(&objects))?;
    fleet.await_ready(Duration::from_secs(30))?;
    let figures = figures(&run_load(&fleet.caller_addresses()));
    println!(
        "{name}: short p99 ratio {:.2}, long work loses {:.1}% ({:.0} of {:.0} tokens/s), \
         unanswered short {}",
        figures.ratio(),
        figures.long_loss() * 100.0,
        figures.long_both,
        figures.long_alone,
        figures.unanswered,
    );
    println!("  short alone:     {}", figures.alone);
    println!("  short with long: {}", figures.both);
    println!("  after the first wave: {}", figures.learned);
    Ok(figures)
}
