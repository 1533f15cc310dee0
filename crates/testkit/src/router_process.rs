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

/// Ports of routers, below those that the system hands out by itself.
const PORTS: Range<u16> = 10_000..32_000;

/// A router in a process of its own, for kills and pauses. Killed when dropped.
pub struct RouterProcess {
    child: Child,
    settings: Settings,
    _settings_file: NamedTempFile,
}

impl RouterProcess {
    /// Starts the binary with these settings. Addresses with port 0 get a free port.
    pub fn spawn(binary: &Path, mut settings: Settings) -> Result<Self> {
        for address in [
            &mut settings.caller_address,
            &mut settings.operator_address,
            &mut settings.peer_address,
        ] {
            if address.ends_with(":0") {
                *address = reserve_address()?.to_string();
            }
        }
        let mut file = NamedTempFile::with_suffix(".json").context("settings file")?;
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

    /// Settings with the ports that were chosen, to start it again.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    pub fn caller_address(&self) -> SocketAddr {
        parse(&self.settings.caller_address)
    }

    pub fn operator_address(&self) -> SocketAddr {
        parse(&self.settings.operator_address)
    }

    /// User and system time that the process has used.
    pub fn cpu_time(&self) -> Result<Duration> {
        let clock = clock_getcpuclockid(Pid::from_raw(self.child.id() as i32)).context("clock")?;
        Ok(clock.now().context("processor time")?.into())
    }

    /// Resident memory of the process, in bytes.
    pub fn resident_bytes(&self) -> Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        Ok(kib.context("VmRSS")? * 1024)
    }

    /// Waits until the router answers `/healthz`.
    pub fn await_started(&self, wait: Duration) -> Result<()> {
        let deadline = Instant::now() + wait;
        while operator_get(self.operator_address(), "/healthz").is_err() {
            if Instant::now() >= deadline {
                bail!("router {} did not start", self.host_id());
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Ends the process at once.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill().context("kill")?;
        self.child.wait().context("wait")?;
        Ok(())
    }

    /// Stops the process's execution, without ending it.
    pub fn pause(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Continues a paused process.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self, wait: Duration) -> Result<Option<ExitStatus>> {
        let deadline = Instant::now() + wait;
        loop {
            if let Some(status) = self.child.try_wait().context("wait")? {
                return Ok(Some(status));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal).context("signal")
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        // an error means that the process has ended already
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An address whose port nothing else takes before the process binds it. The
/// system hands out ports above this range, so that neither outgoing connections
/// nor listeners with port 0 use one meanwhile; a counter keeps this process's
/// choices apart and a random start those of others.
fn reserve_address() -> Result<SocketAddr> {
    static NEXT: LazyLock<AtomicU32> = LazyLock::new(|| AtomicU32::new(rand::random()));
    for _ in 0..PORTS.len() {
        let index = NEXT.fetch_add(1, Ordering::Relaxed) as usize % PORTS.len();
        let port = PORTS.start + index as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("no free port in {PORTS:?}")
}

fn parse(address: &str) -> SocketAddr {
    address.parse().expect("addresses were checked when the router started")
}
