use {
    super::{
        engine_resources::EngineResources,
        kv_mover::KvMover,
        load_tickets::LoadTickets,
        types::{RouterAdmission, RouterClaims, RouterOrders},
    },
    crate::{
        callers::{CallerHandler, InFlightLimiter},
        config::ConfigStore,
        dispatch::{ClaimClient, DecisionLog, EndpointClients, PermitClient},
        membership::Membership,
        metrics::Metrics,
        ownership::Ownership,
        peer::PeerNet,
        placement::{LoadTable, Planner},
    },
    mango_wire::{EndpointKey, settings::Settings},
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Components of a router, shared by its threads and request handlers.
pub(crate) struct RouterParts {
    pub(crate) settings: Settings,
    pub(crate) metrics: Metrics,
    pub(crate) peers: PeerNet,
    pub(crate) membership: Arc<Membership>,
    pub(crate) ownership: Arc<Ownership>,
    pub(crate) resources: Arc<EngineResources>,
    pub(crate) config: Arc<ConfigStore>,
    pub(crate) loads: Arc<LoadTable>,
    pub(crate) planner: Arc<Planner>,
    pub(crate) admission: Arc<RouterAdmission>,
    pub(crate) claims: Arc<RouterClaims>,
    pub(crate) claim_client: Arc<ClaimClient>,
    pub(crate) orders: Arc<RouterOrders>,
    pub(crate) load_tickets: LoadTickets,
    pub(crate) kv_mover: Arc<KvMover>,
    pub(crate) permits: Arc<PermitClient>,
    pub(crate) endpoints: Arc<EndpointClients>,
    pub(crate) decisions: Arc<DecisionLog>,
    pub(crate) in_flight: InFlightLimiter,
    pub(crate) callers: Arc<CallerHandler>,
    pub(crate) draining: AtomicBool,
}

impl RouterParts {
    /// Whether a configuration is in force and no drain has started.
    pub(crate) fn is_ready(&self) -> bool {
        self.config.current().version() > 0 && !self.draining.load(Ordering::SeqCst)
    }

    /// Whether this host owns an endpoint according to the ownership log.
    pub(crate) fn owns_engine(&self, endpoint: EndpointKey) -> bool {
        let owner = self.resources.with(endpoint, |resource| self.ownership.owner(resource));
        owner.is_some_and(|owner| owner.host_id == self.settings.host_id)
    }
}
