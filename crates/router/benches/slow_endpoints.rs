//! Measures latency while a fifth of the engines is five times slower. Each slow
//! period lasts 2 to 10 s; when one ends, an engine chosen at random becomes slow.
//!
//! Nothing is scaled in time. Load reports are 500 ms old. The slow periods are the same
//! for all policies. Extra work is counted at the engines: tokens generated but not
//! delivered, and executions beyond one per request.
//! Run: `cargo bench --bench slow_endpoints`.

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
const SLOW_PERIOD_S: std::ops::Range<f64> = 2.0..10.0;
const SLOTS: usize = 8;
const ANSWER_TOKENS: std::ops::RangeInclusive<u32> = 16..=32;
const REQUESTS_PER_S: f64 = 65.0;
const DEADLINE_MS: u32 = 10_000;
/// Send time from which requests count as healthy, before any engine is slow.
const HEALTHY_FROM_S: f64 = 0.8;
/// Start of the first slow periods.
const SLOW_FROM_S: f64 = 4.0;
/// End of the load for the policy `owner`.
const OWNER_END_S: f64 = 16.0;
/// End of the load for the baselines.
const BASELINE_END_S: f64 = 11.0;

struct Figures {
    healthy: LatencySummary,
    /// Requests sent while some engines are slow.
    slow: LatencySummary,
    /// Tokens generated but not delivered, as a share of those delivered.
    extra_tokens_share: f64,
    /// Executions beyond one per request, as a share of the requests.
    extra_executions_share: f64,
    unanswered: usize,
    /// Complete answers with another text than expected.
    wrong_answers: usize,
}

impl Figures {
    fn p99_ratio(&self) -> f64 {
        self.slow.quantile_ms(0.99) / self.healthy.quantile_ms(0.99)
    }
}

fn main() -> anyhow::Result<()> {
    println!(
        "slow_endpoints: {ENGINES} engines x {SLOTS} slots, {SLOW_ENGINES} at a time x{SLOWDOWN} \
         slower, {ROUTERS} routers, no time scale"
    );
    let owner = run("owner", adjust_owner, OWNER_END_S)?;
    let random = run("random", adjust_random, BASELINE_END_S)?;
    run("two_choices", adjust_two_choices, BASELINE_END_S)?;
    BenchResult {
        bench: "slow_endpoints".to_owned(),
        value: owner.p99_ratio(),
        baseline: random.p99_ratio(),
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

/// Plans the requests of a run as Poisson arrivals until `end_s`.
fn plan_load(end_s: f64) -> Vec<PlannedTurn> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut turns = Vec::new();
    let mut at = 0.0;
    while at < end_s {
        let message = format!("which valve is in appliance {}?", rng.random::<u32>());
        let team = ["north", "south"][rng.random_range(0..2)];
        let turn = ChatTurn::new(team, "question", &message, rng.random_range(ANSWER_TOKENS))
            .deadline_ms(DEADLINE_MS.into());
        turns.push(PlannedTurn { at: Duration::from_secs_f64(at), turn });
        at += -(1.0 - rng.random::<f64>()).ln() / REQUESTS_PER_S;
    }
    turns
}

/// Changes of the engines' slowdown in the order of time: time in seconds, engine, factor.
fn slowdown_changes(end_s: f64) -> Vec<(f64, usize, f64)> {
    let mut rng = SmallRng::seed_from_u64(SEED + 1);
    let mut changes = Vec::new();
    // end of each current slow period, and its engine
    let mut slow: Vec<(f64, usize)> = Vec::new();
    let mut at = SLOW_FROM_S;
    while at < end_s {
        let mut engine = rng.random_range(0..ENGINES);
        while slow.iter().any(|(_, e)| *e == engine) {
            engine = rng.random_range(0..ENGINES);
        }
        changes.push((at, engine, SLOWDOWN));
        slow.push((at + rng.random_range(SLOW_PERIOD_S), engine));
        if slow.len() < SLOW_ENGINES {
            continue;
        }
        slow.sort_by(|a, b| b.0.total_cmp(&a.0));
        if let Some((ended, engine)) = slow.pop() {
            changes.push((ended, engine, 1.0));
            at = ended;
        }
    }
    changes.retain(|(at, ..)| *at < end_s);
    changes
}

fn run(name: &str, adjust: fn(&mut Settings), end_s: f64) -> anyhow::Result<Figures> {
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
    // the first attempt may time out on a busy machine
    fleet.apply(&objects).or_else(|_| fleet.apply(&objects))?;
    fleet.await_ready(Duration::from_secs(30))?;
    let started = Instant::now();
    let outcomes = thread::scope(|scope| {
        scope.spawn(|| {
            for (at, engine, factor) in slowdown_changes(end_s) {
                let due = started + Duration::from_secs_f64(at);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                fleet.engines[engine].set_slowdown(factor);
            }
        });
        run_open_loop_load(&fleet.caller_addresses(), plan_load(end_s))
    });
    let figures = compute_figures(&fleet, &outcomes);
    println!(
        "{name}: p99 ratio {:.2}, extra work {:.2}% of tokens, {:.2}% of requests, unanswered {}, wrong answers {}",
        figures.p99_ratio(),
        figures.extra_tokens_share * 100.0,
        figures.extra_executions_share * 100.0,
        figures.unanswered,
        figures.wrong_answers,
    );
    println!("  healthy: {}", figures.healthy);
    println!("  slow:    {}", figures.slow);
    Ok(figures)
}

fn is_correct(outcome: &TurnOutcome) -> bool {
    let turn = &outcome.planned.turn;
    outcome.reply.text == expected_answer(&turn.messages[0], turn.tokens)
}

fn compute_figures(fleet: &LocalFleet, outcomes: &[TurnOutcome]) -> Figures {
    let latencies = |from: f64, to: f64| {
        let mut latencies = LatencySummary::default();
        let sent = outcomes.iter().filter(|o| (from..to).contains(&o.planned.at.as_secs_f64()));
        sent.filter(|o| o.reply.complete).for_each(|o| latencies.add(o.total));
        latencies
    };
    let executions: Vec<_> = fleet.engines.iter().flat_map(|e| e.executions()).collect();
    let generated: u32 = executions.iter().map(|e| e.tokens).sum();
    let delivered: u32 = outcomes.iter().map(|o| o.reply.tokens).sum();
    Figures {
        // a request sent in the last 0.8 s may still run when engines get slow
        healthy: latencies(HEALTHY_FROM_S, SLOW_FROM_S - 0.8),
        slow: latencies(SLOW_FROM_S, f64::INFINITY),
        extra_tokens_share: f64::from(generated.saturating_sub(delivered)) / f64::from(delivered),
        extra_executions_share: executions.len() as f64 / outcomes.len() as f64 - 1.0,
        wrong_answers: outcomes.iter().filter(|o| o.reply.complete && !is_correct(o)).count(),
        unanswered: outcomes.iter().filter(|o| !o.reply.complete).count(),
    }
}
