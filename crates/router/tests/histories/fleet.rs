use {
    crate::plan::RunPlan,
    anyhow::{Context, Result, bail},
    mango_standins::{
        EngineOptions, EngineStandin, FaultProxy, PlatformStandin, ServiceOptions, ServiceStandin,
    },
    mango_testkit::{
        ENGINE_POOL, ObjectsBuilder, RouterProcess, SERVICE_POOL, engine_endpoint, router_settings,
        service_endpoint,
    },
    mango_wire::{
        config::{Change, ConfigObject, ConfigRecord, WorkClass},
        platform::{HostEntry, HostState},
        records::{FleetRecord, Join},
        settings::{
            AdmissionSettings, ClaimSettings, DispatchSettings, MembershipSettings,
            OwnershipSettings, Settings,
        },
    },
    parking_lot::Mutex,
    serde_json::Value,
    std::{
        net::SocketAddr,
        path::Path,
        thread,
        time::{Duration, Instant},
    },
    ureq::Agent,
};

pub(crate) const TEAM: &str = "gold";
pub(crate) const BOOKING: &str = "booking";
pub(crate) const CHAT: &str = "chat";
pub(crate) const SERVICE: &str = "ledger";

const START_TIMEOUT: Duration = Duration::from_secs(10);
// Another process can take a router's port before the router binds it.
const MAX_START_ATTEMPTS: usize = 3;

/// The router process of a host.
pub(crate) struct RouterInstance {
    pub(crate) process: RouterProcess,
    /// Unique among all router processes of the run; a restart changes it.
    pub(crate) number: usize,
    /// False after a crash or planned stop, until a restart.
    pub(crate) is_running: bool,
}

/// Addresses of one host; a restart keeps them.
#[derive(Clone, Copy)]
pub(crate) struct HostAddresses {
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
}

/// A fleet for one run: stand-ins for the platform and the endpoints in this process, and
/// each router in a process of its own. Proxies in front of the log, the endpoints and the
/// peer ports inject network faults.
pub(crate) struct ProxiedFleet {
    pub(crate) platform: PlatformStandin,
    pub(crate) engines: Vec<EngineStandin>,
    pub(crate) service: ServiceStandin,
    pub(crate) endpoint_proxies: Vec<FaultProxy>,
    pub(crate) log_proxies: Vec<FaultProxy>,
    pub(crate) peer_proxies: Vec<FaultProxy>,
    pub(crate) hosts: Vec<HostAddresses>,
    pub(crate) routers: Vec<Mutex<RouterInstance>>,
}

impl ProxiedFleet {
    /// Starts all parts and waits until endpoints, key ranges and configuration have owners.
    pub(crate) fn spawn(plan: &RunPlan) -> Result<Self> {
        let platform = PlatformStandin::spawn();
        let engines: Vec<_> =
            (0..2).map(|index| EngineStandin::spawn(engine_options(index))).collect();
        let service = ServiceStandin::spawn(ServiceOptions { service_ms: 5, max_in_flight: 256 });
        let mut endpoint_proxies: Vec<_> =
            engines.iter().map(|engine| FaultProxy::spawn(engine.address())).collect();
        endpoint_proxies.push(FaultProxy::spawn(service.address()));
        let record = ConfigRecord::Change(Change {
            author: "test".to_owned(),
            based_on: 0,
            change_id: "initial".to_owned(),
            delete: Vec::new(),
            made_at_ms: 0,
            put: config_objects(&endpoint_proxies),
        });
        platform.append("config", &serde_json::to_string(&record)?);
        let mut fleet = Self {
            platform,
            engines,
            service,
            endpoint_proxies,
            log_proxies: Vec::new(),
            peer_proxies: Vec::new(),
            hosts: Vec::new(),
            routers: Vec::new(),
        };
        for index in 0..plan.routers {
            fleet.start_host(index)?;
        }
        fleet.await_owners()?;
        fleet.route_peers_through_proxies()?;
        Ok(fleet)
    }

    fn start_host(&mut self, index: usize) -> Result<()> {
        let log_proxy = FaultProxy::spawn(self.platform.address());
        let mut settings = router_settings(&self.platform, &format!("host-{index}"), "zone-a");
        settings.platform.log_url = format!("http://{}", log_proxy.address());
        shorten_timings(&mut settings);
        let process = RouterProcess::spawn(router_binary(), settings)?;
        self.hosts.push(HostAddresses {
            callers: process.caller_address(),
            operators: process.operator_address(),
        });
        self.log_proxies.push(log_proxy);
        self.routers.push(Mutex::new(RouterInstance { process, number: index, is_running: true }));
        Ok(())
    }

    /// Starts a new router process on a host whose process has ended.
    pub(crate) fn restart_host(&self, index: usize) -> Result<()> {
        let mut router = self.routers[index].lock();
        let settings = router.process.settings().clone();
        router.process = RouterProcess::spawn(router_binary(), settings)?;
        router.number += self.routers.len();
        router.is_running = true;
        Ok(())
    }

    /// Waits until the routers own all endpoints, key ranges and the configuration.
    /// Restarts routers that exit meanwhile, on new ports.
    fn await_owners(&mut self) -> Result<()> {
        let agent = agent(Duration::from_secs(1));
        let deadline = Instant::now() + START_TIMEOUT;
        let mut attempts = 1;
        loop {
            let states: Vec<_> =
                self.hosts.iter().map(|host| get(&agent, host.operators, "/state")).collect();
            let owned: usize = states
                .iter()
                .flatten()
                .map(|state| state["owned_engines"].as_array().map_or(0, Vec::len))
                .sum();
            let owned_resources: usize = states
                .iter()
                .flatten()
                .map(|state| state["ownership"]["resources"].as_object().map_or(0, |o| o.len()))
                .sum();
            let endpoint_count = self.endpoint_proxies.len();
            // the resources are the endpoints, the key ranges and the configuration
            let all_respond = states.iter().all(Result::is_ok);
            if all_respond
                && owned >= endpoint_count
                && owned_resources > endpoint_count + KEY_RANGES as usize
            {
                return Ok(());
            }
            for index in 0..self.routers.len() {
                let ended = self.routers[index].get_mut().process.wait(Duration::ZERO)?.is_some();
                if ended && attempts < MAX_START_ATTEMPTS {
                    attempts += 1;
                    self.restart_on_new_ports(index)?;
                }
            }
            if Instant::now() >= deadline {
                let shown: Vec<_> = states.iter().flatten().map(describe_state).collect();
                bail!(
                    "fleet did not start: {owned} of {endpoint_count} endpoints have acting owners; {shown:?}"
                );
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn restart_on_new_ports(&mut self, index: usize) -> Result<()> {
        let router = self.routers[index].get_mut();
        let mut settings = router.process.settings().clone();
        for address in [
            &mut settings.caller_address,
            &mut settings.operator_address,
            &mut settings.peer_address,
        ] {
            *address = "127.0.0.1:0".to_owned();
        }
        router.process = RouterProcess::spawn(router_binary(), settings)?;
        self.hosts[index] = HostAddresses {
            callers: router.process.caller_address(),
            operators: router.process.operator_address(),
        };
        Ok(())
    }

    /// Registers proxies as the hosts' peer addresses, so that traffic between routers
    /// can be held back, and adds the hosts to the platform's host list.
    fn route_peers_through_proxies(&mut self) -> Result<()> {
        let agent = agent(Duration::from_secs(1));
        for (index, host) in self.hosts.iter().enumerate() {
            let state = get(&agent, host.operators, "/state")?;
            let text = |name: &str| state["host"][name].as_str().unwrap_or_default().to_owned();
            let target = self.routers[index].lock().process.settings().peer_address.parse()?;
            let proxy = FaultProxy::spawn(target);
            let join = FleetRecord::Join(Join {
                at_ms: 0,
                host_id: text("host_id"),
                identity: text("identity"),
                peer_address: proxy.address().to_string(),
                region: text("region"),
                zone: text("zone"),
            });
            self.platform.append("fleet", &serde_json::to_string(&join)?);
            self.platform.put_host(HostEntry {
                host_id: text("host_id"),
                peer_address: proxy.address().to_string(),
                state: HostState::Live,
            });
            self.peer_proxies.push(proxy);
        }
        Ok(())
    }
}

pub(crate) const KEY_RANGES: u32 = 2;

fn router_binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_mangobridge"))
}

fn engine_options(index: usize) -> EngineOptions {
    EngineOptions {
        name: format!("engine-{index}"),
        slots: 8,
        step_ms: 4.0,
        load_lag_ms: 50,
        cache_event_delay_ms: 20,
        ..EngineOptions::default()
    }
}

fn config_objects(proxies: &[FaultProxy]) -> Vec<ConfigObject> {
    let mut objects = ObjectsBuilder::default().pool(ENGINE_POOL, 2.0).pool(SERVICE_POOL, 2.0);
    let (service, engines) = proxies.split_last().expect("the service has a proxy");
    for (index, engine) in engines.iter().enumerate() {
        let id = format!("engine-{index}");
        objects = objects.endpoint(engine_endpoint(&id, engine.address(), ENGINE_POOL, 8));
    }
    objects
        .endpoint(service_endpoint(SERVICE, service.address(), SERVICE_POOL, 64))
        .team(TEAM, 1.0, 1000)
        .work(BOOKING, false, WorkClass::Normal, 1, 800)
        .work(CHAT, true, WorkClass::Normal, 8, 800)
        .route(BOOKING, SERVICE_POOL, Some(SERVICE))
        .route(CHAT, ENGINE_POOL, None)
        .build()
}

/// Sets timings of about a seventh of the defaults, to keep the runs short.
fn shorten_timings(settings: &mut Settings) {
    settings.platform.poll_ms = 30;
    settings.platform.request_ms = 200;
    settings.platform.reconnect_max_ms = 100;
    settings.platform.host_list_ms = 100;
    settings.ownership = Some(OwnershipSettings { lease_ms: 150, rebalance_ms: 30 });
    settings.membership = Some(MembershipSettings {
        heartbeat_ms: 30,
        suspect_ms: 150,
        gossip_ms: 40,
        gossip_bytes_per_s: 100_000,
        ..MembershipSettings::default()
    });
    settings.admission = Some(AdmissionSettings {
        dispatch_ms: 150,
        permit_idle_ms: 300,
        load_ttl_ms: 200,
        ..AdmissionSettings::default()
    });
    settings.dispatch =
        Some(DispatchSettings { connect_ms: 200, stall_ms: 300, ..DispatchSettings::default() });
    settings.claims = Some(ClaimSettings {
        batch_ms: 5,
        clock_skew_ms: 50,
        key_ranges: KEY_RANGES,
        ..ClaimSettings::default()
    });
    settings.log_spec = std::env::var("HISTORY_LOG").unwrap_or_else(|_| "error".to_owned());
}

/// Creates an HTTP client for operators' addresses, with a timeout for each request.
pub(crate) fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(timeout))
        .build()
        .new_agent()
}

/// Sends a GET to an operators' address and returns the JSON answer.
pub(crate) fn get(agent: &Agent, address: SocketAddr, path: &str) -> Result<Value> {
    let mut response = agent
        .get(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {}", mango_testkit::OPERATOR_TOKEN))
        .call()
        .with_context(|| format!("GET {path}"))?;
    Ok(serde_json::from_str(&response.body_mut().read_to_string()?)?)
}

/// Sends a POST to an operators' address and returns the status and the JSON answer.
pub(crate) fn post(
    agent: &Agent,
    address: SocketAddr,
    path: &str,
    body: &str,
) -> Result<(u16, Value)> {
    let mut response = agent
        .post(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {}", mango_testkit::OPERATOR_TOKEN))
        .content_type("application/json")
        .send(body)
        .with_context(|| format!("POST {path}"))?;
    let text = response.body_mut().read_to_string()?;
    Ok((response.status().as_u16(), serde_json::from_str(&text).unwrap_or_default()))
}

/// Summarises a router's view of the fleet, for the error of a fleet that does not start.
fn describe_state(state: &Value) -> String {
    let live = state["members"]["live"].as_array().map_or(0, Vec::len);
    format!(
        "{}: live {live}, registered {}, version {}, {}",
        state["host"]["host_id"],
        state["members"]["registered"],
        state["config"]["version"],
        state["ownership"]
    )
}
