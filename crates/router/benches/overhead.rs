//! Measures the latency that a router adds to a direct call of the engine, and the
//! processor time that it uses.
//!
//! Each client alternates between requests directly to an engine and requests through a
//! router, so that both kinds see the same load at the same time.

use {
    anyhow::{Result, ensure},
    mango_standins::EngineOptions,
    mango_testkit::{BenchResult, Caller, ChatTurn, LatencySummary, LineFit, ProcessFleet},
    mango_wire::config::WorkClass,
    std::{
        net::SocketAddr,
        path::Path,
        thread,
        time::{Duration, Instant},
    },
};

const ROUTERS: usize = 2;
const ENGINES: usize = 4;
const SLOTS: usize = 16;
/// Each client has one request in progress, so that half of all slots are in use.
const CLIENTS: usize = ENGINES * SLOTS / 2;
const LATENCY_TIME: Duration = Duration::from_secs(7);
const THROUGHPUT_TIME: Duration = Duration::from_secs(3);
const POOL: &str = "engines";

/// How the clients reach the engines.
#[derive(Clone, Copy, PartialEq)]
enum Access {
    Routed,
    /// Alternately direct and routed.
    Alternating,
}

#[derive(Clone, Copy)]
struct Load {
    access: Access,
    stream: bool,
    /// Length of each answer.
    tokens: u32,
    duration: Duration,
}

#[derive(Default)]
struct Measured {
    direct: LatencySummary,
    routed: LatencySummary,
    direct_first_token: LatencySummary,
    routed_first_token: LatencySummary,
    routed_requests: u64,
    routed_tokens: u64,
    /// Requests, direct or routed, without a complete answer.
    failures: u64,
    /// Processor time of all routers.
    cpu: Duration,
    elapsed: Duration,
}

impl Measured {
    fn merge(&mut self, other: &Self) {
        self.direct.merge(&other.direct);
        self.routed.merge(&other.routed);
        self.direct_first_token.merge(&other.direct_first_token);
        self.routed_first_token.merge(&other.routed_first_token);
        self.routed_requests += other.routed_requests;
        self.routed_tokens += other.routed_tokens;
        self.failures += other.failures;
    }

    /// Processor time of all routers in seconds, without what they use when idle.
    fn net_cpu_s(&self, idle_cores: f64) -> f64 {
        (self.cpu.as_secs_f64() - idle_cores * self.elapsed.as_secs_f64()).max(1e-9)
    }
}

fn main() -> Result<()> {
    let fleet = ProcessFleet::spawn(
        Path::new(env!("CARGO_BIN_EXE_mangobridge")),
        ROUTERS,
        (0..ENGINES).map(engine_options).collect(),
    )?;
    let objects = fleet
        .objects(POOL, 1.25)
        .team("team", 1.0, 1000)
        .work("chat", true, WorkClass::Normal, 16, 30_000)
        .route("chat", POOL, None)
        .build();
    fleet.apply(&objects, Duration::from_secs(15))?;
    let idle_cores = measure_idle_cores(&fleet)?;
    println!("idle: {:.2}% of a core per router", idle_cores / ROUTERS as f64 * 100.0);
    let alternating =
        Load { access: Access::Alternating, stream: true, tokens: 16, duration: LATENCY_TIME };
    // warm-up
    run(&fleet, Load { duration: Duration::from_secs(1), ..alternating })?;

    let streamed = run(&fleet, alternating)?;
    print_latencies("streamed, 16 tokens", &streamed);
    let whole = run(&fleet, Load { stream: false, ..alternating })?;
    print_latencies("whole, 16 tokens", &whole);

    let routed = Load { access: Access::Routed, duration: THROUGHPUT_TIME, ..alternating };
    for stream in [true, false] {
        let kind = if stream { "streamed" } else { "whole" };
        let points = [1, 16, 64, 256]
            .into_iter()
            .map(|tokens| {
                measure_throughput(&fleet, Load { stream, tokens, ..routed }, kind, idle_cores)
            })
            .collect::<Result<Vec<_>>>()?;
        let line = LineFit::new(&points);
        println!(
            "{kind}: {:.0} us per request + {:.1} us per token \
             (largest residual {:.0} us per request), {:.0} requests and {:.0} tokens \
             per core-second",
            line.intercept,
            line.slope,
            line.max_residual,
            1e6 / line.intercept,
            1e6 / line.slope
        );
    }
    let failures = streamed.failures + whole.failures;
    ensure!(failures == 0, "{failures} requests failed");
    let added = |q| {
        added_ms(&streamed.direct, &streamed.routed, q).max(added_ms(
            &whole.direct,
            &whole.routed,
            q,
        ))
    };
    println!(
        "added, larger of both: p50 {:.3} ms (goal 0.3), p99 {:.3} ms (goal 2)",
        added(0.5),
        added(0.99)
    );
    BenchResult {
        bench: "overhead".to_owned(),
        value: added(0.99),
        baseline: streamed.direct.quantile_ms(0.99),
        target: 2.0,
        unit: "ms".to_owned(),
    }
    .print();
    Ok(())
}

/// Options of an engine whose times do not depend on its load, so that direct and routed
/// requests differ only by the router.
fn engine_options(index: usize) -> EngineOptions {
    EngineOptions {
        name: format!("engine-{index}"),
        slots: SLOTS,
        step_ms: 5.0,
        batch_slope: 0.0,
        seed: index as u64 + 1,
        ..EngineOptions::default()
    }
}

/// Cores that all routers together use when idle.
fn measure_idle_cores(fleet: &ProcessFleet) -> Result<f64> {
    let (before, started) = (cpu_time(fleet)?, Instant::now());
    thread::sleep(Duration::from_secs(2));
    Ok((cpu_time(fleet)? - before).as_secs_f64() / started.elapsed().as_secs_f64())
}

/// Processor time that all routers have used since their start.
fn cpu_time(fleet: &ProcessFleet) -> Result<Duration> {
    fleet.routers.iter().map(|router| router.cpu_time()).sum()
}

fn run(fleet: &ProcessFleet, load: Load) -> Result<Measured> {
    let routers = fleet.caller_addresses();
    let engines: Vec<SocketAddr> = fleet.engines.iter().map(|e| e.address()).collect();
    let (before, started) = (cpu_time(fleet)?, Instant::now());
    let mut total = Measured::default();
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|index| {
                let (router, engine) = (routers[index % ROUTERS], engines[index % ENGINES]);
                scope.spawn(move || run_client(index, router, engine, load))
            })
            .collect();
        for client in clients {
            total.merge(&client.join().expect("the client thread panicked"));
        }
    });
    total.cpu = cpu_time(fleet)? - before;
    total.elapsed = started.elapsed();
    Ok(total)
}

fn run_client(index: usize, router: SocketAddr, engine: SocketAddr, load: Load) -> Measured {
    let caller = Caller::default();
    let mut measured = Measured::default();
    let end = Instant::now() + load.duration;
    let mut turn = 0;
    while Instant::now() < end {
        turn += 1;
        let message = format!("client {index} turn {turn}");
        let mut request = ChatTurn::new("team", "chat", &message, load.tokens);
        request.stream = load.stream;
        let routed_turn = (turn + index).is_multiple_of(2);
        let is_routed =
            load.access == Access::Routed || load.access == Access::Alternating && routed_turn;
        let reply = caller.chat(if is_routed { router } else { engine }, &request);
        if !reply.complete {
            measured.failures += 1;
            continue;
        }
        let (total, first_token) = match is_routed {
            true => (&mut measured.routed, &mut measured.routed_first_token),
            false => (&mut measured.direct, &mut measured.direct_first_token),
        };
        total.add(reply.total);
        if let Some(time) = reply.first_token {
            first_token.add(time);
        }
        if is_routed {
            measured.routed_requests += 1;
            measured.routed_tokens += u64::from(load.tokens);
        }
    }
    measured
}

fn print_latencies(name: &str, measured: &Measured) {
    println!("{name}, direct: {}", measured.direct);
    println!("{name}, routed: {}", measured.routed);
    println!(
        "{name}, added: p50 {:.3} ms, p99 {:.3} ms; to the first token p50 {:.3} ms, p99 {:.3} ms; \
         {} failures",
        added_ms(&measured.direct, &measured.routed, 0.5),
        added_ms(&measured.direct, &measured.routed, 0.99),
        added_ms(&measured.direct_first_token, &measured.routed_first_token, 0.5),
        added_ms(&measured.direct_first_token, &measured.routed_first_token, 0.99),
        measured.failures
    );
}

fn added_ms(direct: &LatencySummary, routed: &LatencySummary, quantile: f64) -> f64 {
    routed.quantile_ms(quantile) - direct.quantile_ms(quantile)
}

/// Measures routed throughput. Returns the tokens and the processor time in µs of one
/// request.
fn measure_throughput(
    fleet: &ProcessFleet,
    load: Load,
    kind: &str,
    idle_cores: f64,
) -> Result<(f64, f64)> {
    let measured = run(fleet, load)?;
    ensure!(measured.failures == 0, "{} requests failed", measured.failures);
    let cpu_s = measured.net_cpu_s(idle_cores);
    println!(
        "{kind}, {} tokens: {:.0} requests/s and {:.0} tokens/s per router, {:.1}% of a core \
         per router, {:.0} requests and {:.0} tokens per core-second",
        load.tokens,
        measured.routed_requests as f64 / measured.elapsed.as_secs_f64() / ROUTERS as f64,
        measured.routed_tokens as f64 / measured.elapsed.as_secs_f64() / ROUTERS as f64,
        cpu_s / measured.elapsed.as_secs_f64() / ROUTERS as f64 * 100.0,
        measured.routed_requests as f64 / cpu_s,
        measured.routed_tokens as f64 / cpu_s
    );
    Ok((f64::from(load.tokens), cpu_s * 1e6 / measured.routed_requests as f64))
}
