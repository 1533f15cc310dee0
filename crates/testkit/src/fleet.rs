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

/// Id of the pool that contains all engines (model servers) of a test fleet.
pub const ENGINE_POOL: &str = "engines";
/// Id of the pool that contains all plain services of a test fleet.
pub const SERVICE_POOL: &str = "services";

/// Timeout of one request to a router's operator address. Short, because readiness
/// checks poll the routers repeatedly while they start.
const OPERATOR_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Test fleet whose platform, endpoints and routers run in this process, on loopback.
pub struct LocalFleet {
    pub platform: PlatformStandin,
    pub engines: Vec<EngineStandin>,
    pub services: Vec<ServiceStandin>,
    pub routers: Vec<RouterHandle>,
    options: FleetOptions,
    token_file: NamedTempFile,
}

impl LocalFleet {
    /// Starts the platform, endpoints and routers. The routers have no configuration yet.
    pub fn spawn(options: FleetOptions) -> Result<Self> {
        let platform = PlatformStandin::spawn();
        let engines = options.engines.iter().cloned().map(EngineStandin::spawn).collect();
        let services = options.services.iter().copied().map(ServiceStandin::spawn).collect();
        let mut token_file = NamedTempFile::new().context("create token file")?;
        write!(token_file, "{OPERATOR_TOKEN}").context("write token file")?;
        let mut fleet =
            Self { platform, engines, services, routers: Vec::new(), options, token_file };
        for index in 0..fleet.options.routers {
            fleet.start_router(index)?;
        }
        Ok(fleet)
    }

    /// Starts one more router, with host id `host-{index}`.
    pub fn start_router(&mut self, index: usize) -> Result<()> {
        let zone = format!("zone-{}", index % self.options.zones.max(1));
        let mut settings = router_settings(&self.platform, &format!("host-{index}"), &zone);
        (self.options.adjust)(&mut settings);
        self.routers.push(Router::spawn(settings)?);
        Ok(())
    }

    /// Returns a builder with this fleet's endpoints and pools, to which the caller adds
    /// teams, work and routes.
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

    /// Applies the objects with `mangoctl apply --wait`.
    pub fn apply(&self, objects: &[ConfigObject]) -> Result<()> {
        let mut file = NamedTempFile::with_suffix(".json").context("create objects file")?;
        file.write_all(&serde_json::to_vec_pretty(objects)?)?;
        self.run_mangoctl(&["apply", "-f", &file.path().to_string_lossy(), "--wait"]).map(|_| ())
    }

    /// Runs one `mangoctl` command against the first router and returns its output.
    pub fn run_mangoctl(&self, args: &[&str]) -> Result<String> {
        let router = self.routers.first().context("fleet has no router")?;
        let url = format!("http://{}", router.operator_address());
        let token = self.token_file.path().to_string_lossy().into_owned();
        let mut command_line = vec!["mangoctl", "--router", &url, "--token-file", &token];
        command_line.extend(args);
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let code = mangoctl::run(command_line, &mut out, &mut err);
        ensure!(
            code == 0,
            "mangoctl {args:?} exited with code {code}: {}",
            String::from_utf8_lossy(&err)
        );
        Ok(String::from_utf8_lossy(&out).into_owned())
    }

    /// Path of the file that contains the operator token.
    pub fn token_path(&self) -> &std::path::Path {
        self.token_file.path()
    }

    /// Waits until every router is ready and sees all hosts live, and every endpoint has an
    /// owner that has begun to act, which a new owner does only after a wait.
    pub fn await_ready(&self, timeout: Duration) -> Result<()> {
        let deadline = Instant::now() + timeout;
        loop {
            let pending = self.pending_condition();
            let Some(pending) = pending else { return Ok(()) };
            if Instant::now() >= deadline {
                bail!("fleet not ready after {timeout:?}: {pending}");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Describes the first readiness condition that is not met; `None` if the fleet is ready.
    fn pending_condition(&self) -> Option<String> {
        let states: Vec<Value> =
            match self.routers.iter().map(|r| fetch_state(r.operator_address())).collect() {
                Ok(states) => states,
                Err(e) => return Some(format!("{e:#}")),
            };
        let hosts = states.len();
        let mut owned = 0;
        for state in &states {
            if state["host"]["ready"] != true {
                return Some(format!("{} is not ready", state["host"]["host_id"]));
            }
            let live = state["members"]["live"].as_array().map_or(0, Vec::len);
            if live != hosts {
                return Some(format!(
                    "{} sees {live} of {hosts} hosts live",
                    state["host"]["host_id"]
                ));
            }
            // despite its name, this list also contains plain services
            owned += state["owned_engines"].as_array().map_or(0, Vec::len);
        }
        let endpoints = self.engines.len() + self.services.len();
        (owned < endpoints).then(|| format!("{owned} of {endpoints} endpoints have owners"))
    }

    /// Caller address of each router.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(RouterHandle::caller_address).collect()
    }
}

/// Requests the state dump of a router from its operator address.
pub fn fetch_state(operator_address: SocketAddr) -> Result<Value> {
    let text = operator_get(operator_address, "/state")?;
    serde_json::from_str(&text).context("parse state dump")
}

/// Sends a GET request to a router's operator address and returns the response body.
pub fn operator_get(operator_address: SocketAddr, path: &str) -> Result<String> {
    let mut response = ureq::get(format!("http://{operator_address}{path}"))
        .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
        .config()
        .timeout_global(Some(OPERATOR_REQUEST_TIMEOUT))
        .build()
        .call()
        .with_context(|| format!("GET {path}"))?;
    response.body_mut().read_to_string().context("read operator response body")
}
