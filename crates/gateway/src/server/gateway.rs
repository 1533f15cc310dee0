use {
    super::stop_state::StopState,
    crate::{
        callers::Protocol,
        clock::BootInstant,
        config::{CallerLimits, ConfigState},
        endpoints::{Directory, IdleLimit},
        peers::{MaxConfirmationAges, PeerState},
        retry::RetryBudget,
        settings::{Bounds, GatewaySettings},
        telemetry::GatewayMetrics,
    },
    mango_wire::gossip::HostRecord,
    serde_json::{Map, Value, json},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::Instant,
    },
};

/// Shares of the fleet's allowance of repeats while the number of hosts is not known.
const DEFAULT_ALLOWANCE_SHARES: f64 = 128.0;
/// Hosts that may join before the others count them.
const JOINING_HOSTS: f64 = 4.0;
/// Part of the fleet's ratio that a router spends, for requests that it has counted
/// and that the fleet's window no longer holds.
const RATIO_SHARE: f64 = 0.9;
/// Part of a bound for which the knowledge of a relay is good enough.
const RELAY_AGE_SHARE: f64 = 0.75;
/// Part of the revocation time after which unconfirmed keys are refused; the rest
/// covers an answer of the store that was on its way.
const CONFIRMATION_SHARE: f64 = 0.7;

/// State that all connections of the process share.
pub(crate) struct Gateway<P> {
    pub(crate) protocol: P,
    pub(crate) settings: GatewaySettings,
    pub(crate) config: Rc<ConfigState>,
    pub(crate) directory: Rc<Directory>,
    pub(crate) metrics: Rc<GatewayMetrics>,
    pub(crate) stop: StopState,
    pub(crate) peers: Rc<PeerState>,
    budgets: RefCell<HashMap<Rc<str>, RetryBudget>>,
    idle_limits: RefCell<HashMap<Rc<str>, IdleLimit>>,
    connections: Rc<Cell<u32>>,
}

impl<P: Protocol> Gateway<P> {
    pub(crate) fn new(protocol: P, settings: GatewaySettings) -> Gateway<P> {
        let max_age = settings.bounds.key_revocation().mul_f64(CONFIRMATION_SHARE);
        Gateway {
            peers: Rc::new(PeerState::new(own_record(&settings), max_ages(&settings.bounds))),
            protocol,
            settings,
            config: Rc::new(ConfigState::new(max_age)),
            directory: Rc::default(),
            metrics: Rc::new(GatewayMetrics::new()),
            stop: StopState::new(),
            budgets: RefCell::default(),
            idle_limits: RefCell::default(),
            connections: Rc::default(),
        }
    }

    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.config.current().map(|config| config.limits).unwrap_or_default()
    }

    /// Whether the balancer is to send new connections here.
    pub(crate) fn is_ready(&self) -> bool {
        let is_confirmed = !self.settings.bounds.refuses_unconfirmed_keys
            || self.config.is_confirmed(BootInstant::now());
        !self.stop.is_stopping()
            && self.config.current().is_some()
            && is_confirmed
            && self.directory.len() > 0
    }

    pub(crate) fn count_request(&self, service: &Rc<str>) {
        self.with_budget(service, |budget, now| budget.count_request(now));
    }

    /// Takes one repeat from the service's retry budget, if it has one left.
    pub(crate) fn take_retry(&self, service: &Rc<str>) -> bool {
        let is_taken = self.with_budget(service, RetryBudget::take_retry);
        if !is_taken {
            self.metrics.refused_retries.inc();
        }
        is_taken
    }

    fn with_budget<T>(
        &self,
        service: &Rc<str>,
        action: impl FnOnce(&mut RetryBudget, Instant) -> T,
    ) -> T {
        let bounds = &self.settings.bounds;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            RetryBudget::new(
                bounds.retry_budget_ratio * RATIO_SHARE,
                0,
                bounds.retry_budget_window(),
            )
        });
        let shares = match self.peers.fleet_hosts() {
            0 => DEFAULT_ALLOWANCE_SHARES,
            hosts => f64::from(hosts) + JOINING_HOSTS,
        };
        budget.set_allowance((bounds.retry_budget_allowance / shares) as u32);
        action(budget, Instant::now())
    }

    /// How long connections to the endpoints of a service may have been idle.
    pub(crate) fn idle_limit(&self, service: &str) -> IdleLimit {
        self.idle_limits.borrow().get(service).copied().unwrap_or_default()
    }

    pub(crate) fn set_idle_limit(&self, service: &Rc<str>, limit: IdleLimit) {
        self.idle_limits.borrow_mut().insert(service.clone(), limit);
    }

    /// What is kept for each service.
    pub(crate) fn service_states(&self) -> Value {
        let now = Instant::now();
        let mut budgets = self.budgets.borrow_mut();
        let states: Map<String, Value> = budgets
            .iter_mut()
            .map(|(service, budget)| {
                let max_idle = self.idle_limit(service).max_idle(false, now);
                let state = json!({
                    "repeats_left": budget.remaining(now),
                    "max_idle_ms": max_idle.map(|time| time.as_millis()),
                });
                (service.to_string(), state)
            })
            .collect();
        states.into()
    }

    pub(crate) fn connection_count(&self) -> u32 {
        self.connections.get()
    }

    /// Counts a caller's connection until the guard is dropped.
    pub(crate) fn count_connection(&self) -> OpenConnection {
        self.connections.set(self.connections.get() + 1);
        self.metrics.caller_connections.inc();
        OpenConnection { connections: self.connections.clone(), metrics: self.metrics.clone() }
    }
}

/// What is left of each bound lets the host read the store itself in time.
fn max_ages(bounds: &Bounds) -> MaxConfirmationAges {
    MaxConfirmationAges {
        config: bounds.config_apply().mul_f64(RELAY_AGE_SHARE),
        endpoints: bounds.endpoint_drain().mul_f64(RELAY_AGE_SHARE),
    }
}

fn own_record(settings: &GatewaySettings) -> HostRecord {
    HostRecord {
        host_id: settings.host.clone(),
        zone: settings.zone.clone(),
        gossip_address: settings.gossip_address.to_string(),
        relay_address: settings.side_address.to_string(),
        link_mbps: settings.link_mbps as u32,
    }
}

pub(crate) struct OpenConnection {
    connections: Rc<Cell<u32>>,
    metrics: Rc<GatewayMetrics>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.set(self.connections.get() - 1);
        self.metrics.caller_connections.dec();
    }
}
