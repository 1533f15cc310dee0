use {
    super::{
        authorities::{EngineRights, RangeRights},
        engine_resources::EngineResources,
        gossiper::Gossiper,
        handle::RouterHandle,
        kv_mover::{KvMover, KvMoverParts},
        load_tickets::LoadTickets,
        maintenance::Maintenance,
        message_handler::MessageHandler,
        order_worker::OrderWorker,
        peer_snapshot_source::PeerSnapshotSource,
        placement_steps::placement_steps,
        router_parts::RouterParts,
        state_dump::state_dump,
    },
    crate::{
        admission::Admission,
        callers::{CallerHandler, CallerMetrics, InFlightLimiter},
        claims::{ClaimOptions, ClaimService, SystemClock},
        config::ConfigStore,
        dispatch::{
            ClaimClient, DecisionLog, DispatchMetrics, Dispatcher, DispatcherParts,
            EndpointClients, PermitClient,
        },
        membership::Membership,
        metrics::Metrics,
        operators::{OperatorHooks, OperatorServer},
        orders::{KvMoveCostModel, OrderService},
        ownership::{Ownership, ResourceId},
        peer::PeerNet,
        placement::{LoadTable, Planner},
        platform::LogClient,
    },
    anyhow::{Context, Result},
    crossbeam::channel::{Sender, bounded},
    mango_config::MemberVersion,
    mango_http::{HttpServer, ServerLimits},
    mango_wire::{
        digest,
        peer::{PeerMessage, StatusRequest},
        settings::{CallerSettings, Settings},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

/// Longest wait for the configuration versions of the other members.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts routers.
pub struct Router;

impl Router {
    /// Starts a router and returns once it listens. It becomes ready when a configuration
    /// is in force. Fails if an address can't be bound or a thread can't be started.
    pub fn spawn(settings: Settings) -> Result<RouterHandle> {
        let identity = Uuid::new_v4().simple().to_string();
        let parts = Arc::new(build_parts(&settings, &identity)?);
        let membership_settings = settings.membership.clone().unwrap_or_default();
        let gossiper = Arc::new(Gossiper::new(&parts, membership_settings));
        let handler = MessageHandler::new(parts.clone(), gossiper.clone());
        parts.peers.start(Arc::new(handler));
        let stop_maintenance = start_maintenance(&parts, gossiper)?;
        let callers = bind_callers(&parts)?;
        let (drain_sender, drain_requests) = bounded(1);
        let operators = bind_operators(&parts, &identity, drain_sender)?;
        log::info!(
            "event=router_started host={} identity={identity} callers={} operators={} peers={}",
            settings.host_id,
            callers.address(),
            operators.address(),
            parts.peers.local_address()
        );
        Ok(RouterHandle::new(parts, callers, operators, stop_maintenance, drain_requests))
    }
}

fn build_parts(settings: &Settings, identity: &str) -> Result<RouterParts> {
    let metrics = Metrics::new();
    let admission_settings = settings.admission.clone().unwrap_or_default();
    let health_settings = settings.health.clone().unwrap_or_default();
    let dispatch_settings = settings.dispatch.clone().unwrap_or_default();
    let claim_settings = settings.claims.clone().unwrap_or_default();
    let lease_ms = settings.ownership.clone().unwrap_or_default().lease_ms;
    let log = LogClient::open(&settings.platform, &metrics);
    let peers = PeerNet::bind(settings, identity, &metrics)?;
    let membership = Membership::spawn(settings, identity, log.clone(), peers.clone(), &metrics)?;
    let ownership = Ownership::spawn(
        settings,
        identity,
        log.clone(),
        peers.clone(),
        membership.clone(),
        &metrics,
    )?;
    let config = {
        let ownership = ownership.clone();
        let owns_config = move || ownership.acting_epoch(&ResourceId::config()).is_some();
        let source =
            PeerSnapshotSource::new(settings.host_id.clone(), membership.clone(), peers.clone());
        ConfigStore::spawn(log.clone(), source, owns_config, &settings.platform, &metrics)?
    };
    let load_ttl = Duration::from_millis(u64::from(admission_settings.load_ttl_ms));
    let loads = Arc::new(LoadTable::new(load_ttl, health_settings.smoothing));
    let resources = Arc::new(EngineResources::default());
    let admission = Arc::new(Admission::new(
        &admission_settings,
        &health_settings,
        loads.clone(),
        EngineRights::new(ownership.clone(), resources.clone()),
        &metrics,
    ));
    let planner = Arc::new(Planner::new(
        admission_settings.policy,
        health_settings.max_degraded_share,
        loads.clone(),
        digest(identity.as_bytes()),
    ));
    let claims = ClaimService::spawn(
        ClaimOptions::new(&settings.host_id, &claim_settings, &settings.platform, lease_ms),
        Arc::new(log),
        Arc::new(RangeRights::new(ownership.clone(), claim_settings.key_ranges)),
        Arc::new(SystemClock),
        &metrics,
    )?;
    let order_settings = settings.orders.clone().unwrap_or_default();
    let engine_rights = Arc::new(EngineRights::new(ownership.clone(), resources.clone()));
    let orders = Arc::new(OrderService::new(&order_settings, engine_rights, &metrics));
    let load_tickets = LoadTickets::new(
        settings.host_id.clone(),
        ownership.clone(),
        peers.clone(),
        orders.clone(),
    );
    let kv_cost = Arc::new(KvMoveCostModel::default());
    let kv_mover = Arc::new(KvMover::new(KvMoverParts {
        host_id: settings.host_id.clone(),
        max_chats: order_settings.kv_move_chats as usize,
        config: config.clone(),
        ownership: ownership.clone(),
        admission: admission.clone(),
        orders: orders.clone(),
        peers: peers.clone(),
        cost: kv_cost.clone(),
    }));
    let permits = Arc::new(PermitClient::new(
        settings.host_id.clone(),
        ownership.clone(),
        resources.clone(),
        admission.clone(),
        peers.clone(),
        loads.clone(),
    ));
    let endpoints = Arc::new(EndpointClients::new(dispatch_settings.clone()));
    let decisions = Arc::new(DecisionLog::default());
    let claim_client = ClaimClient::spawn(
        settings.host_id.clone(),
        claim_settings.key_ranges,
        claims.clone(),
        ownership.clone(),
        peers.clone(),
    )?;
    let dispatcher = Dispatcher::new(
        dispatch_settings,
        &admission_settings,
        DispatcherParts {
            permits: permits.clone(),
            claims: claim_client.clone(),
            endpoints: endpoints.clone(),
            planner: planner.clone(),
            decisions: decisions.clone(),
            kv_cost,
            metrics: DispatchMetrics::register(&metrics),
        },
    );
    let in_flight = InFlightLimiter::default();
    let callers = Arc::new(CallerHandler::new(
        settings,
        config.clone(),
        dispatcher,
        in_flight.clone(),
        CallerMetrics::register(&metrics),
    ));
    Ok(RouterParts {
        settings: settings.clone(),
        metrics,
        peers,
        membership,
        ownership,
        resources,
        config,
        loads,
        planner,
        admission,
        claims,
        claim_client,
        orders,
        load_tickets,
        kv_mover,
        permits,
        endpoints,
        decisions,
        in_flight,
        callers,
        draining: AtomicBool::new(false),
    })
}

fn start_maintenance(parts: &Arc<RouterParts>, gossiper: Arc<Gossiper>) -> Result<Sender<()>> {
    let (changed, host_changes) = bounded(1);
    parts.membership.subscribe(changed);
    let (stop, stopped) = bounded(0);
    let worker = OrderWorker::new(parts.clone(), stopped.clone());
    thread::Builder::new().name("orders".to_owned()).spawn(move || worker.run())?;
    let settings = &parts.settings;
    let maintenance = Maintenance::new(
        parts.clone(),
        gossiper,
        settings.admission.clone().unwrap_or_default(),
        settings.claims.clone().unwrap_or_default().key_ranges,
        host_changes,
        stopped,
    );
    thread::Builder::new().name("maintenance".to_owned()).spawn(move || maintenance.run())?;
    Ok(stop)
}

fn bind_callers(parts: &Arc<RouterParts>) -> Result<HttpServer> {
    let settings = parts.settings.callers.clone().unwrap_or_default();
    let address = parts.settings.caller_address.parse().context("caller_address")?;
    HttpServer::bind(address, server_limits(&settings), parts.callers.clone())
        .with_context(|| format!("caller_address {address}"))
}

fn server_limits(settings: &CallerSettings) -> ServerLimits {
    ServerLimits {
        max_connections: settings.max_connections as usize,
        max_header_bytes: settings.max_header_bytes as usize,
        max_body_bytes: settings.max_body_bytes as usize,
        read_timeout: Duration::from_millis(u64::from(settings.read_ms)),
        write_timeout: Duration::from_millis(u64::from(settings.write_ms)),
    }
}

fn bind_operators(
    parts: &Arc<RouterParts>,
    identity: &str,
    drain: Sender<()>,
) -> Result<OperatorServer> {
    let identity = identity.to_owned();
    let (for_state, for_versions, for_placement) = (parts.clone(), parts.clone(), parts.clone());
    let (for_drain, for_check) = (parts.clone(), parts.clone());
    let hooks = OperatorHooks {
        config: parts.config.clone(),
        metrics: parts.metrics.clone(),
        state: Box::new(move || state_dump(&for_state, &identity)),
        member_versions: Box::new(move || member_versions(&for_versions)),
        placement: Box::new(move |explanation, chat| {
            placement_steps(&for_placement, explanation, chat)
        }),
        drain: Box::new(move || {
            for_drain.draining.store(true, Ordering::SeqCst);
            // a full channel means that a drain request is already pending
            let _ = drain.try_send(());
        }),
        is_draining: Box::new(move || for_check.draining.load(Ordering::SeqCst)),
    };
    OperatorServer::spawn(&parts.settings, hooks)
}

/// Returns the configuration versions of all live members; the version is `None` for a
/// member that does not answer.
fn member_versions(parts: &RouterParts) -> Vec<MemberVersion> {
    let own_id = &parts.settings.host_id;
    let deadline = Instant::now() + STATUS_TIMEOUT;
    let hosts = parts.membership.live_hosts();
    let calls: Vec<_> = hosts
        .iter()
        .filter(|host| host.host_id != *own_id)
        .map(|host| {
            let message = PeerMessage::StatusRequest(StatusRequest { unused: 0 });
            (host.host_id.clone(), parts.peers.start_call(&host.host_id, message))
        })
        .collect();
    let version = Some(parts.config.current().version());
    let own = MemberVersion { host_id: own_id.clone(), version };
    let others = calls.into_iter().map(|(host_id, call)| {
        let version = match call.wait(deadline) {
            Ok(PeerMessage::StatusReply(status)) => Some(status.config_version),
            _ => None,
        };
        MemberVersion { host_id, version }
    });
    std::iter::once(own).chain(others).collect()
}
