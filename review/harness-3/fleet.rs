//! A small deployment: a store, runners, router processes and clients.

use {
    crate::{
        http::{Client, Response},
        proxy::Proxy,
        record::Record,
        router::Router,
        runner::Runner,
        store::Store,
    },
    std::{
        env, fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        thread::JoinHandle,
        time::{Duration, Instant},
    },
};

pub const SERVICE: &str = "portal";
const HOST: &str = "portal.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Routes to the service: bookings run at most once, lookups may be repeated; one route is of this
/// version only.
const CONFIG: &str = r#"{"version":VERSION,"routes":[
{"name":"book","host":"portal.example","pathPrefix":"/book/","service":"portal","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,"maxAttempts":1,"priority":2},
{"name":"rVERSION","host":"portal.example","pathPrefix":"/rVERSION/","service":"portal","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":300,"maxAttempts":2,"priority":2},
{"name":"look","host":"portal.example","pathPrefix":"/look/","service":"portal","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":300,"maxAttempts":2,"priority":2}],
"services":[{"name":"portal","maxConnections":400,"healthPath":"/healthz"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000},
"tenants":[{"name":"team-1","apiKeys":["n2ctnfzs989anu6wsjnb","key-of-version-VERSION"]}]}"#;

/// A request of a client and its answer.
#[derive(Clone)]
pub struct Sent {
    pub id: String,
    pub router: String,
    pub path: &'static str,
    pub is_booking: bool,
    pub sent_at_ms: u64,
    /// `None` if the connection ended without an answer.
    pub status: Option<u16>,
}

pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub runners: Vec<Arc<Runner>>,
    pub routers: Vec<Router>,
    pub has_trouble: bool,
    store_address: SocketAddr,
    proxy: Option<Proxy>,
    folder: PathBuf,
    sent: Arc<Mutex<Vec<Sent>>>,
    stops: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Fleet {
    /// Starts the store, runners and so many routers in each zone, and waits until they are ready.
    pub fn start(runners: usize, per_zone: [usize; 3], work: Duration) -> Fleet {
        Fleet::start_with(runners, per_zone, work, |store| (store, None))
    }

    /// The same with a proxy between the routers and the store.
    pub fn start_behind_proxy(runners: usize, per_zone: [usize; 3], work: Duration) -> Fleet {
        Fleet::start_with(runners, per_zone, work, |store| {
            let proxy = Proxy::spawn(store);
            (proxy.address, Some(proxy))
        })
    }

    fn start_with(
        runners: usize,
        per_zone: [usize; 3],
        work: Duration,
        way_to_store: impl FnOnce(SocketAddr) -> (SocketAddr, Option<Proxy>),
    ) -> Fleet {
        let folder = env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let (record, store) = (Record::new(), Store::spawn());
        store.put("keyed.op", "config", &CONFIG.replace("VERSION", "3"));
        let (store_address, proxy) = way_to_store(store.address);
        let runners: Vec<_> = (0..runners)
            .map(|n| Runner::spawn(&format!("i-{n}"), SERVICE, ZONES[n % 3], work, &store, &record))
            .collect();
        let mut routers: Vec<Router> = Vec::new();
        for (zone, count) in ZONES.iter().zip(per_zone) {
            for n in 1..=count {
                routers.push(Router::spawn(
                    &folder,
                    &format!("front-{zone}-{n}"),
                    zone,
                    store_address,
                    true,
                ));
            }
        }
        routers.iter().for_each(Router::wait_ready);
        let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
        let fleet = Fleet {
            record,
            store,
            runners,
            routers,
            has_trouble,
            store_address,
            proxy,
            folder,
            sent: Arc::default(),
            stops: Arc::default(),
            clients: Vec::new(),
        };
        fleet.record.note(&format!("routers are ready, trouble={has_trouble}"));
        fleet
    }

    /// The operator writes the configuration once more, as a new version.
    pub fn write_config(&self, version: u32) {
        self.store.put("keyed.op", "config", &CONFIG.replace("VERSION", &version.to_string()));
    }

    /// Clients that send to each router, one request after the other, at most one in a period.
    pub fn start_clients(&mut self, per_router: usize, period: Duration) {
        for index in 0..self.routers.len() {
            self.start_clients_of(index, per_router, period);
        }
    }

    /// Clients that send to one router, one request after the other, at most one in a period.
    pub fn start_clients_of(&mut self, router: usize, count: usize, period: Duration) {
        for number in 0..count {
            let path = if number % 2 == 0 { "/book/1" } else { "/look/1" };
            self.start_client(router, path, KEY, period);
        }
    }

    fn start_client(
        &mut self,
        router: usize,
        path: &'static str,
        key: &'static str,
        period: Duration,
    ) {
        let Router { name, callers, .. } = &self.routers[router];
        let (name, address) = (name.clone(), *callers);
        let (record, sent, stops) = (self.record.clone(), self.sent.clone(), self.stops.clone());
        self.clients.push(thread::spawn(move || {
            let mut client = Client::default();
            let mut next = Instant::now();
            while !stops.load(Ordering::SeqCst) {
                send(&mut client, &name, address, (path, key), &record, &sent);
                // refusals are fast, and must not make the client send more
                next = Instant::now().max(next + period);
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        }));
    }

    /// Connections to the store that were idle for 2 s go silent. Returns how many.
    pub fn silence_idle_store_connections(&self) -> usize {
        self.proxy.iter().map(|proxy| proxy.silence_idle(Duration::from_secs(2))).sum()
    }

    /// The index of the router that relays for a zone.
    pub fn relay_of(&self, zone: &str) -> Option<usize> {
        let is_in_zone = |router: &Router| router.name.contains(zone);
        self.routers.iter().position(|router| is_in_zone(router) && router.is_relay())
    }

    /// Clients with a connection to one router each, which come back once after a promise that a request has
    /// not run: after the time that the answer names, on a new connection, at another router of the zone.
    pub fn start_returning_clients(&mut self, per_router: [usize; 3], period: Duration) {
        let addresses = |zone: &str| -> Vec<SocketAddr> {
            self.routers.iter().filter(|r| r.name.contains(zone)).map(|r| r.callers).collect()
        };
        let mut clients = Vec::new();
        for (zone, count) in ZONES.iter().zip(per_router) {
            let others = addresses(zone);
            for (index, router) in others.iter().enumerate() {
                for number in 0..count {
                    let (router, others) = (*router, others.clone());
                    let (record, sent) = (self.record.clone(), self.sent.clone());
                    let (stops, name) = (self.stops.clone(), format!("{zone} {index}"));
                    let path = if number % 2 == 0 { "/book/1" } else { "/look/1" };
                    clients.push(thread::spawn(move || {
                        let (mut client, mut next) = (Client::default(), Instant::now());
                        let mut turn = index + number;
                        while !stops.load(Ordering::SeqCst) {
                            let request = (path, KEY);
                            let answer = send(&mut client, &name, router, request, &record, &sent);
                            if let Some(pause) = answer.and_then(|answer| promised_pause(&answer)) {
                                thread::sleep(pause);
                                turn +=
                                    1 + usize::from(others[(turn + 1) % others.len()] == router);
                                let other = others[turn % others.len()];
                                send(&mut Client::default(), &name, other, request, &record, &sent);
                            }
                            next = Instant::now().max(next + period);
                            thread::sleep(next.saturating_duration_since(Instant::now()));
                        }
                    }));
                }
            }
        }
        self.clients.extend(clients);
    }

    /// Clients that ask each router for the route of version 3, for that of version 4, and with the key
    /// that only version 3 has.
    pub fn start_version_clients(&mut self, period: Duration) {
        for index in 0..self.routers.len() {
            self.start_client(index, "/r3/1", KEY, period);
            self.start_client(index, "/r4/1", KEY, period);
            self.start_client(index, "/look/1", "key-of-version-3", period);
        }
    }

    /// Adds routers to the running system, and waits until they are ready. Returns their indexes.
    pub fn add_routers(&mut self, names: &[&str], zone: &str) -> std::ops::Range<usize> {
        let first = self.routers.len();
        for name in names {
            self.routers.push(Router::spawn(&self.folder, name, zone, self.store_address, false));
        }
        self.routers[first..].iter().for_each(Router::wait_ready);
        first..self.routers.len()
    }

    pub fn sleep_until(&self, at_ms: u64) {
        thread::sleep(Duration::from_millis(at_ms.saturating_sub(self.record.now_ms())));
    }

    /// Stops the clients and the routers, and writes the record. Returns what was sent.
    pub fn finish(&mut self, folder: &Path) -> Vec<Sent> {
        self.stops.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
        self.routers.iter_mut().for_each(Router::kill);
        self.record.write(&folder.join("record.txt")).expect("the record can be written");
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        self.sent.lock().unwrap().clone()
    }
}

fn send(
    client: &mut Client,
    router: &str,
    address: SocketAddr,
    (path, key): (&'static str, &str),
    record: &Record,
    sent: &Mutex<Vec<Sent>>,
) -> Option<Response> {
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
    let is_booking = path.starts_with("/book/");
    let (method, body) = if is_booking { ("POST", &b"{\"n\":1}"[..]) } else { ("GET", &b""[..]) };
    let length =
        if is_booking { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\
         Authorization: Bearer {key}\r\n{length}\r\n"
    );
    let sent_at_ms = record.now_ms();
    record.add_at(sent_at_ms, format!("client sends {id} {method} {path} to {router}"));
    let answer = client.call(address, &head, body);
    let status = answer.as_ref().map(|answer| answer.status);
    let signature = answer.as_ref().and_then(|a| a.header("X-Server-Signature")).unwrap_or("-");
    let shown = status.map_or("no answer".to_owned(), |status| status.to_string());
    record.add(format!("client gets {id} {shown} signature={signature}"));
    sent.lock().unwrap().push(Sent {
        id,
        router: router.to_owned(),
        path,
        is_booking,
        sent_at_ms,
        status,
    });
    answer
}

/// When a client may come back after a promise that its request has not run: `Retry-After`, up to a third
/// of the time that it has left.
fn promised_pause(answer: &Response) -> Option<Duration> {
    let pause = answer.header("Retry-After").and_then(|text| text.parse().ok()).unwrap_or(0.1);
    let is_promise = matches!(answer.status, 408 | 421 | 429 | 503) && pause <= 1.0;
    is_promise.then(|| Duration::from_secs_f64(pause))
}
