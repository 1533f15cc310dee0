use {
    super::{
        gateway::Gateway,
        listeners::{Listeners, accept_callers},
        side_server::serve_side,
    },
    crate::{
        callers::Protocol,
        config::RoutingConfig,
        endpoints::EndpointRecord,
        followers::{ConfigSink, EndpointSink, Follower, RecordDecoder, RecordFeed},
        peers::{HostRegistry, announce, receive_gossip, send_gossip},
        settings::{GatewaySettings, load_settings},
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

/// Time for the balancer to see twice that the process is not ready.
const BALANCER_TIME: Duration = Duration::from_millis(2_500);
/// The process exits this much before it would be killed.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Part of the time for a change during which the store may hold a read.
const POLL_WAIT_SHARE: f64 = 0.4;
/// Pause between two looks at whether the last connection has ended.
const STOP_POLL: Duration = Duration::from_millis(100);

/// What a platform gives to a host.
pub struct PlatformAdapters<P, C, E, R> {
    pub protocol: P,
    /// Log of the operators' configuration, and how its records are read.
    pub config: (C, RecordDecoder<Rc<RoutingConfig>>),
    /// Log of the endpoints' records, and how they are read.
    pub endpoints: (E, RecordDecoder<EndpointRecord>),
    pub registry: R,
}

/// Serves callers until a signal asks for a planned stop.
pub fn run<P, C, E, R>(
    settings_path: &Path,
    open: impl FnOnce(&GatewaySettings) -> PlatformAdapters<P, C, E, R>,
) -> Result<()>
where
    P: Protocol,
    C: RecordFeed,
    E: RecordFeed,
    R: HostRegistry,
{
    let settings = load_settings(settings_path)?;
    let _logging = start_logging(&settings.log_spec)?;
    let access = open(&settings);
    let runtime = runtime::Builder::new_current_thread().enable_all().build().context("runtime")?;
    LocalSet::new().block_on(&runtime, serve(settings_path, settings, access))
}

async fn serve<P, C, E, R>(
    settings_path: &Path,
    settings: GatewaySettings,
    access: PlatformAdapters<P, C, E, R>,
) -> Result<()>
where
    P: Protocol,
    C: RecordFeed,
    E: RecordFeed,
    R: HostRegistry,
{
    let mut terminate = signal(SignalKind::terminate()).context("signal handler")?;
    let hangup = signal(SignalKind::hangup()).context("signal handler")?;
    let listeners = Listeners::bind(&settings).await?;
    let gateway = Rc::new(Gateway::new(access.protocol, settings));
    event!(
        "started",
        "host={} zone={} version={}",
        gateway.settings.host,
        gateway.settings.zone,
        env!("CARGO_PKG_VERSION")
    );
    follow_store(&gateway, access.config, access.endpoints);
    spawn_local(announce(access.registry, gateway.peers.clone()));
    let gossip_socket = listeners.gossip;
    spawn_local(receive_gossip(gateway.peers.clone(), gossip_socket.clone()));
    spawn_local(send_gossip(gateway.peers.clone(), gateway.directory.clone(), gossip_socket));
    spawn_local(serve_side(gateway.clone(), listeners.ready));
    spawn_local(serve_side(gateway.clone(), listeners.side));
    if let Some(metrics) = listeners.metrics {
        spawn_local(serve_side(gateway.clone(), metrics));
    }
    spawn_local(accept_callers(gateway.clone(), listeners.callers));
    spawn_local(watch_settings(hangup, settings_path.to_owned(), gateway.settings.clone()));
    terminate.recv().await;
    stop(&gateway).await;
    Ok(())
}

fn follow_store<P, C, E>(
    gateway: &Gateway<P>,
    (config_feed, decode_config): (C, RecordDecoder<Rc<RoutingConfig>>),
    (endpoint_feed, decode_endpoint): (E, RecordDecoder<EndpointRecord>),
) where
    P: Protocol,
    C: RecordFeed,
    E: RecordFeed,
{
    let (peers, metrics) = (&gateway.peers, &gateway.metrics);
    let poll_wait = gateway.settings.bounds.config_apply().mul_f64(POLL_WAIT_SHARE);
    let sink = ConfigSink::new(gateway.config.clone(), decode_config, poll_wait, metrics.clone());
    spawn_local(Follower::new(config_feed, sink, peers.clone(), metrics.clone()).run());
    let heartbeat = Duration::from_millis(gateway.settings.endpoint_heartbeat_ms);
    let directory = gateway.directory.clone();
    let sink = EndpointSink::new(directory, decode_endpoint, heartbeat, metrics.clone());
    spawn_local(Follower::new(endpoint_feed, sink, peers.clone(), metrics.clone()).run());
}

/// Ends without cutting a request off: new connections are turned away first, then
/// idle ones end, then the requests in progress run to their answers.
async fn stop<P: Protocol>(gateway: &Gateway<P>) {
    let exit_at = Instant::now() + gateway.settings.bounds.stop_grace().saturating_sub(EXIT_MARGIN);
    event!("stop_started", "connections={}", gateway.connection_count());
    gateway.stop.begin();
    gateway.peers.stop_relaying();
    sleep(BALANCER_TIME.min(exit_at - Instant::now())).await;
    gateway.stop.close_idle();
    while gateway.connection_count() > 0 && Instant::now() < exit_at {
        sleep(STOP_POLL).await;
    }
    event!("stopped", "connections={}", gateway.connection_count());
}

/// Checks the settings file when a signal says that it has changed.
async fn watch_settings(mut hangup: Signal, path: std::path::PathBuf, current: GatewaySettings) {
    while hangup.recv().await.is_some() {
        match load_settings(&path) {
            Ok(settings) if settings == current => event!("settings_reloaded", "changed=false"),
            Ok(_) => event!("settings_reloaded", "changed=true in_force=after_restart"),
            Err(error) => event!("settings_rejected", "reason={:?}", format!("{error:#}")),
        }
    }
}
