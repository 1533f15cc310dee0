use {
    super::stop_state::StopState,
    crate::{
        blocklist::SharedBlocklist,
        callers::Protocol,
        clock::BootInstant,
        config::{CallerLimits, ConfigState, Evacuations},
        dispatch::{AnswerTimes, CrashChecks},
        endpoints::{ColdLimit, Directory, Endpoint, IdleLimit},
        memory::BytePool,
        peers::{MaxConfirmationAges, PeerState},
        queueing::Permits,
        retry::RetryBudget,
        settings::{Bounds, GatewaySettings, OverloadPolicy},
        stream_origins::SharedOrigins,
        telemetry::GatewayMetrics,
    },
    mango_wire::gossip::HostRecord,
    serde_json::{Map, Value, json},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Fraction of the fleet's retry ratio that a router uses. The rest covers retries that reach
/// their endpoint in a later window than that in which they were allowed.
const RETRY_RATIO_FRACTION: f64 = 0.9;
/// Maximum age of a relay's confirmation, as a fraction of the time within which a change must
/// take effect. The rest leaves the host time to read the store itself.
const RELAY_AGE_FRACTION: f64 = 0.75;
/// Fraction of the key revocation time for which API keys are trusted after the store has
/// confirmed the configuration. The rest covers the delay of a response from the store.
const CONFIRMATION_AGE_FRACTION: f64 = 0.7;

/// State that all connections of the process share.
pub(crate) struct Gateway<P> {
    pub(crate) protocol: P,
    pub(crate) settings: GatewaySettings,
    pub(crate) config: Rc<ConfigState>,
    pub(crate) evacuations: Rc<Evacuations>,
    /// The known endpoints.
    pub(crate) directory: Rc<Directory>,
    pub(crate) metrics: Rc<GatewayMetrics>,
    pub(crate) stop: StopState,
    pub(crate) peers: Rc<PeerState>,
    pub(crate) permits: Permits,
    /// Start of the process, from which on its part of the retry allowance accrues.
    started_at: Instant,
    /// The prompt parts that crash endpoints.
    pub(crate) blocklist: Rc<SharedBlocklist>,
    /// Endpoints that are being checked for a crash.
    pub(crate) crash_checks: Rc<CrashChecks>,
    /// Usual times until endpoints answer.
    pub(crate) answer_times: AnswerTimes,
    /// The software versions at which streams began.
    pub(crate) origins: Rc<SharedOrigins>,
    /// Retry budgets by service.
    retry_budgets: RefCell<HashMap<Rc<str>, RetryBudget>>,
    /// Limits on the idle time of connections to endpoints, by service.
    idle_limits: RefCell<HashMap<Rc<str>, IdleLimit>>,
    /// Number of open connections from callers.
    connections: Rc<Cell<u32>>,
    /// Memory of the requests that are received from callers.
    pub(crate) request_bytes: BytePool,
    /// Memory of the responses that are received from endpoints.
    pub(crate) response_bytes: BytePool,
}

impl<P: Protocol> Gateway<P> {
    pub(crate) fn new(protocol: P, settings: GatewaySettings) -> Gateway<P> {
        let max_age = settings.bounds.key_revocation().mul_f64(CONFIRMATION_AGE_FRACTION);
        let peers = Rc::new(PeerState::new(
            own_host_record(&settings),
            max_confirmation_ages(&settings.bounds),
        ));
        let directory = Rc::<Directory>::default();
        let metrics = Rc::new(GatewayMetrics::new());
        let evacuations = Rc::new(Evacuations::new(metrics.clone()));
        let blocklist = SharedBlocklist::new(&settings.host, directory.clone(), metrics.clone());
        let config = Rc::new(ConfigState::new(max_age));
        let origins = SharedOrigins::new(
            config.clone(),
            directory.clone(),
            peers.clone(),
            metrics.clone(),
            settings.bounds.endpoint_drain(),
        );
        Gateway {
            blocklist: Rc::new(blocklist),
            crash_checks: Rc::default(),
            answer_times: AnswerTimes::default(),
            origins: Rc::new(origins),
            permits: Permits::new(directory.clone(), peers.clone(), evacuations.clone()),
            evacuations,
            directory,
            peers,
            request_bytes: BytePool::new(settings.message_pool_bytes()),
            response_bytes: BytePool::new(settings.message_pool_bytes()),
            protocol,
            settings,
            config,
            metrics,
            stop: StopState::new(),
            started_at: Instant::now(),
            retry_budgets: RefCell::default(),
            idle_limits: RefCell::default(),
            connections: Rc::default(),
        }
    }

    /// The limit of the whole fleet for requests to a cold endpoint of a service.
    pub(crate) fn cold_limit(&self, service: &str) -> ColdLimit {
        let bounds = &self.settings.bounds;
        let bearable = self
            .config
            .current()
            .and_then(|config| config.service(service).map(|service| service.cold_requests_per_s))
            .filter(|requests_per_s| *requests_per_s > 0.0);
        ColdLimit {
            requests_per_s: bearable.map(|per_s| per_s * bounds.cold_request_factor),
            hosts: self.peers.hosts_sharing_limits(),
            host_place: if bearable.is_some() { self.peers.own_place() } else { 0.0 },
            process_age: self.started_at.elapsed(),
        }
    }

    /// How long the endpoints of a service are cold after their start.
    pub(crate) fn cold_start(&self, service: &str) -> Duration {
        let config = self.config.current();
        let service = config.as_ref().and_then(|config| config.service(service));
        Duration::from_millis(service.map_or(0, |service| service.cold_start_ms))
    }

    /// Records that the connection to an endpoint failed or broke: it may have started again, and
    /// its record may not tell so yet.
    pub(crate) fn record_possible_restart(&self, endpoint: &Endpoint) {
        let cold_start = self.cold_start(&endpoint.record.borrow().service);
        endpoint.record_cold(cold_start, Instant::now());
    }

    /// Limits of the configuration in force, or the defaults while there is none.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.config.current().map(|config| config.limits).unwrap_or_default()
    }

    /// The parts of the handling of overload that act under the configuration in force.
    pub(crate) fn overload_policy(&self) -> OverloadPolicy {
        let is_interactive =
            self.config.current().is_some_and(|config| config.has_interactive_route());
        self.settings.overload.policy(is_interactive)
    }

    /// Whether the load balancer should open new connections to this host.
    pub(crate) fn is_ready(&self) -> bool {
        let is_confirmed = !self.settings.bounds.refuses_unconfirmed_keys
            || self.config.is_confirmed(BootInstant::now());
        !self.stop.is_stopping()
            && self.config.current().is_some()
            && is_confirmed
            && self.directory.len() > 0
            && self.origins.is_settled()
    }

    /// Counts a request in the service's retry budget.
    pub(crate) fn count_request(&self, service: &Rc<str>) {
        self.with_retry_budget(service, |budget, now| budget.count_request(now));
    }

    /// Spends one retry from the service's retry budget. Returns whether there was one left.
    pub(crate) fn take_retry(&self, service: &Rc<str>) -> bool {
        let is_allowed = self.with_retry_budget(service, RetryBudget::take_retry);
        if !is_allowed {
            self.metrics.refused_retries.inc();
        }
        is_allowed
    }

    /// The retry budget of a service as key=value pairs for the log.
    pub(crate) fn describe_retry_budget(&self, service: &Rc<str>) -> String {
        let hosts = self.peers.hosts_sharing_limits().unwrap_or(0);
        self.with_retry_budget(service, |budget, now| {
            format!("retries_left={:.1} budget_hosts={hosts}", budget.remaining(now))
        })
    }

    /// Updates the retry budget of a service to the current size of the fleet and passes it to
    /// `action`. Each host gets an equal part of the fleet's allowance,
    /// and none until it knows the number of hosts.
    fn with_retry_budget<T>(
        &self,
        service: &Rc<str>,
        action: impl FnOnce(&mut RetryBudget, Instant) -> T,
    ) -> T {
        let bounds = &self.settings.bounds;
        let mut budgets = self.retry_budgets.borrow_mut();
        let now = Instant::now();
        let hosts = self.peers.hosts_sharing_limits();
        let allowance = hosts.map_or(0.0, |hosts| bounds.retry_budget_allowance / f64::from(hosts));
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            RetryBudget::new(
                bounds.retry_budget_ratio * RETRY_RATIO_FRACTION,
                allowance,
                bounds.retry_budget_window(),
                self.started_at,
            )
        });
        budget.set_allowance(allowance, now);
        action(budget, now)
    }

    /// Maximum idle time at which connections to the endpoints of a service are reused.
    pub(crate) fn idle_limit(&self, service: &str) -> IdleLimit {
        self.idle_limits.borrow().get(service).copied().unwrap_or_default()
    }

    pub(crate) fn set_idle_limit(&self, service: &Rc<str>, limit: IdleLimit) {
        self.idle_limits.borrow_mut().insert(service.clone(), limit);
    }

    /// Remaining retries of each service that has received requests, and its idle limit for
    /// requests that must not run twice, as JSON for the state dump.
    pub(crate) fn service_states(&self) -> Value {
        let now = Instant::now();
        let mut budgets = self.retry_budgets.borrow_mut();
        let states: Map<String, Value> = budgets
            .iter_mut()
            .map(|(service, budget)| {
                let max_idle = self.idle_limit(service).max_idle(false, now);
                let state = json!({
                    "queue": self.permits.service_state(service),
                    "repeats_left": budget.remaining(now),
                    "max_idle_ms": max_idle.map(|time| time.as_millis()),
                });
                (service.to_string(), state)
            })
            .collect();
        states.into()
    }

    /// Number of open connections from callers.
    pub(crate) fn connection_count(&self) -> u32 {
        self.connections.get()
    }

    /// Counts a caller's connection until the guard is dropped.
    pub(crate) fn count_connection(&self) -> ConnectionGuard {
        self.connections.set(self.connections.get() + 1);
        self.metrics.caller_connections.inc();
        ConnectionGuard { connections: self.connections.clone(), metrics: self.metrics.clone() }
    }
}

/// Maximum ages at which the confirmations of a relay are accepted instead of reading the store.
fn max_confirmation_ages(bounds: &Bounds) -> MaxConfirmationAges {
    MaxConfirmationAges {
        config: bounds.config_apply().mul_f64(RELAY_AGE_FRACTION),
        endpoints: bounds.endpoint_drain().mul_f64(RELAY_AGE_FRACTION),
    }
}

/// The record with which this host announces itself to its peers.
fn own_host_record(settings: &GatewaySettings) -> HostRecord {
    HostRecord {
        host_id: settings.host.clone(),
        zone: settings.zone.clone(),
        gossip_address: settings.gossip_address.to_string(),
        relay_address: settings.side_address.to_string(),
        link_mbps: settings.link_mbps as u32,
    }
}

/// Counts an open connection from a caller while it exists.
pub(crate) struct ConnectionGuard {
    connections: Rc<Cell<u32>>,
    metrics: Rc<GatewayMetrics>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.set(self.connections.get() - 1);
        self.metrics.caller_connections.dec();
    }
}
