//! Measures how a router's memory and processor time grow with chats, teams, endpoints,
//! peers, requests and configuration changes, for `docs/CAPACITY.md`. Each slope is fitted
//! to three or more sizes.

use {
    anyhow::{Context, Result, ensure},
    mango_standins::EngineOptions,
    mango_testkit::{
        BenchResult, Caller, ChatTurn, LineFit, ObjectsBuilder, ProcessFleet, engine_endpoint,
    },
    mango_wire::config::{Change, ConfigObject, WorkClass},
    mangobridge::bench_support::{ConfigSample, WarmChatSample},
    serde_json::json,
    std::{
        env, fs,
        hint::black_box,
        net::SocketAddr,
        path::Path,
        process::Command,
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

// Design size: the objects of the configuration, and the load of one host.
const TEAMS: usize = 24_000;
const MODELS: usize = 22;
const ENDPOINTS: usize = 950;
/// At peak load.
const CHATS_PER_HOST: f64 = 5_700.0;
const PEERS: f64 = 349.0;
/// 25 requests/s per host, each with 221 tokens at intervals of 78 ms.
const IN_FLIGHT_PER_HOST: f64 = 430.0;
const QUEUED_PER_HOST: f64 = 256.0;
const POOL: &str = "engines";
// environment variables that make this program measure one sample
const SAMPLE_KIND: &str = "CAPACITY_SAMPLE_KIND";
const SAMPLE_SIZE: &str = "CAPACITY_SAMPLE_SIZE";

fn main() -> Result<()> {
    if let Ok(kind) = env::var(SAMPLE_KIND) {
        return run_sample(&kind);
    }
    let chat = fit("memory per chat, B", measure_samples("chats", [100_000, 200_000, 400_000])?);
    let team = fit("memory per team, B", measure_samples("teams", [6_000, 12_000, 24_000])?);
    let endpoint =
        fit("memory per endpoint, B", measure_samples("endpoints", [1_900, 3_800, 7_600])?);
    measure_configuration()?;
    let peer = fit("memory per peer, B", measure_peers()?);
    let in_flight = fit("memory per request in flight, B", measure_requests(512, 1)?);
    let queued = fit("memory per queued request, B", measure_requests(1, 256)?);
    fit("processor time per change of configuration, us", measure_changes()?);
    let parts = [
        ("process and 1 peer", peer.value_at(1.0)),
        ("chats", chat.slope * CHATS_PER_HOST),
        ("teams", team.slope * TEAMS as f64),
        ("endpoints", endpoint.slope * ENDPOINTS as f64),
        ("peers", peer.slope * PEERS),
        ("requests in flight", in_flight.slope * IN_FLIGHT_PER_HOST),
        ("queued requests", queued.slope * QUEUED_PER_HOST),
    ];
    for (name, bytes) in parts {
        println!("design size, {name}: {:.2} MB", bytes / 1e6);
    }
    let total: f64 = parts.iter().map(|(_, bytes)| bytes / 1e6).sum();
    BenchResult {
        bench: "capacity".to_owned(),
        value: total,
        baseline: parts[0].1 / 1e6,
        target: 256.0,
        unit: "MB".to_owned(),
    }
    .print();
    Ok(())
}

/// Fits a line to the points and prints it.
fn fit(name: &str, points: Vec<(f64, f64)>) -> LineFit {
    let fit = LineFit::new(&points);
    let points: Vec<String> = points.iter().map(|(x, y)| format!("({x:.0}, {y:.0})")).collect();
    println!(
        "{name}: slope {:.2}, at 0 {:.0}, largest residual {:.0}; points {}",
        fit.slope,
        fit.intercept,
        fit.max_residual,
        points.join(" ")
    );
    fit
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> Result<f64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("/proc/self/status has no VmRSS line")?;
    Ok(line.trim().trim_end_matches(" kB").parse::<f64>()? * 1024.0)
}

/// Measures the resident memory of a new process for each size of a sample. In this process
/// the sample would reuse memory freed earlier, which would hide the growth.
fn measure_samples(kind: &str, sizes: [usize; 3]) -> Result<Vec<(f64, f64)>> {
    let point = |size: usize| {
        let output = Command::new(env::current_exe()?)
            .env(SAMPLE_KIND, kind)
            .env(SAMPLE_SIZE, size.to_string())
            .output()?;
        let bytes = String::from_utf8(output.stdout)?
            .trim()
            .parse()
            .context("the sample process printed no number")?;
        Ok((size as f64, bytes))
    };
    sizes.into_iter().map(point).collect()
}

/// Builds one sample and prints the resident memory, as the process of that sample.
fn run_sample(kind: &str) -> Result<()> {
    let size: usize = env::var(SAMPLE_SIZE)?.parse()?;
    let (warm, config) = match kind {
        "chats" => (Some(WarmChatSample::filled(size)), None),
        "teams" => (None, Some(ConfigSample::compile(config_objects(size, MODELS))?)),
        _ => (None, Some(ConfigSample::compile(config_objects(10, size))?)),
    };
    println!("{}", resident_bytes()?);
    black_box((&warm, &config));
    Ok(())
}

/// Objects of a configuration with the given numbers of teams and endpoints. Their ids
/// differ in many characters, so that few of their 32-bit keys collide.
fn config_objects(teams: usize, endpoints: usize) -> Vec<ConfigObject> {
    let address: SocketAddr = ([10, 0, 0, 1], 80).into();
    let mut objects = ObjectsBuilder::default();
    for model in 0..MODELS {
        let pool = format!("model-{model}");
        let work = format!("work-{model}");
        objects = objects.pool(&pool, 1.25).route(&work, &pool, None);
        objects = objects.work(&work, true, WorkClass::Normal, 200, 30_000);
    }
    for index in 0..endpoints {
        let pool = format!("model-{}", index % MODELS);
        objects = objects.endpoint(engine_endpoint(&format!("engine-{index}"), address, &pool, 16));
    }
    for index in 0..teams {
        objects = objects.team(&format!("team-{index}"), 1.0, 100);
    }
    objects.build()
}

/// Measures the times to read the configuration of the design size, to decide on a change
/// of it and to place a request.
fn measure_configuration() -> Result<()> {
    let objects = config_objects(TEAMS, ENDPOINTS);
    let bytes = serde_json::to_vec(&objects)?;
    let started = Instant::now();
    let objects: Vec<ConfigObject> = serde_json::from_slice(&bytes)?;
    let config = ConfigSample::compile(objects)?;
    println!(
        "configuration of {TEAMS} teams and {MODELS} models, {:.1} MB of JSON: read in {:.0} ms",
        bytes.len() as f64 / 1e6,
        started.elapsed().as_secs_f64() * 1e3
    );
    let change = |index| team_change(1, &format!("team-{index}"));
    let started = Instant::now();
    (0..20).try_for_each(|index| config.decide(&change(index)))?;
    println!("one change of it: {:.0} us", started.elapsed().as_secs_f64() * 1e6 / 20.0);
    let ids: Vec<_> = (0..20_000).map(|n| (format!("team-{}", n % TEAMS), n % MODELS)).collect();
    let started = Instant::now();
    for (team, model) in &ids {
        ensure!(
            config.place(team, &format!("work-{model}"), "chat")? == 1,
            "the work is not placed in exactly one pool"
        );
    }
    println!("one placement: {:.2} us", started.elapsed().as_secs_f64() * 1e6 / 20_000.0);
    Ok(())
}

/// Change of a team's weight.
fn team_change(based_on: u64, team: &str) -> Change {
    let put = ObjectsBuilder::default().team(team, 2.0, 100).build();
    Change {
        author: "bench".to_owned(),
        based_on,
        change_id: format!("change-{team}-{based_on}"),
        delete: Vec::new(),
        made_at_ms: 0,
        put,
    }
}

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_mangobridge"))
}

/// Measures the mean resident memory of a router by the number of its peers.
fn measure_peers() -> Result<Vec<(f64, f64)>> {
    let point = |routers: usize| {
        let fleet = ProcessFleet::spawn(binary(), routers, Vec::new())?;
        let objects = ObjectsBuilder::default().team("team", 1.0, 1).build();
        fleet.apply(&objects, Duration::from_secs(20))?;
        thread::sleep(Duration::from_secs(1));
        let bytes: u64 = fleet.routers.iter().map(|r| r.resident_bytes()).sum::<Result<u64>>()?;
        Ok((routers as f64 - 1.0, bytes as f64 / routers as f64))
    };
    [2, 6, 16].into_iter().map(point).collect()
}

/// Measures the resident memory of one router by the number of requests that its callers
/// wait for.
fn measure_requests(slots: usize, tokens: u32) -> Result<Vec<(f64, f64)>> {
    let engine = EngineOptions { slots, step_ms: 60_000.0, ..EngineOptions::default() };
    let fleet = ProcessFleet::spawn(binary(), 1, vec![engine])?;
    let objects = fleet
        .objects(POOL, 1.25)
        .team("team", 1.0, 1000)
        .work("chat", true, WorkClass::Normal, tokens, 60_000)
        .route("chat", POOL, None)
        .build();
    fleet.apply(&objects, Duration::from_secs(10))?;
    let (address, router) = (fleet.caller_addresses()[0], &fleet.routers[0]);
    let mut points = vec![(0.0, router.resident_bytes()? as f64)];
    let mut started = 0;
    for count in [60, 120, 240] {
        for index in started..count {
            // ends when the router is stopped
            thread::spawn(move || {
                let turn = ChatTurn::new("team", "chat", &format!("request {index}"), tokens);
                Caller::default().chat(address, &turn.deadline_ms(60_000))
            });
        }
        started = count;
        thread::sleep(Duration::from_millis(1000));
        points.push((count as f64, router.resident_bytes()? as f64));
    }
    Ok(points)
}

/// Measures the processor time of one router in µs per second by configuration changes per
/// second.
fn measure_changes() -> Result<Vec<(f64, f64)>> {
    let fleet = ProcessFleet::spawn(binary(), 1, Vec::new())?;
    let objects = ObjectsBuilder::default().team("team", 1.0, 1).build();
    fleet.apply(&objects, Duration::from_secs(10))?;
    let mut points = Vec::new();
    for per_second in [0_u32, 100, 200, 400] {
        let stop = AtomicBool::new(false);
        thread::scope(|scope| {
            scope.spawn(|| append_changes(&fleet, per_second, &stop));
            let (before, started) = (fleet.routers[0].cpu_time()?, Instant::now());
            thread::sleep(Duration::from_millis(1500));
            let used = fleet.routers[0].cpu_time()? - before;
            let us = used.as_secs_f64() * 1e6 / started.elapsed().as_secs_f64();
            points.push((f64::from(per_second), us));
            stop.store(true, Ordering::Relaxed);
            anyhow::Ok(())
        })?;
    }
    Ok(points)
}

/// Appends configuration changes to the log at a constant rate.
fn append_changes(fleet: &ProcessFleet, per_second: u32, stop: &AtomicBool) {
    if per_second == 0 {
        return;
    }
    // the last record of the configuration log is always an accepted change in this bench
    let mut version = fleet.platform.records("config").last().map_or(0, |record| record.offset);
    let started = Instant::now();
    for index in 1.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let change = team_change(version, &format!("team-{}", index % 50));
        version = fleet.platform.append("config", &json!({ "change": change }).to_string());
        thread::sleep(
            (Duration::from_secs(1) / per_second * index).saturating_sub(started.elapsed()),
        );
    }
}
