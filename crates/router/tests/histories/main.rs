//! Runs fleets of router processes under injected faults, records what callers,
//! operators and endpoints see, and checks these histories for violations of the
//! routers' guarantees. A seed determines the faults and the random choices of callers
//! and operators, but not the timing of processes and threads.
//!
//! `HISTORY_SEED=<seed>` runs a single seed. `HISTORY_LOG=info` shows the routers' log
//! lines.

mod checker_tests;
mod checks;
mod fleet;
mod history;
mod key_model;
mod plan;
mod run;

use {
    checks::{Violation, check},
    crossbeam::channel::unbounded,
    plan::RunPlan,
    std::{collections::BTreeMap, env, thread, time::Instant},
    strum::IntoEnumIterator,
};

// A multiple of the number of faults, so that each fault is planned first equally often.
const RUN_COUNT: u64 = 204;
// A run has at most 4 routers, so at most 32 router processes run at a time.
const CONCURRENT_RUNS: usize = 8;

/// Violations and counts of the run of one seed.
struct RunResult {
    seed: u64,
    /// Violations with their details; `None` if the run itself failed.
    failures: Vec<(Option<Violation>, String)>,
    calls: usize,
    /// Number of calls with a complete answer.
    answered: usize,
}

fn run_seed(seed: u64) -> RunResult {
    let plan = RunPlan::new(seed);
    match run::run(&plan) {
        Ok(history) => RunResult {
            seed,
            failures: check(&history).into_iter().map(|(v, detail)| (Some(v), detail)).collect(),
            calls: history.calls.len(),
            answered: history.calls.iter().filter(|call| call.answer.complete).count(),
        },
        Err(e) => {
            RunResult { seed, failures: vec![(None, format!("{e:#}"))], calls: 0, answered: 0 }
        }
    }
}

// Guards against requests that run twice, lost answers, answers to other requests, a
// `not_run` for a request that ran, a router that returns to an older configuration, new
// requests to an endpoint that left, and requests cut off at a planned stop.
#[test]
fn seeded_runs_show_no_violation() {
    let seeds: Vec<u64> = match env::var("HISTORY_SEED") {
        Ok(seed) => vec![seed.parse().expect("HISTORY_SEED is a number")],
        Err(_) => (0..RUN_COUNT).collect(),
    };
    let began = Instant::now();
    let (seed_sender, seed_queue) = unbounded();
    let (result_sender, results) = unbounded();
    for seed in &seeds {
        seed_sender.send(*seed).expect("queue is open");
    }
    drop(seed_sender);
    thread::scope(|scope| {
        for _ in 0..CONCURRENT_RUNS {
            let (seed_queue, result_sender) = (seed_queue.clone(), result_sender.clone());
            scope.spawn(move || {
                for seed in seed_queue {
                    result_sender.send(run_seed(seed)).expect("results are read");
                }
            });
        }
    });
    drop(result_sender);
    let results: Vec<RunResult> = results.into_iter().collect();
    let mut counts: BTreeMap<String, usize> =
        Violation::iter().map(|violation| (violation.to_string(), 0)).collect();
    for result in results.iter().filter(|result| !result.failures.is_empty()) {
        println!("{:?}", RunPlan::new(result.seed));
        for (violation, detail) in &result.failures {
            let name = violation.map_or("run_failed".to_owned(), |v| v.to_string());
            println!("seed {} {name}: {detail}", result.seed);
            *counts.entry(name).or_default() += 1;
        }
        println!("HISTORY_SEED={} cargo test --test histories seeded_runs", result.seed);
    }
    let calls: usize = results.iter().map(|result| result.calls).sum();
    let answered: usize = results.iter().map(|result| result.answered).sum();
    println!(
        "runs={} calls={calls} answered={answered} seconds={:.1} {counts:?}",
        results.len(),
        began.elapsed().as_secs_f64()
    );
    assert!(answered > 0, "no call was answered");
    assert!(results.iter().all(|result| result.failures.is_empty()), "violations: {counts:?}");
}
