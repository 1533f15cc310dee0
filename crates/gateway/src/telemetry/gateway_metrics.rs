use {
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::{cell::RefCell, collections::HashSet, fmt, sync::atomic::AtomicU64},
};

/// Teams that a process counts by name; requests of further ones are counted together, so
/// that 24,000 teams do not fill its memory.
const MAX_COUNTED_TEAMS: usize = 100;
const OTHER_TEAMS: &str = "other";

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub(crate) kind: &'static str,
    pub(crate) outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct TeamLabels {
    pub(crate) team: String,
    pub(crate) outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct SendLabels {
    pub(crate) outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct KindLabels {
    pub(crate) kind: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct FeedLabels {
    pub(crate) feed: &'static str,
    pub(crate) result: &'static str,
}

/// Counters, gauges and histograms of a process.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    team_requests: Family<TeamLabels, Counter>,
    counted_teams: RefCell<HashSet<Box<str>>>,
    sends: Family<SendLabels, Counter>,
    latency_s: Family<KindLabels, Histogram>,
    feed_calls: Family<FeedLabels, Counter>,
    pub(crate) new_endpoint_connections: Counter,
    pub(crate) repeats_refused: Counter,
    pub(crate) caller_connections: Gauge,
    pub(crate) config_version: Gauge,
    pub(crate) config_age_ms: Gauge,
    pub(crate) endpoints: Gauge,
    pub(crate) resident_bytes: Gauge,
    pub(crate) cpu_seconds: Gauge<f64, AtomicU64>,
}

impl GatewayMetrics {
    pub(crate) fn new() -> GatewayMetrics {
        let mut metrics = GatewayMetrics {
            registry: Registry::with_prefix("mangobridge"),
            requests: Family::default(),
            team_requests: Family::default(),
            counted_teams: RefCell::default(),
            sends: Family::default(),
            latency_s: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(0.004, 2.0, 14))
            }),
            feed_calls: Family::default(),
            new_endpoint_connections: Counter::default(),
            repeats_refused: Counter::default(),
            caller_connections: Gauge::default(),
            config_version: Gauge::default(),
            config_age_ms: Gauge::default(),
            endpoints: Gauge::default(),
            resident_bytes: Gauge::default(),
            cpu_seconds: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests of callers by outcome", self.requests.clone());
        registry.register(
            "team_requests",
            "Requests of callers by team and outcome",
            self.team_requests.clone(),
        );
        registry.register("endpoint_sends", "Sends to endpoints by outcome", self.sends.clone());
        registry.register(
            "request_latency_seconds",
            "Time to the answer, or to the first event of a stream",
            self.latency_s.clone(),
        );
        registry.register("store_calls", "Calls to the store by result", self.feed_calls.clone());
        registry.register(
            "endpoint_connections_opened",
            "Connections opened to endpoints",
            self.new_endpoint_connections.clone(),
        );
        registry.register(
            "repeats_refused",
            "Repeats that the retry budget did not allow",
            self.repeats_refused.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            self.caller_connections.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "config_confirmation_age_ms",
            "Time since the store confirmed the configuration",
            self.config_age_ms.clone(),
        );
        registry.register("endpoints", "Endpoints known", self.endpoints.clone());
        registry.register(
            "resident_memory_bytes",
            "Memory of the process",
            self.resident_bytes.clone(),
        );
        registry.register(
            "processor_seconds",
            "Processor time of the process since its start",
            self.cpu_seconds.clone(),
        );
    }

    pub(crate) fn count_ended_request(
        &self,
        kind: &'static str,
        team: Option<&str>,
        outcome: &'static str,
    ) {
        self.requests.get_or_create(&RequestLabels { kind, outcome }).inc();
        if let Some(team) = team {
            let team = self.team_label(team).to_owned();
            self.team_requests.get_or_create(&TeamLabels { team, outcome }).inc();
        }
    }

    /// The name under which a team is counted.
    fn team_label<'a>(&self, team: &'a str) -> &'a str {
        let mut counted = self.counted_teams.borrow_mut();
        if counted.contains(team) {
            return team;
        }
        if counted.len() >= MAX_COUNTED_TEAMS {
            return OTHER_TEAMS;
        }
        counted.insert(team.into());
        team
    }

    pub(crate) fn count_send(&self, outcome: &'static str) {
        self.sends.get_or_create(&SendLabels { outcome }).inc();
    }

    pub(crate) fn observe_latency(&self, kind: &'static str, seconds: f64) {
        self.latency_s.get_or_create(&KindLabels { kind }).observe(seconds);
    }

    pub(crate) fn count_feed_call(&self, feed: &'static str, result: &'static str) {
        self.feed_calls.get_or_create(&FeedLabels { feed, result }).inc();
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
