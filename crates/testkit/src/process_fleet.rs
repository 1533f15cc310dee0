use {
    crate::{
        fleet::fetch_state,
        objects::{ObjectsBuilder, engine_endpoint},
        router_process::RouterProcess,
        settings::{OPERATOR_TOKEN, router_settings},
    },
    anyhow::{Context, Result, bail, ensure},
    mango_standins::{EngineOptions, EngineStandin, PlatformStandin},
    mango_wire::config::ConfigObject,
    std::{
        io::Write,
        net::SocketAddr,
        path::Path,
        thread,
        time::{Duration, Instant},
    },
    tempfile::NamedTempFile,
};

/// Exit code of `mangoctl` if the router did not answer or the effect is not confirmed. On a
/// busy machine, a router's operator server occasionally leaves a request unanswered
/// (`docs/MEASUREMENTS.md`), so `ProcessFleet::apply` retries once.
const UNCONFIRMED_EXIT_CODE: u8 = 3;

/// Test fleet with one process per router; the platform and engines run in this process.
pub struct ProcessFleet {
    /// Declared first, because fields are dropped in order: routers must end before their
    /// platform.
    pub routers: Vec<RouterProcess>,
    pub engines: Vec<EngineStandin>,
    pub platform: PlatformStandin,
    engine_options: Vec<EngineOptions>,
}

impl ProcessFleet {
    /// Starts the platform, engines and routers. The routers have no configuration yet.
    pub fn spawn(
        binary: &Path,
        routers: usize,
        engine_options: Vec<EngineOptions>,
    ) -> Result<Self> {
        let platform = PlatformStandin::spawn();
        let engines = engine_options.iter().cloned().map(EngineStandin::spawn).collect();
        let start_router = |index: usize| {
            let zone = format!("zone-{}", index % 2);
            let settings = router_settings(&platform, &format!("host-{index}"), &zone);
            RouterProcess::spawn(binary, settings)
        };
        let mut routers = (0..routers).map(start_router).collect::<Result<Vec<_>>>()?;
        for (index, router) in routers.iter_mut().enumerate() {
            // the router exits if another process bound its port after the port was chosen
            if router.wait(Duration::from_millis(20))?.is_some() {
                *router = start_router(index)?;
            }
            router.await_started(Duration::from_secs(10))?;
        }
        Ok(Self { platform, engines, routers, engine_options })
    }

    /// Returns a builder with the engines as endpoints of one pool.
    pub fn objects(&self, pool: &str, cap_multiple: f64) -> ObjectsBuilder {
        let objects = ObjectsBuilder::default().pool(pool, cap_multiple);
        self.engines.iter().zip(&self.engine_options).fold(objects, |objects, (engine, options)| {
            let slots = options.slots as u32;
            objects.endpoint(engine_endpoint(&options.name, engine.address(), pool, slots))
        })
    }

    /// Applies the objects with `mangoctl apply --wait`, then waits until every router sees all
    /// hosts live and all engines have owners. Retries the command once if the router does
    /// not answer or the effect is not confirmed.
    pub fn apply(&self, objects: &[ConfigObject], timeout: Duration) -> Result<()> {
        let mut file = NamedTempFile::with_suffix(".json").context("create objects file")?;
        file.write_all(&serde_json::to_vec(objects)?)?;
        let mut token = NamedTempFile::new().context("create token file")?;
        write!(token, "{OPERATOR_TOKEN}").context("write token file")?;
        let router = self.routers.first().context("fleet has no router")?;
        let url = format!("http://{}", router.operator_address());
        let (file, token) = (file.path().to_string_lossy(), token.path().to_string_lossy());
        let command_line =
            ["mangoctl", "--router", &url, "--token-file", &token, "apply", "-f", &file, "--wait"];
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let mut code = mangoctl::run(command_line, &mut out, &mut err);
        if code == UNCONFIRMED_EXIT_CODE {
            code = mangoctl::run(command_line, &mut out, &mut err);
        }
        ensure!(
            code == 0,
            "mangoctl apply exited with code {code}: {}",
            String::from_utf8_lossy(&err)
        );
        self.await_owners(timeout)
    }

    /// Waits until every router sees all hosts live and all engines have owners.
    fn await_owners(&self, timeout: Duration) -> Result<()> {
        let deadline = Instant::now() + timeout;
        loop {
            let mut owned = 0;
            let mut all_live = true;
            for router in &self.routers {
                // without an answer, the state is null, which shows no live hosts
                let state = fetch_state(router.operator_address()).unwrap_or_default();
                let live = state["members"]["live"].as_array().map_or(0, Vec::len);
                all_live &= live == self.routers.len();
                owned += state["owned_engines"].as_array().map_or(0, Vec::len);
            }
            if all_live && owned >= self.engines.len() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                bail!(
                    "fleet not ready after {timeout:?}: {owned} of {} engines have owners, all hosts live: {all_live}",
                    self.engines.len()
                );
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Caller address of each router.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(RouterProcess::caller_address).collect()
    }
}
