//! Demand rises to three times within a second; a few teams at once cause it.
//!
//! Nothing is scaled in time. The capacity is measured by saturating the engines
//! directly, with the same mix of requests. Run: `cargo bench --bench crest`.

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

const SEED: u64 = 7;
const ROUTERS: usize = 4;
const ENGINES: usize = 6;
const SLOTS: usize = 8;
const QUERY_MS: u32 = 2_500;
const DRAFT_MS: u32 = 30_000;
const QUERY_TOKENS: std::ops::RangeInclusive<u32> = 12..=36;
const DRAFT_TOKENS: u32 = 72;
const SMALL_TEAMS: usize = 5;
const LARGE_TEAMS: usize = 3;
/// Demand before the surge, as a share of the capacity.
const BASE: f64 = 0.5;
const SMALL_SHARE: f64 = 0.20;
const DRAFT_SHARE: f64 = 0.05;
/// Start and end of the surge, in seconds. Demand rises evenly over the first one.
const SURGE: (f64, f64) = (1.5, 6.5);
const END: f64 = 7.5;

struct Figures {
    share: f64,
    worst_second: f64,
    small_answered: f64,
    refusals_ms: LatencySummary,
    late_refusals: usize,
    lost: usize,
    drafts: (usize, usize),
}

fn main() -> anyhow::Result<()> {
    let capacity = capacity();
    println!("crest: {ENGINES} engines x {SLOTS} slots, {ROUTERS} routers, no time scale");
    println!("capacity: {capacity:.0} tokens/s, engines saturated directly");
    let product = run("owner", adjust_owner, capacity)?;
    let random = run("random", adjust_random, capacity)?;
    run("least_reported", adjust_least_reported, capacity)?;
    BenchResult {
        bench: "crest".to_owned(),
        value: product.share,
        baseline: random.share,
        target: 0.95,
        unit: "share of capacity".to_owned(),
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

fn adjust_least_reported(settings: &mut Settings) {
    set_policy(settings, Policy::LeastReported);
}

fn set_policy(settings: &mut Settings, policy: Policy) {
    settings.admission = Some(AdmissionSettings { policy, ..AdmissionSettings::default() });
}

fn engine_options() -> Vec<EngineOptions> {
    let named = |index| EngineOptions {
        name: format!("engine-{index}"),
        slots: SLOTS,
        ..EngineOptions::default()
    };
    (0..ENGINES).map(named).collect()
}

fn query(team: &str, rng: &mut SmallRng) -> ChatTurn {
    let message =
        format!("pay band of occupation {} in the district {}", rng.random::<u32>(), team);
    ChatTurn::new(team, "query", &message, rng.random_range(QUERY_TOKENS))
        .deadline_ms(QUERY_MS.into())
}

fn draft(team: &str, rng: &mut SmallRng) -> ChatTurn {
    let message = format!("draft the sector report number {}", rng.random::<u32>());
    ChatTurn::new(team, "draft", &message, DRAFT_TOKENS).deadline_ms(DRAFT_MS.into())
}

fn mean_query_tokens() -> f64 {
    f64::from(QUERY_TOKENS.start() + QUERY_TOKENS.end()) / 2.0
}

/// Tokens per second of the saturated engines.
fn capacity() -> f64 {
    let engines: Vec<_> =
        engine_options().into_iter().map(mango_standins::EngineStandin::spawn).collect();
    let addresses: Vec<SocketAddr> = engines.iter().map(|e| e.address()).collect();
    let started = Instant::now();
    let (from, to) = (Duration::from_secs(1), Duration::from_millis(3_500));
    let callers: Vec<_> = (0..ENGINES * SLOTS * 3 / 2)
        .map(|index| {
            let address = addresses[index % ENGINES];
            thread::spawn(move || saturate(address, index as u64, started, to))
        })
        .collect();
    let outcomes = callers.into_iter().flat_map(|c| c.join().unwrap_or_default());
    let tokens: f64 = outcomes.map(|o| o.tokens_within(from, to)).sum();
    tokens / (to - from).as_secs_f64()
}

fn saturate(address: SocketAddr, seed: u64, started: Instant, to: Duration) -> Vec<TurnOutcome> {
    let caller = Caller::default();
    let mut rng = SmallRng::seed_from_u64(SEED + seed);
    let draft_chance = DRAFT_SHARE
        / BASE
        / f64::from(DRAFT_TOKENS)
        / ((1.0 - DRAFT_SHARE / BASE) / mean_query_tokens());
    let mut outcomes = Vec::new();
    while started.elapsed() < to {
        let is_draft = rng.random::<f64>() < draft_chance;
        let turn = if is_draft { draft("direct", &mut rng) } else { query("direct", &mut rng) };
        let at = started.elapsed();
        let reply = caller.chat(address, &turn);
        let total = reply.total;
        outcomes.push(TurnOutcome { planned: PlannedTurn { at, turn }, reply, total });
    }
    outcomes
}

/// Demand of the large teams, as a share of the capacity.
fn large_share(at: f64) -> f64 {
    let others = SMALL_SHARE + DRAFT_SHARE;
    let ramp = (at - SURGE.0).clamp(0.0, 1.0);
    let factor = if at < SURGE.1 { 1.0 + 2.0 * ramp } else { 1.0 };
    BASE * factor - others
}

fn load(capacity: f64) -> Vec<PlannedTurn> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let queries = capacity / mean_query_tokens();
    let small = move |_: f64| queries * SMALL_SHARE;
    let large = move |at: f64| queries * large_share(at);
    let drafts = move |_: f64| capacity * DRAFT_SHARE / f64::from(DRAFT_TOKENS);
    let mut turns = Vec::new();
    arrivals(&mut turns, &mut rng, small, |rng| {
        let team = format!("small-{}", rng.random_range(0..SMALL_TEAMS));
        query(&team, rng)
    });
    arrivals(&mut turns, &mut rng, large, |rng| {
        let team = format!("large-{}", rng.random_range(0..LARGE_TEAMS));
        query(&team, rng)
    });
    arrivals(&mut turns, &mut rng, drafts, |rng| draft("reports", rng));
    turns
}

/// Poisson arrivals at a rate that changes with time.
fn arrivals(
    turns: &mut Vec<PlannedTurn>,
    rng: &mut SmallRng,
    rate: impl Fn(f64) -> f64,
    mut turn: impl FnMut(&mut SmallRng) -> ChatTurn,
) {
    let mut at = 0.0;
    while at < END {
        at += -(1.0 - rng.random::<f64>()).ln() / rate(at);
        turns.push(PlannedTurn { at: Duration::from_secs_f64(at), turn: turn(rng) });
    }
}

fn run(name: &str, adjust: fn(&mut Settings), capacity: f64) -> anyhow::Result<Figures> {
    let options = FleetOptions {
        routers: ROUTERS,
        zones: 3,
        engines: engine_options(),
        adjust,
        ..Default::default()
    };
    let fleet = LocalFleet::spawn(options)?;
    let mut objects = fleet
        .objects(1.25)
        .work("query", true, WorkClass::Normal, 24, QUERY_MS)
        .work("draft", true, WorkClass::MayWait, DRAFT_TOKENS, DRAFT_MS)
        .route("query", ENGINE_POOL, None)
        .route("draft", ENGINE_POOL, None)
        .team("reports", 1.0, 10_000);
    for index in 0..SMALL_TEAMS {
        objects = objects.team(&format!("small-{index}"), 1.0, 10_000);
    }
    for index in 0..LARGE_TEAMS {
        objects = objects.team(&format!("large-{index}"), 1.0, 10_000);
    }
    let objects = objects.build();
    // a busy machine makes the first try time out now and then
    fleet.apply(&objects).or_else(|_| fleet.apply(&objects))?;
    fleet.await_ready(Duration::from_secs(30))?;
    let outcomes = run_open_loop_load(&fleet.caller_addresses(), load(capacity));
    let figures = figures(&outcomes, capacity);
    println!(
        "{name}: completed in time {:.1}% of capacity in the surge (worst second {:.1}%), \
         well-behaved answered {:.2}%, refusals {} ({} over 100 ms), accepted and lost {}, \
         drafts finished {}/{}",
        figures.share * 100.0,
        figures.worst_second * 100.0,
        figures.small_answered * 100.0,
        figures.refusals_ms,
        figures.late_refusals,
        figures.lost,
        figures.drafts.0,
        figures.drafts.1,
    );
    print_reasons(&outcomes);
    Ok(figures)
}

fn print_reasons(outcomes: &[TurnOutcome]) {
    let mut reasons = std::collections::BTreeMap::new();
    for outcome in outcomes.iter().filter(|o| !o.is_in_time()) {
        let reply = &outcome.reply;
        let reason = reply.reason.as_deref().unwrap_or("late").to_owned();
        let verdict = reply.verdict.clone().unwrap_or_default();
        *reasons.entry((outcome.planned.turn.work.clone(), verdict, reason)).or_insert(0) += 1;
    }
    println!("  not in time: {reasons:?}");
    let is_late = |o: &&TurnOutcome| {
        o.reply.verdict.as_deref() == Some("not_run") && o.total > Duration::from_millis(100)
    };
    let late: Vec<_> = outcomes.iter().filter(is_late).collect();
    let small = late.iter().filter(|o| o.planned.turn.team.starts_with("small")).count();
    let at: Vec<_> =
        late.iter().map(|o| (o.planned.at.as_secs_f64() * 10.0).round() / 10.0).collect();
    println!("  refused late: {} of well-behaved teams; sent at {at:?} s", small);
}

fn figures(outcomes: &[TurnOutcome], capacity: f64) -> Figures {
    let completed = |from: f64, to: f64| {
        let (from, to) = (Duration::from_secs_f64(from), Duration::from_secs_f64(to));
        let in_time = outcomes.iter().filter(|o| o.is_in_time());
        in_time.map(|o| o.tokens_within(from, to)).sum::<f64>()
            / (to - from).as_secs_f64()
            / capacity
    };
    let full = (SURGE.0 + 1.0, SURGE.1);
    let seconds = (full.1 - full.0) as usize;
    let worst_second = (0..seconds)
        .map(|s| completed(full.0 + s as f64, full.0 + s as f64 + 1.0))
        .fold(f64::INFINITY, f64::min);
    let share_of = |select: &dyn Fn(&TurnOutcome) -> bool| {
        let selected: Vec<_> = outcomes.iter().filter(|o| select(o)).collect();
        (selected.iter().filter(|o| o.is_in_time()).count(), selected.len())
    };
    let small = share_of(&|o| o.planned.turn.team.starts_with("small"));
    let mut refusals_ms = LatencySummary::default();
    let is_refused = |o: &&TurnOutcome| o.reply.verdict.as_deref() == Some("not_run");
    let refused: Vec<_> = outcomes.iter().filter(is_refused).collect();
    refused.iter().for_each(|o| refusals_ms.add(o.total));
    Figures {
        share: completed(full.0, full.1),
        worst_second,
        small_answered: small.0 as f64 / small.1.max(1) as f64,
        late_refusals: refused.iter().filter(|o| o.total > Duration::from_millis(100)).count(),
        refusals_ms,
        lost: outcomes.iter().filter(|o| !o.reply.complete && !is_refused(o)).count(),
        drafts: share_of(&|o| o.planned.turn.work == "draft"),
    }
}
