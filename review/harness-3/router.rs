//! A router process, started with the command of the deploy file.

use {
    crate::http::Client,
    std::{
        env, fs,
        fs::File,
        net::{SocketAddr, TcpListener, UdpSocket},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU32, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// `run` of the role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/mangobridge";
const ARGUMENT: &str = "--on-platform";
const READY_TIME: Duration = Duration::from_secs(20);

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// A loopback address below the ephemeral ports that is free for TCP and UDP.
fn free_address() -> SocketAddr {
    loop {
        let number = std::process::id() * 97 + NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], (12_000 + number % 18_000) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Router {
    /// Writes the settings, as `deploy/settings.json.tmpl` is filled in for a small deployment, and
    /// starts the process.
    pub fn spawn(
        folder: &std::path::Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        bootstrap: bool,
    ) -> Router {
        let [callers, ready, side, gossip] = [(); 4].map(|()| free_address());
        let text = format!(
            "{{\"host\":\"{name}\",\"zone\":\"{zone}\",\"callers_address\":\"{callers}\",\
             \"ready_address\":\"{ready}\",\"side_address\":\"{side}\",\
             \"gossip_address\":\"{gossip}\",\"store_address\":\"{}\",\"max_open_files\":2870,\
             \"memory_mb\":182,\"link_mbps\":700.0,\"is_first_start\":{bootstrap},\
             \"endpoint_heartbeat_ms\":1200,\"bounds\":{{\"refuses_unconfirmed_keys\":true,\
             \"key_revocation_ms\":5000,\"config_apply_ms\":2000,\"endpoint_drain_ms\":2000,\
             \"stop_grace_s\":8,\"retry_budget_ratio\":0.2,\"retry_budget_window_s\":10,\
             \"retry_budget_allowance\":116}}}}",
            store
        );
        let (settings, log) =
            (folder.join(format!("{name}.json")), folder.join(format!("{name}.log")));
        fs::write(&settings, text).expect("the settings file");
        let mut router =
            Router { name: name.to_owned(), callers, ready, settings, log, child: None };
        router.start();
        router
    }

    fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let child = Command::new(PROGRAM)
            .arg(ARGUMENT)
            .env_clear()
            .env("PATH", env::var_os("PATH").unwrap_or_default())
            .env("MANGOBRIDGE_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a handle"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program, built as the deploy file says"));
    }

    /// Starts the process again, with the settings of a system that has started before.
    pub fn start_again(&mut self) {
        let text = fs::read_to_string(&self.settings).expect("the settings file");
        let text = text.replace("\"is_first_start\":true", "\"is_first_start\":false");
        fs::write(&self.settings, text).expect("the settings file");
        self.start();
    }

    /// SIGTERM.
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
        }
    }

    /// Whether the router says that it relays for its zone.
    pub fn is_relay(&self) -> bool {
        let head = "GET /state HTTP/1.1\r\nHost: r\r\n\r\n";
        let page = Client::default().page(self.ready, head);
        String::from_utf8_lossy(&page).contains("\"relays\":true")
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the readiness probe gets 200.
    pub fn wait_ready(&self) {
        let until = Instant::now() + READY_TIME;
        while !self.is_ready() {
            assert!(Instant::now() < until, "{} is not ready", self.name);
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Asks as the platform's probe does.
    pub fn is_ready(&self) -> bool {
        let head = "GET /mangobridge/ready HTTP/1.1\r\nHost: r\r\n\r\n";
        Client::default().call(self.ready, head, b"").is_some_and(|a| a.status == 200)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}
