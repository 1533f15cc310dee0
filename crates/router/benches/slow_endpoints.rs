//! A fifth of the engines is five times slower for 2 to 10 s at a time, in turns.
//!
//! Nothing is scaled in time. Load reports are 500 ms late. All policies get the same
//! slow spells. Extra work is counted at the engines: tokens generated and not
//! delivered, and executions beyond one for each request. Run: `cargo bench --bench slow_endpoints`.

use {
    mango_standins::{EngineOptions, expected_answer},
    mango_testkit::{
        BenchResult, ChatTurn, ENGINE_POOL, FleetOptions, LatencySummary, LocalFleet, PlannedTurn,
        TurnOutcome, run_open_loop_load,
    },
    mango_wire::{
        config::WorkClass,
        settings::{AdmissionSettings, Policy, Settings},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const SEED: u64 = 3;
const ROUTERS: usize = 4;
const ENGINES: usize = 10;
const SLOW_ENGINES: usize = 2;
const SLOWDOWN: f64 = 5.0;
const SPELL_S: std::ops::Range<f64> = 2.0..10.0;
const SLOTS: usize = 8;
const TOKENS: std::ops::RangeInclusive<u32> = 16..=32;
const PER_SECOND: f64 = 65.0;
const DEADLINE_MS: u32 = 10_000;
/// Start of the healthy span, which ends with the first spells, in seconds.
const HEALTHY_FROM: f64 = 0.8;
const SPELLS_FROM: f64 = 4.0;
const OWNER_END: f64 = 16.0;
const BASELINE_END: f64 = 11.0;

struct Figures {
    healthy: LatencySummary,
    slow: LatencySummary,
    extra_tokens: f64,
    extra_requests: f64,
    unanswered: usize,
    /// Complete answers whose text is not the right one.
    wrong: usize,
}

impl Figures {
    fn ratio(&self) -> f64 {
        self.slow.quantile_ms(0.99) / self.healthy.quantile_ms(0.99)
    }
}

fn main() -> anyhow::Result<()> {
    println!(
        "slow_endpoints: {ENGINES} engines x {SLOTS} slots, {SLOW_ENGINES} at a time x{SLOWDOWN} \
         slower, {ROUTERS} routers, no time scale"
    );
    let product = run("owner", adjust_owner, OWNER_END)?;
    let random = run("random", adjust_random, BASELINE_END)?;
    run("two_choices", adjust_two_choices, BASELINE_END)?;
    BenchResult {
        bench: "slow_endpoints".to_owned(),
        value: product.ratio(),
        baseline: random.ratio(),
        target: 1.3,
        unit: "p99 with slow engines / p99 without".to_owned(),
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

fn adjust_two_choices(settings: &mut Settings) {
    set_policy(settings, Policy::TwoChoices);
}

fn set_policy(settings: &mut Settings, policy: Policy) {
    settings.admission = Some(AdmissionSettings { policy, ..AdmissionSettings::default() });
}

fn load(end: f64) -> Vec<PlannedTurn> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut turns = Vec::new();
    let mut at = 0.0;
    while at < end {
        let message = format!("which valve is in appliance {}?", rng.random::<u32>());
        let team = ["north", "south"][rng.random_range(0..2)];
        let turn = ChatTurn::new(team, "question", &message, rng.random_range(TOKENS))
            .deadline_ms(DEADLINE_MS.into());
        turns.push(PlannedTurn { at: Duration::from_secs_f64(at), turn });
        at += -(1.0 - rng.random::<f64>()).ln() / PER_SECOND;
    }
    turns
}

/// Changes of the engines' speed in the order of time: seconds, engine, factor.
fn spells(end: f64) -> Vec<(f64, usize, f64)> {
    let mut rng = SmallRng::seed_from_u64(SEED + 1);
    let mut changes = Vec::new();
    // end of the spell and engine
    let mut slow: Vec<(f64, usize)> = Vec::new();
    let mut at = SPELLS_FROM;
    while at < end {
        let mut engine = rng.random_range(0..ENGINES);
        while slow.iter().any(|(_, e)| *e == engine) {
            engine = rng.random_range(0..ENGINES);
        }
        changes.push((at, engine, SLOWDOWN));
        slow.push((at + rng.random_range(SPELL_S), engine));
        if slow.len() < SLOW_ENGINES {
            continue;
        }
        slow.sort_by(|a, b| b.0.total_cmp(&a.0));
        if let Some((ended, engine)) = slow.pop() {
            changes.push((ended, engine, 1.0));
            at = ended;
        }
    }
    changes.retain(|(at, ..)| *at < end);
    changes
}

fn run(name: &str, adjust: fn(&mut Settings), end: f64) -> anyhow::Result<Figures> {
    let engine = |index| EngineOptions {
        name: format!("engine-{index}"),
        slots: SLOTS,
        ..EngineOptions::default()
    };
    let engines = (0..ENGINES).map(engine).collect();
    let options =
        FleetOptions { routers: ROUTERS, zones: 4, engines, adjust, ..Default::default() };
    let fleet = LocalFleet::spawn(options)?;
    let objects = fleet
        .objects(1.25)
        .work("question", true, WorkClass::Urgent, 24, DEADLINE_MS)
        .route("question", ENGINE_POOL, None)
        .team("north", 1.0, 10_000)
        .team("south", 1.0, 10_000)
        .build();
    // a busy machine makes the first try time out now and then
    fleet.apply(&objects).or_else(|_| fleet.apply(&objects))?;
    fleet.await_ready(Duration::from_secs(30))?;
    let started = Instant::now();
    let outcomes = thread::scope(|scope| {
        scope.spawn(|| {
            for (at, engine, factor) in spells(end) {
                let due = started + Duration::from_secs_f64(at);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                fleet.engines[engine].set_slowdown(factor);
            }
        });
        run_open_loop_load(&fleet.caller_addresses(), load(end))
    });
    let figures = figures(&fleet, &outcomes);
    println!(
        "{name}: p99 ratio {:.2}, extra work {:.2}% of tokens, {:.2}% of requests, unanswered {}, wrong answers {}",
        figures.ratio(),
        figures.extra_tokens * 100.0,
        figures.extra_requests * 100.0,
        figures.unanswered,
        figures.wrong,
    );
    println!("  healthy: {}", figures.healthy);
    println!("  slow:    {}", figures.slow);
    Ok(figures)
}

fn is_right(outcome: &TurnOutcome) -> bool {
    let turn = &outcome.planned.turn;
    outcome.reply.text == expected_answer(&turn.messages[0], turn.tokens)
}

fn figures(fleet: &LocalFleet, outcomes: &[TurnOutcome]) -> Figures {
    let times = |from: f64, to: f64| {
        let mut times = LatencySummary::default();
        let sent = outcomes.iter().filter(|o| (from..to).contains(&o.planned.at.as_secs_f64()));
        sent.filter(|o| o.reply.complete).for_each(|o| times.add(o.total));
        times
    };
    let executions: Vec<_> = fleet.engines.iter().flat_map(|e| e.executions()).collect();
    let generated: u32 = executions.iter().map(|e| e.tokens).sum();
    let delivered: u32 = outcomes.iter().map(|o| o.reply.tokens).sum();
    Figures {
        // an answer that ends within the spells is not a healthy one
        healthy: times(HEALTHY_FROM, SPELLS_FROM - 0.8),
        slow: times(SPELLS_FROM, f64::INFINITY),
        extra_tokens: f64::from(generated.saturating_sub(delivered)) / f64::from(delivered),
        extra_requests: executions.len() as f64 / outcomes.len() as f64 - 1.0,
        wrong: outcomes.iter().filter(|o| o.reply.complete && !is_right(o)).count(),
        unanswered: outcomes.iter().filter(|o| !o.reply.complete).count(),
    }
}
