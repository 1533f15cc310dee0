//! Routers as processes, the record of a run, and the platform's choice of a router.

use crate::{http, store::Store};
use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Writes what was sent, answered and run, with the time since the start.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).expect("a record");
        Arc::new(Record { file: Mutex::new(file), started_at: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().expect("file"), "{seconds:9.3} {text}");
    }
}

/// Addresses of one router.
#[derive(Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    metrics: SocketAddr,
    pub side: SocketAddr,
    gossip: SocketAddr,
}

impl Addresses {
    /// Free loopback ports, below those of outgoing connections.
    fn reserve(used: &mut Vec<u16>) -> Addresses {
        let mut port = |is_free: &dyn Fn(u16) -> bool| loop {
            let next = used.last().map_or_else(first_port, |last| last + 1);
            used.push(next);
            if is_free(next) {
                return SocketAddr::from(([127, 0, 0, 1], next));
            }
        };
        let tcp = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
        let udp = |port: u16| UdpSocket::bind(("127.0.0.1", port)).is_ok();
        Addresses {
            callers: port(&tcp),
            ready: port(&tcp),
            metrics: port(&tcp),
            side: port(&tcp),
            gossip: port(&udp),
        }
    }
}

pub struct Router {
    pub name: String,
    pub addresses: Addresses,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// The routers of a deployment with one zone.
pub struct Fleet {
    pub routers: Vec<Router>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts routers with the command of the deploy file.
    pub fn start(count: usize, store: &Store) -> Result<Fleet, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        if std::env::var_os("KEEP_LOGS").is_some() {
            eprintln!("logs of the routers: {}", folder.display());
        }
        let mut fleet = Fleet { routers: Vec::new(), folder: folder.clone() };
        let mut used = Vec::new();
        for number in 1..=count {
            let name = format!("front-z-{number}");
            let addresses = Addresses::reserve(&mut used);
            let settings = folder.join(format!("{name}.json"));
            fs::write(&settings, settings_text(&name, &addresses, store.address))
                .map_err(|e| e.to_string())?;
            let log = folder.join(format!("{name}.log"));
            let child = spawn(&settings, &log)?;
            fleet.routers.push(Router { name, addresses, settings, log, child });
        }
        Ok(fleet)
    }

    /// Waits until all routers are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.routers.iter().all(Router::is_ready) {
            if Instant::now() > until {
                return Err("the routers don't become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Kills all routers at once and starts them again.
    pub fn kill_all(&mut self, down: Duration) -> Result<(), String> {
        for router in &mut self.routers {
            let _ = router.child.kill();
        }
        for router in &mut self.routers {
            let _ = router.child.wait();
        }
        thread::sleep(down);
        for router in &mut self.routers {
            router.child = spawn(&router.settings, &router.log)?;
        }
        Ok(())
    }

    pub fn callers(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|router| router.addresses.callers).collect()
    }

    /// The routers' own counts of the endpoints that they know, for the record only.
    pub fn describe(&self, record: &Record) {
        for router in &self.routers {
            let request = b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
            let text = http::call(router.addresses.side, request, Duration::from_secs(1))
                .map(|(_, body)| String::from_utf8_lossy(&body).into_owned())
                .unwrap_or_default();
            let known: Vec<&str> =
                text.lines().filter(|line| line.starts_with("mangobridge_endpoints ")).collect();
            record.line(&format!(
                "router {} ready={} {}",
                router.name,
                router.is_ready(),
                known.join(" ")
            ));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for router in &mut self.routers {
            let _ = router.child.kill();
            let _ = router.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Router {
    pub fn is_ready(&self) -> bool {
        let request = b"GET /mangobridge/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        http::call(self.addresses.ready, request, Duration::from_millis(500))
            .is_ok_and(|(head, _)| head.status() == 200)
    }
}

fn spawn(settings: &Path, log: &Path) -> Result<Child, String> {
    let log = File::options().create(true).append(true).open(log).map_err(|e| e.to_string())?;
    Command::new("target/release/mangobridge")
        .arg("--on-platform")
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("MANGOBRIDGE_BOOT", settings)
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .map_err(|e| format!("target/release/mangobridge: {e}"))
}

/// What the template of the deploy file makes of the fields of a small deployment.
fn settings_text(name: &str, addresses: &Addresses, store: SocketAddr) -> String {
    let Addresses { callers, ready, metrics, side, gossip } = addresses;
    format!(
        "{{\"host\":\"{name}\",\"zone\":\"z\",\"callers_address\":\"{callers}\",\"ready_address\":\"{ready}\",\
         \"metrics_address\":\"{metrics}\",\"side_address\":\"{side}\",\"gossip_address\":\"{gossip}\",\
         \"store_address\":\"{store}\",\"max_open_files\":2870,\"memory_mb\":182,\"link_mbps\":700.0,\
         \"is_first_start\":true,\"endpoint_heartbeat_ms\":1200,\"bounds\":{{\"refuses_unconfirmed_keys\":true,\
         \"key_revocation_ms\":5000,\"config_apply_ms\":2000,\"endpoint_drain_ms\":2000,\"stop_grace_s\":8,\
         \"retry_budget_ratio\":0.2,\"retry_budget_window_s\":10,\"retry_budget_allowance\":116}}}}"
    )
}

/// The platform's balancer: asks each router once a second whether it is ready; two misses take
/// it out. While fewer than half are in rotation, all are used.
pub struct Balancer {
    in_rotation: Mutex<Vec<bool>>,
}

impl Balancer {
    pub fn start(ready: Vec<SocketAddr>) -> Arc<Balancer> {
        let balancer = Arc::new(Balancer { in_rotation: Mutex::new(vec![true; ready.len()]) });
        for (index, address) in ready.into_iter().enumerate() {
            let balancer = balancer.clone();
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    let request =
                        b"GET /mangobridge/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
                    let is_ready = http::call(address, request, Duration::from_millis(900))
                        .is_ok_and(|(head, _)| head.status() == 200);
                    misses = if is_ready { 0 } else { misses + 1 };
                    balancer.in_rotation.lock().expect("rotation")[index] = misses < 2;
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        balancer
    }

    /// The routers that get new connections.
    pub fn usable(&self) -> Vec<usize> {
        let in_rotation = self.in_rotation.lock().expect("rotation");
        let usable: Vec<usize> =
            (0..in_rotation.len()).filter(|index| in_rotation[*index]).collect();
        if usable.len() * 2 < in_rotation.len() { (0..in_rotation.len()).collect() } else { usable }
    }
}

/// The first port to try; it differs between runs at the same time.
fn first_port() -> u16 {
    12_000 + (std::process::id().wrapping_mul(211) % 18_000) as u16
}
