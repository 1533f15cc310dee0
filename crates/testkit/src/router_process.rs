use {
    crate::fleet::operator_get,
    anyhow::{Context, Result, bail},
    mango_wire::settings::Settings,
    nix::{
        sys::signal::{Signal, kill},
        time::clock_getcpuclockid,
        unistd::Pid,
    },
    std::{
        io::Write,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        ops::Range,
        path::Path,
        process::{Child, Command, ExitStatus, Stdio},
        sync::{
            LazyLock,
            atomic::{AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tempfile::NamedTempFile,
};

/// Ports for routers, below the ephemeral range of the operating system, which starts at
/// 32768 on Linux by default.
const ROUTER_PORTS: Range<u16> = 10_000..32_000;

/// Router in its own process, which tests can kill or pause. Killed when dropped.
pub struct RouterProcess {
    child: Child,
    settings: Settings,
    /// Kept because dropping it deletes the file, which the router reads when it starts.
    _settings_file: NamedTempFile,
}

impl RouterProcess {
    /// Starts the router binary with these settings. Port 0 in an address is replaced by a
    /// free port.
    pub fn spawn(binary: &Path, mut settings: Settings) -> Result<Self> {
        for address in [
            &mut settings.caller_address,
            &mut settings.operator_address,
            &mut settings.peer_address,
        ] {
            if address.ends_with(":0") {
                *address = choose_address()?.to_string();
            }
        }
        let mut file = NamedTempFile::with_suffix(".json").context("create settings file")?;
        file.write_all(&serde_json::to_vec_pretty(&settings)?)?;
        let child = Command::new(binary)
            .arg("--settings")
            .arg(file.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .with_context(|| format!("start {}", binary.display()))?;
        Ok(Self { child, settings, _settings_file: file })
    }

    pub fn host_id(&self) -> &str {
        &self.settings.host_id
    }

    /// Settings with the chosen ports instead of port 0; used to restart the router.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    pub fn caller_address(&self) -> SocketAddr {
        parse_address(&self.settings.caller_address)
    }

    pub fn operator_address(&self) -> SocketAddr {
        parse_address(&self.settings.operator_address)
    }

    /// CPU time (user and system) consumed by the process.
    pub fn cpu_time(&self) -> Result<Duration> {
        let clock = clock_getcpuclockid(Pid::from_raw(self.child.id() as i32))
            .context("get CPU clock of the router process")?;
        Ok(clock.now().context("read CPU clock of the router process")?.into())
    }

    /// Resident memory of the process, in bytes.
    pub fn resident_bytes(&self) -> Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        Ok(kib.context("no VmRSS in /proc status of the router process")? * 1024)
    }

    /// Waits until the router answers `/healthz`.
    pub fn await_started(&self, timeout: Duration) -> Result<()> {
        let deadline = Instant::now() + timeout;
        while operator_get(self.operator_address(), "/healthz").is_err() {
            if Instant::now() >= deadline {
                bail!("router {} did not answer /healthz within {timeout:?}", self.host_id());
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill().context("kill router process")?;
        self.child.wait().context("wait for router process")?;
        Ok(())
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits at most `timeout` for the process to exit; `None` if it is still running.
    pub fn wait(&mut self, timeout: Duration) -> Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait().context("wait for router process")? {
                return Ok(Some(status));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal).context("signal router process")
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        // an error means that the process has already exited
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address with a port that is unlikely to be taken before the router
/// binds it. Ephemeral ports lie above `ROUTER_PORTS`, so neither outgoing connections nor
/// listeners with port 0 use them. A counter keeps ports within this process distinct; its
/// random start makes collisions with other test processes unlikely.
fn choose_address() -> Result<SocketAddr> {
    static NEXT_INDEX: LazyLock<AtomicU32> = LazyLock::new(|| AtomicU32::new(rand::random()));
    for _ in 0..ROUTER_PORTS.len() {
        let index = NEXT_INDEX.fetch_add(1, Ordering::Relaxed) as usize % ROUTER_PORTS.len();
        let port = ROUTER_PORTS.start + index as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("no free router port in {ROUTER_PORTS:?}")
}

fn parse_address(address: &str) -> SocketAddr {
    address.parse().expect("a router address is an IP address and a port")
}
