use {
    crate::{
        fleet_options::FleetOptions,
        objects::{ObjectsBuilder, engine_endpoint, service_endpoint},
        settings::{OPERATOR_TOKEN, router_settings},
    },
    anyhow::{Context, Result, bail, ensure},
    mango_standins::{EngineStandin, PlatformStandin, ServiceStandin},
    mango_wire::config::ConfigObject,
    mangobridge::{Router, RouterHandle},
    serde_json::Value,
    std::{
        io::Write,
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
    tempfile::NamedTempFile,
};

/// Pool of the engines.
pub const ENGINE_POOL: &str = "engines";
/// Pool of the plain services.
pub const SERVICE_POOL: &str = "services";

// Short, because waits for a fleet ask again and again while routers start.
const OPERATOR_WAIT: Duration = Duration::from_secs(1);

/// Platform, endpoints and routers in this process, on loopback.
pub struct LocalFleet {
    pub platform: PlatformStandin,
    pub engines: Vec<EngineStandin>,
    pub services: Vec<ServiceStandin>,
    pub routers: Vec<RouterHandle>,
    options: FleetOptions,
    token_file: NamedTempFile,
}

impl LocalFleet {
    /// Starts all parts. The routers have no configuration yet.
    pub fn spawn(options: FleetOptions) -> Result<Self> {
        let platform = PlatformStandin::spawn();
        let engines = options.engines.iter().cloned().map(EngineStandin::spawn).collect();
        let services = options.services.iter().copied().map(ServiceStandin::spawn).collect();
        let mut token_file = NamedTempFile::new().context("token file")?;
        write!(token_file, "{OPERATOR_TOKEN}").context("token file")?;
        let mut fleet =
            Self { platform, engines, services, routers: Vec::new(), options, token_file };
        for index in 0..fleet.options.routers {
            fleet.start_router(index)?;
        }
        Ok(fleet)
    }

    /// Starts one more router.
    pub fn start_router(&mut self, index: usize) -> Result<()> {
        let zone = format!("zone-{}", index % self.options.zones.max(1));
        let mut settings = router_settings(&self.platform, &format!("host-{index}"), &zone);
        (self.options.adjust)(&mut settings);
        self.routers.push(Router::spawn(settings)?);
        Ok(())
    }

    /// Endpoints and pools of this fleet, to which teams, work and routes are added.
    pub fn objects(&self, cap_multiple: f64) -> ObjectsBuilder {
        let mut objects = ObjectsBuilder::default()
            .pool(ENGINE_POOL, cap_multiple)
            .pool(SERVICE_POOL, cap_multiple);
        for (index, engine) in self.engines.iter().enumerate() {
            let options = &self.options.engines[index];
            let mut endpoint =
                engine_endpoint(&options.name, engine.address(), ENGINE_POOL, options.slots as u32);
            endpoint.weight = options.weight;
            objects = objects.endpoint(endpoint);
        }
        for (index, service) in self.services.iter().enumerate() {
            let id = format!("service-{index}");
            objects = objects.endpoint(service_endpoint(&id, service.address(), SERVICE_POOL, 64));
        }
        objects
    }

    /// Applies objects as `mangoctl apply --wait` does.
    pub fn apply(&self, objects: &[ConfigObject]) -> Result<()> {
        let mut file = NamedTempFile::with_suffix(".json").context("objects file")?;
        file.write_all(&serde_json::to_vec_pretty(objects)?)?;
        self.ctl(&["apply", "-f", &file.path().to_string_lossy(), "--wait"]).map(|_| ())
    }

    /// Runs one `mangoctl` command against the first router and returns its output.
    pub fn ctl(&self, args: &[&str]) -> Result<String> {
        let router = self.routers.first().context("no router")?;
        let url = format!("http://{}", router.operator_address());
        let token = self.token_file.path().to_string_lossy().into_owned();
        let mut line = vec!["mangoctl", "--router", &url, "--token-file", &token];
        line.extend(args);
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let code = mangoctl::run(line, &mut out, &mut err);
        ensure!(code == 0, "mangoctl {args:?} exited {code}: {}", String::from_utf8_lossy(&err));
        Ok(String::from_utf8_lossy(&out).into_owned())
    }

    /// Path of the file with the operators' token.
    pub fn token_path(&self) -> &std::path::Path {
        self.token_file.path()
    }

    /// Waits until every router is ready, and every endpoint has an owner that
    /// has gone through its start-up wait.
    pub fn await_ready(&self, wait: Duration) -> Result<()> {
        let deadline = Instant::now() + wait;
        loop {
            let missing = self.missing();
            let Some(missing) = missing else { return Ok(()) };
            if Instant::now() >= deadline {
                bail!("fleet not ready in time: {missing}");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// What keeps the fleet from being ready.
    fn missing(&self) -> Option<String> {
        let states: Vec<Value> =
            match self.routers.iter().map(|r| state(r.operator_address())).collect() {
                Ok(states) => states,
                Err(e) => return Some(format!("{e:#}")),
            };
        let hosts = states.len();
        let mut acting = 0;
        for state in &states {
            if state["host"]["ready"] != true {
                return Some(format!("{} is not ready", state["host"]["host_id"]));
            }
            let live = state["members"]["live"].as_array().map_or(0, Vec::len);
            if live != hosts {
                return Some(format!("{} sees {live} hosts", state["host"]["host_id"]));
            }
            acting += state["owned_engines"].as_array().map_or(0, Vec::len);
        }
        let endpoints = self.engines.len() + self.services.len();
        (acting < endpoints).then(|| format!("{acting} of {endpoints} endpoints have owners"))
    }

    /// Addresses for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(RouterHandle::caller_address).collect()
    }
}

/// State dump of a router.
pub fn state(operators: SocketAddr) -> Result<Value> {
    let text = operator_get(operators, "/state")?;
    serde_json::from_str(&text).context("state dump")
}

/// Answer of a router's operators' address.
pub fn operator_get(operators: SocketAddr, path: &str) -> Result<String> {
    let mut response = ureq::get(format!("http://{operators}{path}"))
        .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
        .config()
        .timeout_global(Some(OPERATOR_WAIT))
        .build()
        .call()
        .with_context(|| format!("GET {path}"))?;
    response.body_mut().read_to_string().context("operators' answer")
}
