//! Measures recovery with default settings and routers as processes: the time from a crash
//! until the router's resources serve again, from an endpoint's leave until the last new
//! work to it, and from an accepted change until all routers use it; and the share of
//! bookings served in a log outage of 30 s. Reports the worst of the repetitions.

use {
    anyhow::{Context, Result, bail, ensure},
    mango_standins::{
        EngineOptions, EngineStandin, Outage, PlatformStandin, ServiceOptions, ServiceStandin,
    },
    mango_testkit::{
        BenchResult, Caller, ChatTurn, OPERATOR_TOKEN, ObjectsBuilder, RouterProcess,
        engine_endpoint, fetch_state, operator_get, router_settings, service_endpoint,
    },
    mango_wire::{
        config::{Change, ConfigObject, ConfigRecord, Team, WorkClass},
        key_range,
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        path::Path,
        sync::{
            Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

const ROUTERS: usize = 3;
const ENGINES: usize = 3;
const KEY_RANGES: u32 = 8;
const CRASHES: usize = 3;
const LEAVES: usize = 3;
const CHANGES: usize = 12;
const OUTAGE: Duration = Duration::from_secs(30);
const READY_WAIT: Duration = Duration::from_secs(20);
const RECOVERY_WAIT: Duration = Duration::from_secs(10);
/// New work to an endpoint is counted for this long after its leave; none is expected later.
const LEAVE_WATCH: Duration = Duration::from_millis(3500);
const TARGET_S: f64 = 3.0;

struct Fleet {
    platform: PlatformStandin,
    engines: Vec<EngineStandin>,
    service: ServiceStandin,
    routers: Vec<RouterProcess>,
}

impl Fleet {
    fn spawn() -> Result<Self> {
        let platform = PlatformStandin::spawn();
        let engines: Vec<_> = (0..ENGINES)
            .map(|index| {
                let name = format!("engine-{index}");
                EngineStandin::spawn(EngineOptions { name, step_ms: 5.0, ..Default::default() })
            })
            .collect();
        let service = ServiceStandin::spawn(ServiceOptions { service_ms: 2, max_in_flight: 256 });
        let mut objects = ObjectsBuilder::default()
            .pool("all", 4.0)
            .pool("services", 2.0)
            .team("gold", 1.0, 1000)
            .work("booking", false, WorkClass::Normal, 1, 2000)
            .work("chat", true, WorkClass::Normal, 8, 2000)
            .route("booking", "services", Some("ledger"))
            .route("chat", "all", None)
            .endpoint(service_endpoint("ledger", service.address(), "services", 256));
        // each engine also has its own pool, so that a probe can reach just this engine
        for (index, engine) in engines.iter().enumerate() {
            let (pool, work) = (format!("only-{index}"), format!("chat-{index}"));
            let id = format!("engine-{index}");
            let mut endpoint = engine_endpoint(&id, engine.address(), &pool, 16);
            endpoint.labels.insert("member".to_owned(), "all".to_owned());
            objects = objects
                .endpoint(endpoint)
                .pool(&pool, 4.0)
                .work(&work, true, WorkClass::Normal, 8, 2000)
                .route(&work, &pool, None);
        }
        let mut put = objects.build();
        for object in &mut put {
            if let ConfigObject::Pool(pool) = object
                && pool.id == "all"
            {
                pool.selector = "member=all".to_owned();
            }
        }
        let change_id = "initial".to_owned();
        let record = ConfigRecord::Change(change(change_id, 0, put));
        platform.append("config", &serde_json::to_string(&record)?);
        let routers =
            (0..ROUTERS).map(|index| start_router(&platform, index)).collect::<Result<Vec<_>>>()?;
        let mut fleet = Self { platform, engines, service, routers };
        fleet.await_ready()?;
        Ok(fleet)
    }

    /// Waits until all routers see each other live and own all resources.
    fn await_ready(&mut self) -> Result<()> {
        let deadline = Instant::now() + READY_WAIT;
        while !self.is_ready() {
            for index in 0..ROUTERS {
                // a router exits if another process took its port
                if self.routers[index].wait(Duration::ZERO)?.is_some() {
                    self.routers[index] = start_router(&self.platform, index)?;
                }
            }
            if Instant::now() >= deadline {
                let states =
                    self.routers.iter().filter_map(|r| fetch_state(r.operator_address()).ok());
                let shown: Vec<_> = states
                    .map(|s| format!("{} {} {}", s["host"], s["members"], s["ownership"]))
                    .collect();
                bail!("fleet is not ready in time: {shown:#?}");
            }
            thread::sleep(Duration::from_millis(50));
        }
        // a new owner first reads its key ranges
        thread::sleep(Duration::from_millis(500));
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let states: Vec<_> = self
            .routers
            .iter()
            .filter_map(|router| fetch_state(router.operator_address()).ok())
            .collect();
        let count = |path: &str| -> usize {
            let sizes = states.iter().map(|state| match state.pointer(path) {
                Some(value) if value.is_array() => value.as_array().map_or(0, Vec::len),
                Some(value) => value.as_object().map_or(0, |o| o.len()),
                None => 0,
            });
            sizes.sum()
        };
        let all_live = states.iter().all(|state| {
            state["members"]["live"].as_array().is_some_and(|live| live.len() == ROUTERS)
        });
        // engines, the service, key ranges, `config` and `weights`
        let resources = ENGINES + 1 + KEY_RANGES as usize + 2;
        states.len() == ROUTERS
            && all_live
            && count("/owned_engines") == ENGINES + 1
            && count("/ownership/resources") == resources
    }

    fn callers(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(RouterProcess::caller_address).collect()
    }
}

fn start_router(platform: &PlatformStandin, index: usize) -> Result<RouterProcess> {
    let settings = router_settings(platform, &format!("host-{index}"), "zone-a");
    RouterProcess::spawn(binary(), settings)
}

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_mangobridge"))
}

fn change(change_id: String, based_on: u64, put: Vec<ConfigObject>) -> Change {
    let author = "bench".to_owned();
    Change { author, based_on, change_id, delete: Vec::new(), made_at_ms: 0, put }
}

/// Measures the seconds from each crash until all engines and key ranges that the crashed
/// router owned serve again.
fn measure_crashes() -> Result<Vec<f64>> {
    let mut fleet = Fleet::spawn()?;
    let mut times = Vec::new();
    for crash in 0..CRASHES {
        let crashed_index = crash % ROUTERS;
        let owned = fetch_state(fleet.routers[crashed_index].operator_address())?;
        let owned: Vec<String> = owned["ownership"]["resources"]
            .as_object()
            .map(|resources| resources.keys().cloned().collect())
            .unwrap_or_default();
        let survivor = fleet.routers[(crashed_index + 1) % ROUTERS].caller_address();
        let crashed = Instant::now();
        fleet.routers[crashed_index].kill()?;
        let worst = thread::scope(|scope| {
            let probes: Vec<_> = owned
                .iter()
                .map(|resource| scope.spawn(move || await_served(resource, survivor, crashed)))
                .collect();
            probes.into_iter().map(|p| p.join().expect("probe failed")).collect::<Result<Vec<_>>>()
        })?;
        let worst = worst.into_iter().fold(Duration::ZERO, Duration::max);
        println!("crash of host-{crashed_index}: {} resources, {worst:.2?}", owned.len());
        times.push(worst.as_secs_f64());
        if crash + 1 < CRASHES {
            fleet.routers[crashed_index] = start_router(&fleet.platform, crashed_index)?;
            fleet.await_ready()?;
        }
    }
    Ok(times)
}

/// Repeats a request that needs the resource until it succeeds, and returns the time since
/// the crash. Resources that callers do not use are skipped.
fn await_served(resource: &str, router: SocketAddr, crashed: Instant) -> Result<Duration> {
    let caller = Caller::new(Duration::from_secs(3));
    let is_served: Box<dyn Fn() -> bool> = match resource.split_once('/') {
        Some(("engine", "ledger")) => Box::new(|| book(&caller, router, None)),
        Some(("engine", id)) => {
            let work = id.replace("engine", "chat");
            let turn = ChatTurn::new("gold", &work, "probe", 2).deadline_ms(300);
            let caller = caller.clone();
            Box::new(move || caller.chat(router, &turn).complete)
        }
        Some(("keys", range)) => {
            let range = range.parse().context("the key range is not a number")?;
            let caller = caller.clone();
            Box::new(move || book(&caller, router, Some(range)))
        }
        _ => return Ok(Duration::ZERO),
    };
    while !is_served() {
        ensure!(crashed.elapsed() < RECOVERY_WAIT, "{resource} does not serve again");
        thread::sleep(Duration::from_millis(10));
    }
    Ok(crashed.elapsed())
}

/// Makes one booking, with a key of `range` if it is given, and returns whether it succeeded.
fn book(caller: &Caller, router: SocketAddr, range: Option<u32>) -> bool {
    let key = loop {
        let key = Uuid::now_v7().to_string();
        if range.is_none_or(|range| key_range("gold", &key, KEY_RANGES) == range) {
            break key;
        }
    };
    let body = format!("{{\"booking\":\"{key}\"}}");
    let path = "/services/ledger/book";
    caller.service(router, ("gold", "booking"), path, Some(&key), &body).status == 200
}

/// Measures the seconds from each leave until the last new work that the engine refused,
/// and from each accepted change until all routers use it.
fn measure_leaves_and_changes() -> Result<(Vec<f64>, Vec<f64>)> {
    let fleet = Fleet::spawn()?;
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        for index in 0..6 {
            let (routers, ended) = (fleet.callers(), &ended);
            scope.spawn(move || {
                let caller = Caller::default();
                let mut number = 0;
                while !ended.load(Ordering::SeqCst) {
                    number += 1;
                    let turn = ChatTurn::new("gold", "chat", &format!("{index}-{number}"), 4);
                    caller.chat(routers[number % ROUTERS], &turn);
                }
            });
        }
        let leaves = measure_leaves(&fleet);
        let changes = measure_changes(&fleet);
        ended.store(true, Ordering::SeqCst);
        Ok((leaves?, changes?))
    })
}

fn measure_leaves(fleet: &Fleet) -> Result<Vec<f64>> {
    let mut times = Vec::new();
    for leave in 0..LEAVES {
        let engine = &fleet.engines[leave % ENGINES];
        let refused_before = engine.refused_leaving().len();
        let left = Instant::now();
        engine.set_leaving();
        thread::sleep(LEAVE_WATCH);
        let refused = engine.refused_leaving().split_off(refused_before);
        let last = refused.iter().map(|at| at.duration_since(left)).max().unwrap_or_default();
        println!("leave of engine-{leave}: {} new requests, last after {last:.2?}", refused.len());
        times.push(last.as_secs_f64());
        engine.restart();
        thread::sleep(Duration::from_secs(1));
    }
    Ok(times)
}

fn measure_changes(fleet: &Fleet) -> Result<Vec<f64>> {
    let mut times = Vec::new();
    for number in 0..CHANGES {
        let address = fleet.routers[number % ROUTERS].operator_address();
        let team = Team {
            id: "silver".to_owned(),
            labels: HashMap::new(),
            weight: 1.0 + number as f64,
            max_in_flight: 10,
        };
        let change_id = format!("change-{number}");
        let change = change(change_id, config_version(address)?, vec![ConfigObject::Team(team)]);
        let mut response = ureq::post(format!("http://{address}/config"))
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .content_type("application/json")
            .send(serde_json::to_string(&change)?)
            .context("post the change")?;
        let accepted = Instant::now();
        let reply: serde_json::Value =
            serde_json::from_str(&response.body_mut().read_to_string()?)?;
        let wanted = reply["version"].as_u64().context("the reply has no version")?;
        let in_use = fleet.routers.iter().map(|router| {
            while config_version(router.operator_address())? < wanted {
                ensure!(accepted.elapsed() < RECOVERY_WAIT, "version {wanted} not in use in time");
            }
            Ok(accepted.elapsed())
        });
        let worst = in_use.collect::<Result<Vec<_>>>()?.into_iter().max().unwrap_or_default();
        times.push(worst.as_secs_f64());
    }
    Ok(times)
}

fn config_version(operator_address: SocketAddr) -> Result<u64> {
    let listing = operator_get(operator_address, "/config?kind=team&id=gold")?;
    let listing: serde_json::Value = serde_json::from_str(&listing)?;
    listing["version"].as_u64().context("the listing has no version")
}

/// Bookings that were sent during the outage.
struct OutageCounts {
    sent: usize,
    served: usize,
    /// Idempotency keys that were executed more than once, also before and after the outage.
    doubled: usize,
    slowest: Duration,
}

/// Sends bookings through all routers before, during and after a log outage.
fn measure_outage() -> Result<OutageCounts> {
    let fleet = Fleet::spawn()?;
    let ended = AtomicBool::new(false);
    let bookings: Mutex<Vec<(Instant, bool, Duration)>> = Mutex::default();
    let (began, restored) = thread::scope(|scope| {
        for index in 0..4 {
            let (routers, ended, bookings) = (fleet.callers(), &ended, &bookings);
            scope.spawn(move || {
                let caller = Caller::default();
                let mut number = index;
                while !ended.load(Ordering::SeqCst) {
                    number += 1;
                    let started = Instant::now();
                    let served = book(&caller, routers[number % ROUTERS], None);
                    let booking = (started, served, started.elapsed());
                    bookings.lock().expect("no thread panicked").push(booking);
                    thread::sleep(Duration::from_millis(10));
                }
            });
        }
        thread::sleep(Duration::from_secs(1));
        let began = Instant::now();
        fleet.platform.set_log_outage(Outage::Refuse);
        thread::sleep(OUTAGE);
        fleet.platform.set_log_outage(Outage::None);
        let restored = Instant::now();
        thread::sleep(Duration::from_secs(2));
        ended.store(true, Ordering::SeqCst);
        (began, restored)
    });
    let bookings = bookings.into_inner().expect("no thread panicked");
    let during: Vec<_> =
        bookings.iter().filter(|(started, ..)| (began..restored).contains(started)).collect();
    let mut executions: HashMap<String, usize> = HashMap::new();
    for execution in fleet.service.executions() {
        *executions.entry(execution.idempotency_key.unwrap_or_default()).or_default() += 1;
    }
    Ok(OutageCounts {
        sent: during.len(),
        served: during.iter().filter(|(_, served, _)| *served).count(),
        doubled: executions.values().filter(|count| **count > 1).count(),
        slowest: during.iter().map(|(.., time)| *time).max().unwrap_or_default(),
    })
}

fn main() -> Result<()> {
    let began = Instant::now();
    let (outage, crashes, (leaves, changes)) = thread::scope(|scope| {
        let outage = scope.spawn(measure_outage);
        let crashes = scope.spawn(measure_crashes);
        let others = measure_leaves_and_changes()?;
        let crashes = crashes.join().expect("the thread panicked")?;
        anyhow::Ok((outage.join().expect("the thread panicked")?, crashes, others))
    })?;
    let worst = |times: &[f64]| times.iter().copied().fold(0.0, f64::max);
    let (crash, leave, change) = (worst(&crashes), worst(&leaves), worst(&changes));
    let share = outage.served as f64 / outage.sent.max(1) as f64 * 100.0;
    println!("crash until served again: worst {crash:.3} s of {} (target 3)", crashes.len());
    println!("leave until last new work: worst {leave:.3} s of {} (target 3)", leaves.len());
    println!("change until in use: worst {change:.3} s of {} (target 1)", changes.len());
    println!(
        "bookings in a 30 s log outage: {} of {} served, {share:.2}% (target 99), doubled {}, slowest {:.2?}",
        outage.served, outage.sent, outage.doubled, outage.slowest
    );
    println!("seconds: {:.1}", began.elapsed().as_secs_f64());
    let value = crash.max(leave).max(change);
    let (bench, unit) = ("recovery".to_owned(), "s".to_owned());
    BenchResult { bench, value, baseline: 0.0, target: TARGET_S, unit }.print();
    Ok(())
}
