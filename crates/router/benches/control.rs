//! Measures control traffic by size of the fleet: the bytes between processes that are not
//! callers' data.

use {
    anyhow::{Context, Result},
    mango_standins::EngineOptions,
    mango_testkit::{BenchResult, Caller, ChatTurn, LineFit, ProcessFleet, operator_get},
    mango_wire::config::WorkClass,
    std::{
        collections::BTreeMap,
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        path::Path,
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Numbers of routers that are measured.
const FLEET_SIZES: [usize; 4] = [5, 10, 20, 40];
/// Number of routers whose traffic is the result of the bench.
const REPORTED_FLEET_SIZE: f64 = 20.0;
const ENGINES: usize = 12;
const CLIENTS_PER_ROUTER: usize = 3;
/// Each client starts at most one request per interval.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);
const WARM_UP: Duration = Duration::from_millis(1500);
const MEASURED: Duration = Duration::from_secs(3);
const POOL: &str = "engines";

/// Design size: hosts and engines of one region, and requests per host.
const DESIGN_HOSTS: f64 = 175.0;
const DESIGN_ENGINES: f64 = 475.0;
/// One pool for each of the 22 models, with engines in both regions.
const DESIGN_POOLS: f64 = 22.0;
const DESIGN_REQUESTS_PER_S: f64 = 25.0;
/// Default of the setting `membership.gossip_bytes_per_s`.
const GOSSIP_BUDGET_BYTES_PER_S: f64 = 5000.0;
const GOAL_DESIGN_BYTES_PER_S: f64 = 12_288.0;

/// Bytes of HTTP/2 framing and length prefix around one message, in the computed baseline.
const MESSAGE_FRAMING_BYTES: f64 = 13.0;
/// Size of the load of one engine in a gossip message, in the computed baseline.
const GOSSIP_ENTRY_BYTES: f64 = 18.0;

/// Values of the routers' counters, summed over the routers, by name and labels.
type Counters = BTreeMap<String, f64>;

/// Mean traffic and resource use of one router in a fleet of a given size.
struct Sample {
    routers: f64,
    sent_bytes_per_s: f64,
    received_bytes_per_s: f64,
    log_sent_bytes_per_s: f64,
    log_received_bytes_per_s: f64,
    /// Message bytes per second by kind of message, without HTTP/2.
    sent_by_kind: BTreeMap<String, f64>,
    requests_per_s: f64,
    cpu_percent: f64,
    resident_mb: f64,
}

fn main() -> Result<()> {
    let samples = FLEET_SIZES.into_iter().map(measure).collect::<Result<Vec<_>>>()?;
    let sent = LineFit::new(&by_routers(&samples, |s| s.sent_bytes_per_s));
    let received = LineFit::new(&by_routers(&samples, |s| s.received_bytes_per_s));
    let cpu = LineFit::new(&by_routers(&samples, |s| s.cpu_percent));
    let memory = LineFit::new(&by_routers(&samples, |s| s.resident_mb));
    for (name, fit) in
        [("sent B/s", sent), ("received B/s", received), ("% of a core", cpu), ("MB", memory)]
    {
        println!(
            "{name} per router: {:.2} + {:.3} per router, largest residual {:.2}",
            fit.intercept, fit.slope, fit.max_residual
        );
    }
    extrapolate(&samples);
    let reported = samples
        .iter()
        .find(|s| s.routers == REPORTED_FLEET_SIZE)
        .context("the reported fleet size was not measured")?;
    BenchResult {
        bench: "control".to_owned(),
        value: reported.sent_bytes_per_s,
        baseline: full_mesh_bytes_per_s(reported),
        target: 4096.0,
        unit: "bytes/s per router".to_owned(),
    }
    .print();
    Ok(())
}

fn by_routers(samples: &[Sample], value: impl Fn(&Sample) -> f64) -> Vec<(f64, f64)> {
    samples.iter().map(|s| (s.routers, value(s))).collect()
}

/// Computes the bytes that a router would send per second in a full mesh: a heartbeat of
/// the measured size to every other router every 250 ms, and the loads of all engines to
/// three others every 200 ms. The traffic for admission permits and the log is as measured.
fn full_mesh_bytes_per_s(sample: &Sample) -> f64 {
    let sent = |kind: &str| sample.sent_by_kind.get(kind).copied().unwrap_or(0.0);
    // each router sends a heartbeat to 4 others 4 times per second
    let heartbeat_bytes = sent("heartbeat") / 16.0;
    let heartbeats = (sample.routers - 1.0) * 4.0 * (heartbeat_bytes + MESSAGE_FRAMING_BYTES);
    let gossip = 15.0 * (ENGINES as f64 * GOSSIP_ENTRY_BYTES + MESSAGE_FRAMING_BYTES);
    sample.sent_bytes_per_s - sent("heartbeat") - sent("load_gossip") + heartbeats + gossip
}

/// Extrapolates the control traffic from the largest measured fleet to the design size.
/// The traffic for heartbeats and the log does not grow with the fleet. That for admission
/// permits grows with the requests, and gossip grows with the engines of a pool in the
/// region, up to its budget.
fn extrapolate(samples: &[Sample]) {
    let Some(sample) = samples.last() else { return };
    let gossip = sample.sent_by_kind.get("load_gossip").copied().unwrap_or(0.0);
    let heartbeats = sample.sent_by_kind.get("heartbeat").copied().unwrap_or(0.0);
    let messages: f64 = sample.sent_by_kind.values().sum();
    let peer = sample.sent_bytes_per_s - sample.log_sent_bytes_per_s;
    // bytes on the connections per message byte
    let framing = peer / messages.max(1.0);
    // share of the requests whose endpoint is owned by another host
    let remote_share = |hosts: f64| (hosts - 1.0) / hosts;
    let permits = (messages - gossip - heartbeats) / sample.requests_per_s.max(1e-9)
        * DESIGN_REQUESTS_PER_S
        * remote_share(DESIGN_HOSTS)
        / remote_share(sample.routers);
    // an owner's reports reach each other owner of its pool once; this is the expected
    // number of routers that own at least one engine
    let owners = sample.routers * (1.0 - (1.0 - 1.0 / sample.routers).powi(ENGINES as i32));
    let pair_bytes_per_s = framing * gossip * sample.routers / (ENGINES as f64 * (owners - 1.0));
    let pool_engines = DESIGN_ENGINES / DESIGN_POOLS;
    let pairs = DESIGN_ENGINES / DESIGN_HOSTS * (pool_engines - 1.0);
    let limited_gossip = (pair_bytes_per_s * pairs).min(GOSSIP_BUDGET_BYTES_PER_S);
    println!(
        "design size, gossip: {pair_bytes_per_s:.0} B/s per pair of owners, \
         {pairs:.0} pairs per host, {:.0} B/s at the shortest interval, \
         interval stretched {:.1} times",
        pair_bytes_per_s * pairs,
        pair_bytes_per_s * pairs / limited_gossip
    );
    let total = framing * (permits + heartbeats) + limited_gossip + sample.log_sent_bytes_per_s;
    println!(
        "design size, sent per host: permits {:.0} + heartbeats {:.0} + gossip {:.0} + log {:.0} \
         = {total:.0} B/s (goal {GOAL_DESIGN_BYTES_PER_S:.0}); framing factor {framing:.2}",
        framing * permits,
        framing * heartbeats,
        limited_gossip,
        sample.log_sent_bytes_per_s
    );
}

fn measure(routers: usize) -> Result<Sample> {
    let engine = |index: usize| EngineOptions {
        name: format!("engine-{index}"),
        seed: index as u64 + 1,
        ..EngineOptions::default()
    };
    let binary = Path::new(env!("CARGO_BIN_EXE_mangobridge"));
    let fleet = ProcessFleet::spawn(binary, routers, (0..ENGINES).map(engine).collect())?;
    let objects = fleet
        .objects(POOL, 1.25)
        .team("team", 1.0, 1000)
        .work("chat", true, WorkClass::Normal, 32, 30_000)
        .route("chat", POOL, None)
        .build();
    fleet.apply(&objects, Duration::from_secs(20))?;
    let head_bytes = log_head_bytes(&fleet)?;
    let (stop, completed) = (AtomicBool::new(false), AtomicU64::new(0));
    thread::scope(|scope| {
        for (router, address) in fleet.caller_addresses().into_iter().enumerate() {
            for client in 0..CLIENTS_PER_ROUTER {
                let (stop, completed) = (&stop, &completed);
                let seed = router * CLIENTS_PER_ROUTER + client;
                scope.spawn(move || run_client(address, seed, stop, completed));
            }
        }
        let sample = observe(&fleet, &completed, head_bytes);
        stop.store(true, Ordering::Relaxed);
        sample
    })
}

/// Measures and prints the traffic under load. `head_bytes` are the sizes of the heads of a
/// log request and of its response.
fn observe(fleet: &ProcessFleet, completed: &AtomicU64, head_bytes: (f64, f64)) -> Result<Sample> {
    thread::sleep(WARM_UP);
    let started = Instant::now();
    let (before, cpu_before) = (read_counters(fleet)?, cpu_time(fleet)?);
    let completed_before = completed.load(Ordering::Relaxed);
    thread::sleep(MEASURED);
    let (after, cpu_after) = (read_counters(fleet)?, cpu_time(fleet)?);
    let completed = completed.load(Ordering::Relaxed) - completed_before;
    // from a sum over the routers to the mean per router and second
    let scale = 1.0 / (started.elapsed().as_secs_f64() * fleet.routers.len() as f64);
    let rate = |name: &str| {
        let value = |counters: &Counters| counters.get(name).copied().unwrap_or(0.0);
        (value(&after) - value(&before)) * scale
    };
    let calls_per_s = rate("log_reads_total") + rate("log_appends_total");
    let log_sent_bytes_per_s = rate("log_sent_bytes_total") + calls_per_s * head_bytes.0;
    let log_received_bytes_per_s = rate("log_received_bytes_total") + calls_per_s * head_bytes.1;
    let kind = |name: &str| {
        let rest = name.strip_prefix("peer_sent_message_bytes_total{kind=\"")?;
        Some(rest.trim_end_matches("\"}").to_owned())
    };
    let sent_by_kind: BTreeMap<String, f64> = after
        .keys()
        .filter_map(|name| Some((kind(name)?, rate(name))))
        .filter(|(_, bytes)| *bytes > 0.0)
        .collect();
    let resident: u64 = fleet.routers.iter().map(|r| r.resident_bytes()).sum::<Result<u64>>()?;
    let sample = Sample {
        routers: fleet.routers.len() as f64,
        sent_bytes_per_s: rate("peer_sent_bytes_total") + log_sent_bytes_per_s,
        received_bytes_per_s: rate("peer_received_bytes_total") + log_received_bytes_per_s,
        log_sent_bytes_per_s,
        log_received_bytes_per_s,
        requests_per_s: completed as f64 * scale,
        cpu_percent: (cpu_after - cpu_before).as_secs_f64() * scale * 100.0,
        resident_mb: resident as f64 / fleet.routers.len() as f64 / 1e6,
        sent_by_kind,
    };
    println!(
        "{} routers: sent {:.0} B/s (log {:.0}), received {:.0} B/s (log {:.0}), {:.2} requests/s, \
         {:.2}% of a core, {:.1} MB resident, per router",
        sample.routers,
        sample.sent_bytes_per_s,
        sample.log_sent_bytes_per_s,
        sample.received_bytes_per_s,
        sample.log_received_bytes_per_s,
        sample.requests_per_s,
        sample.cpu_percent,
        sample.resident_mb
    );
    let kinds: Vec<String> =
        sample.sent_by_kind.iter().map(|(kind, bytes)| format!("{kind} {bytes:.0}")).collect();
    println!("  message bytes sent, without HTTP/2: {}", kinds.join(", "));
    Ok(sample)
}

/// Sends one request per interval through a router and counts the complete answers.
fn run_client(address: SocketAddr, seed: usize, stop: &AtomicBool, completed: &AtomicU64) {
    let caller = Caller::default();
    thread::sleep(REQUEST_INTERVAL.mul_f64((seed % 97) as f64 / 97.0));
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        let started = Instant::now();
        turn += 1;
        let request = ChatTurn::new("team", "chat", &format!("client {seed} turn {turn}"), 32)
            .chat(&format!("chat-{seed}"));
        if caller.chat(address, &request).complete {
            completed.fetch_add(1, Ordering::Relaxed);
        }
        thread::sleep(REQUEST_INTERVAL.saturating_sub(started.elapsed()));
    }
}

/// Reads the metrics of all routers.
fn read_counters(fleet: &ProcessFleet) -> Result<Counters> {
    let mut sums = Counters::new();
    for router in &fleet.routers {
        let text = operator_get(router.operator_address(), "/metrics")
            .or_else(|_| operator_get(router.operator_address(), "/metrics"))?;
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            if let Some((name, value)) = line.rsplit_once(' ') {
                let name = name.trim_start_matches("mangobridge_").to_owned();
                *sums.entry(name).or_default() += value.parse::<f64>().unwrap_or(0.0);
            }
        }
    }
    Ok(sums)
}

/// Processor time that all routers have used since their start.
fn cpu_time(fleet: &ProcessFleet) -> Result<Duration> {
    fleet.routers.iter().map(|router| router.cpu_time()).sum()
}

/// Returns the sizes of the heads of a log read request and of its response, which the
/// routers' metrics leave out.
fn log_head_bytes(fleet: &ProcessFleet) -> Result<(f64, f64)> {
    let path = "/streams/config/records?from=100&wait_ms=250";
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let url = format!("http://{}{path}", listener.local_addr()?);
    let client = thread::spawn(move || drop(ureq::get(url).call()));
    let (mut accepted, _) = listener.accept()?;
    let request = read_head(&mut accepted)?;
    drop(accepted);
    client.join().ok().context("the client thread panicked")?;
    let url = fleet.platform.log_url();
    let rest = url.trim_start_matches("http://");
    let (address, prefix) = rest.split_once('/').unwrap_or((rest, ""));
    let mut stream = TcpStream::connect(address)?;
    let slash = if prefix.is_empty() { "" } else { "/" };
    write!(stream, "GET {slash}{prefix}{path} HTTP/1.1\r\nhost: {address}\r\n\r\n")?;
    let response = read_head(&mut stream)?;
    Ok((request as f64, response as f64))
}

/// Reads the head of an HTTP message and returns its size.
fn read_head(stream: &mut TcpStream) -> Result<usize> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(head.len())
}
