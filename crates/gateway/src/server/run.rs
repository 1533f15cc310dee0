use {
    super::{
        gateway::Gateway,
        internal_server::serve_internal,
        listeners::{Listeners, accept_callers},
    },
    crate::{
        callers::Protocol,
        endpoints::EndpointRecord,
        followers::{ConfigSink, EndpointSink, Follower, OperatorRecords, RecordDecoder},
        peers::{Gossip, HostRegistry, announce, receive_gossip, send_gossip},
        records::RecordFeed,
        settings::{GatewaySettings, load_settings},
        stream_origins::{OriginReader, OriginStore, VersionPublisher, write_origins},
        telemetry::{event, start_logging},
    },
    anyhow::{Context, Result},
    std::{path::Path, rc::Rc, time::Duration},
    tokio::{
        runtime,
        signal::unix::{Signal, SignalKind, signal},
        task::{LocalSet, spawn_local},
        time::{Instant, sleep},
    },
};

/// Time within which two readiness probes of the load balancer fail, so that it opens no new
/// connections.
const READINESS_PROBE_TIME: Duration = Duration::from_millis(2_500);
/// The process exits this long before the end of the stop grace period, when it would be killed.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Fraction of the time to apply a configuration change for which the store may delay the
/// response to a read while there are no new records.
const POLL_WAIT_FRACTION: f64 = 0.4;
/// Requests in progress get their last response this long before the process exits.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(300);
/// Pause between two reads of the endpoint records, as a fraction of the time after which a leaving
/// endpoint must receive no requests.
const ENDPOINT_POLL_FRACTION: f64 = 0.375;
/// Interval between checks for open connections during a stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Implementations of the gateway's interfaces for a platform.
pub struct PlatformAdapters<P, C, E, R, O> {
    pub protocol: P,
    /// Log of the operators' records and how they are read.
    pub operators: (C, OperatorRecords),
    /// Log of the endpoint records and their decoder.
    pub endpoints: (E, RecordDecoder<EndpointRecord>),
    pub registry: R,
    /// Store of the origins of streams, with a connection of its own for each kind of call.
    pub origins: OriginStores<O>,
}

/// Handles to the store of the origins of streams.
pub struct OriginStores<O> {
    pub reader: O,
    pub writer: O,
    pub version_publisher: O,
}

/// Loads the settings and serves callers until SIGTERM requests a graceful stop.
/// `open_platform` creates the adapters to the platform.
pub fn run<P, C, E, R, O>(
    settings_path: &Path,
    open_platform: impl FnOnce(&GatewaySettings) -> PlatformAdapters<P, C, E, R, O>,
) -> Result<()>
where
    P: Protocol,
    C: RecordFeed,
    E: RecordFeed,
    R: HostRegistry,
    O: OriginStore,
{
    let settings = load_settings(settings_path)?;
    let _logging = start_logging(&settings.log_spec)?;
    let adapters = open_platform(&settings);
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot create the async runtime")?;
    LocalSet::new().block_on(&runtime, serve(settings_path, settings, adapters))
}

/// Starts all tasks, waits for SIGTERM and stops gracefully.
async fn serve<P, C, E, R, O>(
    settings_path: &Path,
    settings: GatewaySettings,
    adapters: PlatformAdapters<P, C, E, R, O>,
) -> Result<()>
where
    P: Protocol,
    C: RecordFeed,
    E: RecordFeed,
    R: HostRegistry,
    O: OriginStore,
{
    let mut terminate =
        signal(SignalKind::terminate()).context("cannot install the SIGTERM handler")?;
    let hangup = signal(SignalKind::hangup()).context("cannot install the SIGHUP handler")?;
    let listeners = Listeners::bind(&settings).await?;
    let gateway = Rc::new(Gateway::new(adapters.protocol, settings));
    event!(
        "started",
        "host={} zone={} version={}",
        gateway.settings.host,
        gateway.settings.zone,
        env!("CARGO_PKG_VERSION")
    );
    spawn_followers(&gateway, adapters.operators, adapters.endpoints);
    spawn_origin_tasks(&gateway, adapters.origins);
    let is_first_start = gateway.settings.is_first_start;
    spawn_local(announce(adapters.registry, gateway.peers.clone(), is_first_start));
    let gossip_socket = listeners.gossip;
    let gossip = Gossip {
        state: gateway.peers.clone(),
        directory: gateway.directory.clone(),
        blocklist: gateway.blocklist.clone(),
        socket: gossip_socket,
    };
    spawn_local(receive_gossip(gossip.clone()));
    spawn_local(send_gossip(gossip));
    spawn_local(serve_internal(gateway.clone(), listeners.ready));
    spawn_local(serve_internal(gateway.clone(), listeners.side));
    if let Some(metrics) = listeners.metrics {
        spawn_local(serve_internal(gateway.clone(), metrics));
    }
    spawn_local(accept_callers(gateway.clone(), listeners.callers));
    spawn_local(check_settings_on_hangup(
        hangup,
        settings_path.to_owned(),
        gateway.settings.clone(),
    ));
    terminate.recv().await;
    stop(&gateway).await;
    Ok(())
}

/// Starts the followers that read the configuration and the endpoint records.
fn spawn_followers<P, C, E>(
    gateway: &Gateway<P>,
    (operators_feed, operator_records): (C, OperatorRecords),
    (endpoint_feed, decode_endpoint): (E, RecordDecoder<EndpointRecord>),
) where
    P: Protocol,
    C: RecordFeed,
    E: RecordFeed,
{
    let (peers, metrics) = (&gateway.peers, &gateway.metrics);
    let poll_wait = gateway.settings.bounds.config_apply().mul_f64(POLL_WAIT_FRACTION);
    let (config, evacuations) = (gateway.config.clone(), gateway.evacuations.clone());
    let sink = ConfigSink::new(config, evacuations, operator_records, poll_wait, metrics.clone());
    spawn_local(Follower::new(operators_feed, sink, peers.clone(), metrics.clone()).run());
    let heartbeat = Duration::from_millis(gateway.settings.endpoint_heartbeat_ms);
    let directory = gateway.directory.clone();
    let poll_pause = gateway.settings.bounds.endpoint_drain().mul_f64(ENDPOINT_POLL_FRACTION);
    let sink =
        EndpointSink::new(directory, decode_endpoint, heartbeat, poll_pause, metrics.clone());
    spawn_local(Follower::new(endpoint_feed, sink, peers.clone(), metrics.clone()).run());
}

/// Starts the tasks that share the origins of streams with other hosts.
fn spawn_origin_tasks<P, O: OriginStore>(gateway: &Gateway<P>, stores: OriginStores<O>) {
    let shared = || (gateway.origins.clone(), gateway.peers.clone(), gateway.metrics.clone());
    let (origins, peers, metrics) = shared();
    spawn_local(OriginReader::new(stores.reader, origins, peers, metrics).run());
    let (origins, peers, metrics) = shared();
    spawn_local(write_origins(stores.writer, origins, peers, metrics));
    let (origins, peers, metrics) = shared();
    let store = stores.version_publisher;
    spawn_local(VersionPublisher::new(store, origins, peers, metrics).run());
}

/// Stops without interrupting requests: first the load balancer stops opening connections, then
/// idle connections are closed, then the requests in progress run until their responses are
/// sent. Requests that would outlast the grace period are refused; those that do are told that
/// their outcome is unknown before the process exits.
async fn stop<P: Protocol>(gateway: &Gateway<P>) {
    let exit_at = Instant::now() + gateway.settings.bounds.stop_grace().saturating_sub(EXIT_MARGIN);
    event!("stop_started", "connections={}", gateway.connection_count());
    gateway.stop.begin((exit_at - LAST_RESPONSE_TIME).into_std());
    gateway.peers.stop_relaying();
    sleep(READINESS_PROBE_TIME.min(exit_at - Instant::now())).await;
    gateway.stop.close_idle();
    while gateway.connection_count() > 0 && Instant::now() < exit_at {
        sleep(STOP_POLL_INTERVAL).await;
    }
    event!("stopped", "connections={}", gateway.connection_count());
}

/// Loads the settings file at each SIGHUP and logs whether it is valid and has changed. Changed
/// settings take effect only after a restart.
async fn check_settings_on_hangup(
    mut hangup: Signal,
    path: std::path::PathBuf,
    current: GatewaySettings,
) {
    while hangup.recv().await.is_some() {
        match load_settings(&path) {
            Ok(settings) if settings == current => event!("settings_reloaded", "changed=false"),
            Ok(_) => event!("settings_reloaded", "changed=true in_force=after_restart"),
            Err(error) => event!("settings_rejected", "reason={:?}", format!("{error:#}")),
        }
    }
}
