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
        followers::{RecordFeed, follow_config, follow_endpoints},
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
/// Pause between two looks at whether the last connection has ended.
const STOP_POLL: Duration = Duration::from_millis(100);

/// Serves callers until a signal asks for a planned stop.
///
/// `open_config` and `open_endpoints` open the feeds of the platform's store.
pub fn run<P, C, E>(
    settings_path: &Path,
    protocol: P,
    open_config: impl FnOnce(&GatewaySettings) -> C,
    open_endpoints: impl FnOnce(&GatewaySettings) -> E,
) -> Result<()>
where
    P: Protocol,
    C: RecordFeed<Value = Rc<RoutingConfig>>,
    E: RecordFeed<Value = EndpointRecord>,
{
    let settings = load_settings(settings_path)?;
    let _logging = start_logging(&settings.log_spec)?;
    let feeds = (open_config(&settings), open_endpoints(&settings));
    let gateway = Rc::new(Gateway::new(protocol, settings));
    let runtime = runtime::Builder::new_current_thread().enable_all().build().context("runtime")?;
    LocalSet::new().block_on(&runtime, serve(settings_path, gateway, feeds))
}

async fn serve<P, C, E>(
    settings_path: &Path,
    gateway: Rc<Gateway<P>>,
    (config_feed, endpoint_feed): (C, E),
) -> Result<()>
where
    P: Protocol,
    C: RecordFeed<Value = Rc<RoutingConfig>>,
    E: RecordFeed<Value = EndpointRecord>,
{
    let mut terminate = signal(SignalKind::terminate()).context("signal handler")?;
    let hangup = signal(SignalKind::hangup()).context("signal handler")?;
    let listeners = Listeners::bind(&gateway.settings).await?;
    event!(
        "started",
        "host={} zone={} version={}",
        gateway.settings.host,
        gateway.settings.zone,
        env!("CARGO_PKG_VERSION")
    );
    spawn_local(follow_config(config_feed, gateway.config.clone(), gateway.metrics.clone()));
    let heartbeat = Duration::from_millis(gateway.settings.endpoint_heartbeat_ms);
    let (directory, metrics) = (gateway.directory.clone(), gateway.metrics.clone());
    spawn_local(follow_endpoints(endpoint_feed, directory, heartbeat, metrics));
    spawn_local(serve_side(gateway.clone(), listeners.ready));
    if let Some(metrics) = listeners.metrics {
        spawn_local(serve_side(gateway.clone(), metrics));
    }
    spawn_local(accept_callers(gateway.clone(), listeners.callers));
    spawn_local(watch_settings(hangup, settings_path.to_owned(), gateway.settings.clone()));
    terminate.recv().await;
    stop(&gateway).await;
    Ok(())
}

/// Ends without cutting a request off: new connections are turned away first, then
/// idle ones end, then the requests in progress run to their answers.
async fn stop<P: Protocol>(gateway: &Gateway<P>) {
    let exit_at = Instant::now() + gateway.settings.bounds.stop_grace().saturating_sub(EXIT_MARGIN);
    event!("stop_started", "connections={}", gateway.connection_count());
    gateway.stop.begin();
    sleep(BALANCER_TIME.min(exit_at - Instant::now())).await;
    gateway.stop.close_idle();
    while gateway.connection_count() > 0 && Instant::now() < exit_at {
        sleep(STOP_POLL).await;
    }
    event!("stopped", "connections={}", gateway.connection_count());
}

/// Checks the settings file when a signal says that it has changed.
async fn watch_settings(
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
