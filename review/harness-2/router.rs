//! A router process, started with the command of the deploy file.

use {
    crate::{
        config::{Ports, settings},
        http::Wire,
        store::Store,
    },
    std::{
        env, fs, io,
        net::{TcpListener, TcpStream, UdpSocket},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::Mutex,
        thread,
        time::{Duration, Instant},
    },
};

const PROGRAM: &str = "target/release/mangobridge";
const ARGUMENT: &str = "--on-platform";
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Memory of the site's smallest machines.
pub const MEMORY_MB: u32 = 391;

/// The processes that were started, for the case that a time limit ends the program.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all routers.
pub fn end_all() {
    for child in CHILDREN.lock().expect("children").iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Ends the process when it is dropped.
pub struct Router {
    pub port: u16,
    ready_port: u16,
    pid: u32,
    folder: PathBuf,
}

fn free_port() -> io::Result<u16> {
    TcpListener::bind("127.0.0.1:0")?.local_addr().map(|address| address.port())
}

impl Router {
    /// Starts a router in the current folder, the repository, and waits until it is ready.
    pub fn start(store: &Store) -> Result<Router, String> {
        let start = || -> io::Result<Router> {
            let ports = Ports {
                callers: free_port()?,
                ready: free_port()?,
                side: free_port()?,
                gossip: UdpSocket::bind("127.0.0.1:0")?.local_addr()?.port(),
                store: store.port,
            };
            let folder = env::temp_dir().join(format!("review-{}", std::process::id()));
            fs::create_dir_all(&folder)?;
            let path = folder.join("settings.json");
            fs::write(&path, settings(&ports, MEMORY_MB))?;
            let log = fs::File::create(folder.join("router.log"))?;
            let child = Command::new(PROGRAM)
                .arg(ARGUMENT)
                .env_clear()
                .env("MANGOBRIDGE_BOOT", &path)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(Stdio::inherit())
                .spawn()?;
            let pid = child.id();
            CHILDREN.lock().expect("children").push(child);
            Ok(Router { port: ports.callers, ready_port: ports.ready, pid, folder })
        };
        let router = start().map_err(|error| format!("{PROGRAM}: {error}"))?;
        let deadline = Instant::now() + READY_TIMEOUT;
        while !router.is_ready().unwrap_or(false) {
            if Instant::now() > deadline {
                return Err("the router did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(30));
        }
        Ok(router)
    }

    fn is_ready(&self) -> io::Result<bool> {
        let stream = TcpStream::connect(("127.0.0.1", self.ready_port))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        let mut wire = Wire::new(stream);
        wire.write(b"GET /mangobridge/ready HTTP/1.1\r\nHost: h\r\n\r\n")?;
        wire.read_head().map(|head| head.status() == 200)
    }

    /// Resident memory in megabytes of 1,000,000 bytes; `None` if the process has ended.
    pub fn resident_mb(&self) -> Option<u32> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
        Some((kilobytes * 1_024 / 1_000_000) as u32)
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&self) {
        end_all();
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        end_all();
        if env::var_os("KEEP_LOGS").is_some() {
            println!("logs in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
