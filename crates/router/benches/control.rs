//! Bytes between processes that are not a caller's data, by size of the fleet.

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

const SIZES: [usize; 4] = [5, 10, 20, 40];
const REPORTED_SIZE: f64 = 20.0;
const ENGINES: usize = 12;
const CLIENTS_PER_ROUTER: usize = 3;
/// Each client starts one request in this time.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);
const WARM_UP: Duration = Duration::from_millis(1500);
const MEASURED: Duration = Duration::from_secs(3);
const POOL: &str = "engines";

/// Size to design for: hosts and engines of one region, and requests per host.
const DESIGN_HOSTS: f64 = 175.0;
const DESIGN_ENGINES: f64 = 475.0;
/// One pool for each of the 22 models, with engines in both regions.
const DESIGN_POOLS: f64 = 22.0;
const DESIGN_REQUESTS_PER_S: f64 = 25.0;
/// Default of `gossip_bytes_per_s`.
const GOSSIP_BUDGET_BYTES_PER_S: f64 = 5000.0;
const GOAL_DESIGN_BYTES_PER_S: f64 = 12_288.0;

/// HTTP/2 and length prefix around one message, for the baseline.
const MESSAGE_FRAMING_BYTES: f64 = 13.0;
const GOSSIP_ENTRY_BYTES: f64 = 18.0;

type Counters = BTreeMap<String, f64>;

/// Rates of one router, in bytes per second where nothing else is said.
struct Point {
    routers: f64,
    sent: f64,
    received: f64,
    log_sent: f64,
    log_received: f64,
    sent_by_kind: BTreeMap<String, f64>,
    requests: f64,
    cpu_percent: f64,
    resident_mb: f64,
}

fn main() -> Result<()> {
    let points = SIZES.into_iter().map(measure).collect::<Result<Vec<_>>>()?;
    let sent = LineFit::new(&pairs(&points, |p| p.sent));
    let received = LineFit::new(&pairs(&points, |p| p.received));
    let cpu = LineFit::new(&pairs(&points, |p| p.cpu_percent));
    let memory = LineFit::new(&pairs(&points, |p| p.resident_mb));
    for (name, fit) in
        [("sent B/s", sent), ("received B/s", received), ("% of a core", cpu), ("MB", memory)]
    {
        println!(
            "{name} per router: {:.2} + {:.3} per router, largest residual {:.2}",
            fit.intercept, fit.slope, fit.residual
        );
    }
    extrapolate(&points);
    let reported = points.iter().find(|p| p.routers == REPORTED_SIZE).context("no such size")?;
    BenchResult {
        bench: "control".to_owned(),
        value: reported.sent,
        baseline: full_mesh(reported),
        target: 4096.0,
        unit: "bytes/s per router".to_owned(),
    }
    .print();
    Ok(())
}

fn pairs(points: &[Point], value: impl Fn(&Point) -> f64) -> Vec<(f64, f64)> {
    points.iter().map(|p| (p.routers, value(p))).collect()
}

/// Computed: a heartbeat of the measured size to every other router every 250 ms,
/// and the loads of all engines to three others every 200 ms. Permits and log as measured.
fn full_mesh(point: &Point) -> f64 {
    let kind = |name: &str| point.sent_by_kind.get(name).copied().unwrap_or(0.0);
    let heartbeat = kind("heartbeat") / 16.0;
    let heartbeats = (point.routers - 1.0) * 4.0 * (heartbeat + MESSAGE_FRAMING_BYTES);
    let gossip = 15.0 * (ENGINES as f64 * GOSSIP_ENTRY_BYTES + MESSAGE_FRAMING_BYTES);
    point.sent - kind("heartbeat") - kind("load_gossip") + heartbeats + gossip
}

/// Control traffic at the design size. Heartbeats and log do not grow with the fleet,
/// permits grow with the requests, and gossip grows with the engines of a pool in the region,
/// up to its budget.
fn extrapolate(points: &[Point]) {
    let Some(point) = points.last() else { return };
    let gossip = point.sent_by_kind.get("load_gossip").copied().unwrap_or(0.0);
    let heartbeats = point.sent_by_kind.get("heartbeat").copied().unwrap_or(0.0);
    let messages: f64 = point.sent_by_kind.values().sum();
    let peer = point.sent - point.log_sent;
    let framing = peer / messages.max(1.0);
    let remote = |hosts: f64| (hosts - 1.0) / hosts;
    let permits = (messages - gossip - heartbeats) / point.requests.max(1e-9)
        * DESIGN_REQUESTS_PER_S
        * remote(DESIGN_HOSTS)
        / remote(point.routers);
    // an owner's reports reach the other owners of its pool once each
    let owners = point.routers * (1.0 - (1.0 - 1.0 / point.routers).powi(ENGINES as i32));
    let pair = framing * gossip * point.routers / (ENGINES as f64 * (owners - 1.0));
    let pool_engines = DESIGN_ENGINES / DESIGN_POOLS;
    let pairs = DESIGN_ENGINES / DESIGN_HOSTS * (pool_engines - 1.0);
    let news = (pair * pairs).min(GOSSIP_BUDGET_BYTES_PER_S);
    println!(
        "design size, gossip: {pair:.0} B/s per pair of owners, {pairs:.0} pairs per host, \
         {:.0} B/s at the shortest interval, interval stretched {:.1} times",
        pair * pairs,
        pair * pairs / news
    );
    let total = framing * (permits + heartbeats) + news + point.log_sent;
    println!(
        "design size, sent per host: permits {:.0} + heartbeats {:.0} + gossip {:.0} + log {:.0} \
         = {total:.0} B/s (goal {GOAL_DESIGN_BYTES_PER_S:.0}); framing factor {framing:.2}",
        framing * permits,
        framing * heartbeats,
        news,
        point.log_sent
    );
}

fn measure(routers: usize) -> Result<Point> {
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
    let heads = log_heads(&fleet)?;
    let (stop, done) = (AtomicBool::new(false), AtomicU64::new(0));
    thread::scope(|scope| {
        for (router, address) in fleet.caller_addresses().into_iter().enumerate() {
            for client in 0..CLIENTS_PER_ROUTER {
                let (stop, done) = (&stop, &done);
                let seed = router * CLIENTS_PER_ROUTER + client;
                scope.spawn(move || run_client(address, seed, stop, done));
            }
        }
        let point = observe(&fleet, &done, heads);
        stop.store(true, Ordering::Relaxed);
        point
    })
}

fn observe(fleet: &ProcessFleet, done: &AtomicU64, heads: (f64, f64)) -> Result<Point> {
    thread::sleep(WARM_UP);
    let started = Instant::now();
    let (before, cpu_before) = (counters(fleet)?, cpu(fleet)?);
    let done_before = done.load(Ordering::Relaxed);
    thread::sleep(MEASURED);
    let (after, cpu_after) = (counters(fleet)?, cpu(fleet)?);
    let done = done.load(Ordering::Relaxed) - done_before;
    let scale = 1.0 / (started.elapsed().as_secs_f64() * fleet.routers.len() as f64);
    let rate = |name: &str| {
        let value = |counters: &Counters| counters.get(name).copied().unwrap_or(0.0);
        (value(&after) - value(&before)) * scale
    };
    let calls = rate("log_reads_total") + rate("log_appends_total");
    let log_sent = rate("log_sent_bytes_total") + calls * heads.0;
    let log_received = rate("log_received_bytes_total") + calls * heads.1;
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
    let point = Point {
        routers: fleet.routers.len() as f64,
        sent: rate("peer_sent_bytes_total") + log_sent,
        received: rate("peer_received_bytes_total") + log_received,
        log_sent,
        log_received,
        requests: done as f64 * scale,
        cpu_percent: (cpu_after - cpu_before).as_secs_f64() * scale * 100.0,
        resident_mb: resident as f64 / fleet.routers.len() as f64 / 1e6,
        sent_by_kind,
    };
    println!(
        "{} routers: sent {:.0} B/s (log {:.0}), received {:.0} B/s (log {:.0}), {:.2} requests/s, \
         {:.2}% of a core, {:.1} MB resident, per router",
        point.routers,
        point.sent,
        point.log_sent,
        point.received,
        point.log_received,
        point.requests,
        point.cpu_percent,
        point.resident_mb
    );
    let kinds: Vec<String> =
        point.sent_by_kind.iter().map(|(kind, bytes)| format!("{kind} {bytes:.0}")).collect();
    println!("  message bytes sent, without HTTP/2: {}", kinds.join(", "));
    Ok(point)
}

fn run_client(address: SocketAddr, seed: usize, stop: &AtomicBool, done: &AtomicU64) {
    let caller = Caller::default();
    thread::sleep(REQUEST_INTERVAL.mul_f64((seed % 97) as f64 / 97.0));
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        let started = Instant::now();
        turn += 1;
        let request = ChatTurn::new("team", "chat", &format!("client {seed} turn {turn}"), 32)
            .chat(&format!("chat-{seed}"));
        if caller.chat(address, &request).complete {
            done.fetch_add(1, Ordering::Relaxed);
        }
        thread::sleep(REQUEST_INTERVAL.saturating_sub(started.elapsed()));
    }
}

fn counters(fleet: &ProcessFleet) -> Result<Counters> {
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

fn cpu(fleet: &ProcessFleet) -> Result<Duration> {
    fleet.routers.iter().map(|router| router.cpu_time()).sum()
}

/// Bytes of the head of a read of the log and of its answer, which the routers'
/// metrics leave out.
fn log_heads(fleet: &ProcessFleet) -> Result<(f64, f64)> {
    let path = "/streams/config/records?from=100&wait_ms=250";
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let url = format!("http://{}{path}", listener.local_addr()?);
    let client = thread::spawn(move || drop(ureq::get(url).call()));
    let (mut accepted, _) = listener.accept()?;
    let request = read_head(&mut accepted)?;
    drop(accepted);
    client.join().ok().context("client thread")?;
    let url = fleet.platform.log_url();
    let rest = url.trim_start_matches("http://");
    let (address, prefix) = rest.split_once('/').unwrap_or((rest, ""));
    let mut stream = TcpStream::connect(address)?;
    let slash = if prefix.is_empty() { "" } else { "/" };
    write!(stream, "GET {slash}{prefix}{path} HTTP/1.1\r\nhost: {address}\r\n\r\n")?;
    let answer = read_head(&mut stream)?;
    Ok((request as f64, answer as f64))
}

fn read_head(stream: &mut TcpStream) -> Result<usize> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(head.len())
}
