//! Measures throughput and refusals in a surge: a few teams triple the total demand
//! within one second.
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
const QUERY_DEADLINE_MS: u32 = 2_500;
const DRAFT_DEADLINE_MS: u32 = 30_000;
const QUERY_TOKENS: std::ops::RangeInclusive<u32> = 12..=36;
const DRAFT_TOKENS: u32 = 72;
/// Teams with constant demand; the printed figures call them well-behaved.
const SMALL_TEAMS: usize = 5;
/// Teams whose demand rises in the surge.
const LARGE_TEAMS: usize = 3;
/// Total demand before the surge, as a share of the capacity.
const BASE_SHARE: f64 = 0.5;
/// Demand of the small teams, as a share of the capacity.
const SMALL_SHARE: f64 = 0.20;
/// Demand for drafts, as a share of the capacity.
const DRAFT_SHARE: f64 = 0.05;
/// Start and end of the surge. Demand rises linearly in its first second.
const SURGE_S: (f64, f64) = (1.5, 6.5);
/// End of the load.
const END_S: f64 = 7.5;

struct Figures {
    /// Tokens of answers in time during the full surge, as a share of the capacity.
    share: f64,
    /// As `share`, for the worst single second.
    worst_second_share: f64,
    /// Share of the small teams' requests that were answered in time.
    small_answered_share: f64,
    refusal_times: LatencySummary,
    /// Refusals that took more than 100 ms.
    late_refusals: usize,
    /// Requests that were neither refused nor answered completely.
    lost: usize,
    /// Drafts that were finished in time, and all drafts.
    drafts: (usize, usize),
}

fn main() -> anyhow::Result<()> {
    let capacity = measure_capacity();
    println!("crest: {ENGINES} engines x {SLOTS} slots, {ROUTERS} routers, no time scale");
    println!("capacity: {capacity:.0} tokens/s, engines saturated directly");
    let owner = run("owner", adjust_owner, capacity)?;
    let random = run("random", adjust_random, capacity)?;
    run("least_reported", adjust_least_reported, capacity)?;
    BenchResult {
        bench: "crest".to_owned(),
        value: owner.share,
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
        .deadline_ms(QUERY_DEADLINE_MS.into())
}

fn draft(team: &str, rng: &mut SmallRng) -> ChatTurn {
    let message = format!("draft the sector report number {}", rng.random::<u32>());
    ChatTurn::new(team, "draft", &message, DRAFT_TOKENS).deadline_ms(DRAFT_DEADLINE_MS.into())
}

fn mean_query_tokens() -> f64 {
    f64::from(QUERY_TOKENS.start() + QUERY_TOKENS.end()) / 2.0
}

/// Returns the tokens per second of the saturated engines.
fn measure_capacity() -> f64 {
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

/// Sends one request after the other to an engine until `to`.
fn saturate(address: SocketAddr, seed: u64, started: Instant, to: Duration) -> Vec<TurnOutcome> {
    let caller = Caller::default();
    let mut rng = SmallRng::seed_from_u64(SEED + seed);
    // ratio of drafts to queries before the surge; it is so small that it approximates the
    // probability of a draft
    let draft_chance = DRAFT_SHARE
        / BASE_SHARE
        / f64::from(DRAFT_TOKENS)
        / ((1.0 - DRAFT_SHARE / BASE_SHARE) / mean_query_tokens());
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

/// Demand of the large teams at a time in seconds, as a share of the capacity.
fn large_share(at: f64) -> f64 {
    let others = SMALL_SHARE + DRAFT_SHARE;
    let ramp = (at - SURGE_S.0).clamp(0.0, 1.0);
    let factor = if at < SURGE_S.1 { 1.0 + 2.0 * ramp } else { 1.0 };
    BASE_SHARE * factor - others
}

/// Plans all requests of a run, for a capacity in tokens per second.
fn plan_load(capacity: f64) -> Vec<PlannedTurn> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let queries = capacity / mean_query_tokens();
    let small = move |_: f64| queries * SMALL_SHARE;
    let large = move |at: f64| queries * large_share(at);
    let drafts = move |_: f64| capacity * DRAFT_SHARE / f64::from(DRAFT_TOKENS);
    let mut turns = Vec::new();
    add_arrivals(&mut turns, &mut rng, small, |rng| {
        let team = format!("small-{}", rng.random_range(0..SMALL_TEAMS));
        query(&team, rng)
    });
    add_arrivals(&mut turns, &mut rng, large, |rng| {
        let team = format!("large-{}", rng.random_range(0..LARGE_TEAMS));
        query(&team, rng)
    });
    add_arrivals(&mut turns, &mut rng, drafts, |rng| draft("reports", rng));
    turns
}

/// Adds Poisson arrivals at a rate that changes with time, in requests per second.
fn add_arrivals(
    turns: &mut Vec<PlannedTurn>,
    rng: &mut SmallRng,
    rate: impl Fn(f64) -> f64,
    mut turn: impl FnMut(&mut SmallRng) -> ChatTurn,
) {
    let mut at = 0.0;
    while at < END_S {
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
        .work("query", true, WorkClass::Normal, 24, QUERY_DEADLINE_MS)
        .work("draft", true, WorkClass::MayWait, DRAFT_TOKENS, DRAFT_DEADLINE_MS)
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
    // the first attempt may time out on a busy machine
    fleet.apply(&objects).or_else(|_| fleet.apply(&objects))?;
    fleet.await_ready(Duration::from_secs(30))?;
    let outcomes = run_open_loop_load(&fleet.caller_addresses(), plan_load(capacity));
    let figures = compute_figures(&outcomes, capacity);
    println!(
        "{name}: completed in time {:.1}% of capacity in the surge (worst second {:.1}%), \
         well-behaved answered {:.2}%, refusals {} ({} over 100 ms), accepted and lost {}, \
         drafts finished {}/{}",
        figures.share * 100.0,
        figures.worst_second_share * 100.0,
        figures.small_answered_share * 100.0,
        figures.refusal_times,
        figures.late_refusals,
        figures.lost,
        figures.drafts.0,
        figures.drafts.1,
    );
    print_failures(&outcomes);
    Ok(figures)
}

/// Prints why requests were not answered in time, and which refusals came late.
fn print_failures(outcomes: &[TurnOutcome]) {
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

fn compute_figures(outcomes: &[TurnOutcome], capacity: f64) -> Figures {
    // tokens per second of the answers in time, as a share of the capacity
    let completed_share = |from: f64, to: f64| {
        let (from, to) = (Duration::from_secs_f64(from), Duration::from_secs_f64(to));
        let in_time = outcomes.iter().filter(|o| o.is_in_time());
        in_time.map(|o| o.tokens_within(from, to)).sum::<f64>()
            / (to - from).as_secs_f64()
            / capacity
    };
    let full_surge = (SURGE_S.0 + 1.0, SURGE_S.1);
    let seconds = (full_surge.1 - full_surge.0) as usize;
    let worst_second_share = (0..seconds)
        .map(|s| completed_share(full_surge.0 + s as f64, full_surge.0 + s as f64 + 1.0))
        .fold(f64::INFINITY, f64::min);
    // answers in time and requests
    let count_in_time = |select: &dyn Fn(&TurnOutcome) -> bool| {
        let selected: Vec<_> = outcomes.iter().filter(|o| select(o)).collect();
        (selected.iter().filter(|o| o.is_in_time()).count(), selected.len())
    };
    let small = count_in_time(&|o| o.planned.turn.team.starts_with("small"));
    let mut refusal_times = LatencySummary::default();
    let is_refused = |o: &&TurnOutcome| o.reply.verdict.as_deref() == Some("not_run");
    let refused: Vec<_> = outcomes.iter().filter(is_refused).collect();
    refused.iter().for_each(|o| refusal_times.add(o.total));
    Figures {
        share: completed_share(full_surge.0, full_surge.1),
        worst_second_share,
        small_answered_share: small.0 as f64 / small.1.max(1) as f64,
        late_refusals: refused.iter().filter(|o| o.total > Duration::from_millis(100)).count(),
        refusal_times,
        lost: outcomes.iter().filter(|o| !o.reply.complete && !is_refused(o)).count(),
        drafts: count_in_time(&|o| o.planned.turn.work == "draft"),
    }
}
