use {
    crate::records::FeedComparison,
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

/// Maximum number of teams with their own metric label. Requests of further teams are counted
/// together, since labels for 24,000 teams would use too much memory.
const MAX_LABELED_TEAMS: usize = 100;
/// Label of the requests of all further teams.
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

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct CopyLabels {
    pub(crate) feed: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct BeliefLabels {
    pub(crate) change: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct TakeUpLabels {
    pub(crate) origin: &'static str,
}

/// Prometheus metrics of the process.
pub(crate) struct GatewayMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    team_requests: Family<TeamLabels, Counter>,
    labeled_teams: RefCell<HashSet<Box<str>>>,
    sends: Family<SendLabels, Counter>,
    latency_seconds: Family<KindLabels, Histogram>,
    wait_seconds: Histogram,
    store_calls: Family<FeedLabels, Counter>,
    belief_changes: Family<BeliefLabels, Counter>,
    take_ups: Family<TakeUpLabels, Counter>,
    copy_agrees: Family<CopyLabels, Gauge>,
    copy_comparison_age_ms: Family<CopyLabels, Gauge>,
    pub(crate) new_endpoint_connections: Counter,
    pub(crate) refused_retries: Counter,
    pub(crate) unreadable_endpoint_records: Counter,
    pub(crate) doubtful_endpoint_records: Counter,
    pub(crate) announced_departures: Counter,
    pub(crate) closed_endpoints: Counter,
    pub(crate) evacuated_zones: Gauge,
    pub(crate) blocked_parts: Gauge,
    pub(crate) caller_connections: Gauge,
    pub(crate) config_version: Gauge,
    pub(crate) store_era: Gauge,
    pub(crate) config_confirmation_age_ms: Gauge,
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
            labeled_teams: RefCell::default(),
            sends: Family::default(),
            latency_seconds: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(0.004, 2.0, 14))
            }),
            wait_seconds: Histogram::new(exponential_buckets(0.004, 2.0, 12)),
            store_calls: Family::default(),
            belief_changes: Family::default(),
            take_ups: Family::default(),
            copy_agrees: Family::default(),
            copy_comparison_age_ms: Family::default(),
            new_endpoint_connections: Counter::default(),
            refused_retries: Counter::default(),
            unreadable_endpoint_records: Counter::default(),
            doubtful_endpoint_records: Counter::default(),
            announced_departures: Counter::default(),
            closed_endpoints: Counter::default(),
            evacuated_zones: Gauge::default(),
            blocked_parts: Gauge::default(),
            caller_connections: Gauge::default(),
            config_version: Gauge::default(),
            store_era: Gauge::default(),
            config_confirmation_age_ms: Gauge::default(),
            endpoints: Gauge::default(),
            resident_bytes: Gauge::default(),
            cpu_seconds: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "unreadable_endpoint_records",
            "Records of endpoints that could not be read",
            self.unreadable_endpoint_records.clone(),
        );
        registry.register(
            "doubtful_endpoint_records",
            "Records of endpoints that were older than the last one or contradicted it",
            self.doubtful_endpoint_records.clone(),
        );
        registry.register(
            "announced_departures",
            "Endpoints that told this host in an answer that they leave",
            self.announced_departures.clone(),
        );
        registry.register(
            "closed_endpoints",
            "Refusals with which endpoints asked for no requests for a while",
            self.closed_endpoints.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Zones whose endpoints are to receive no requests",
            self.evacuated_zones.clone(),
        );
        registry.register("requests", "Requests from callers by outcome", self.requests.clone());
        registry.register(
            "team_requests",
            "Requests from callers by team and outcome",
            self.team_requests.clone(),
        );
        registry.register(
            "endpoint_sends",
            "Requests sent to endpoints by outcome",
            self.sends.clone(),
        );
        registry.register(
            "request_latency_seconds",
            "Time to the response, or to the first event of a stream",
            self.latency_seconds.clone(),
        );
        registry.register(
            "request_wait_seconds",
            "Time for which requests waited for capacity of their service",
            self.wait_seconds.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store by log and result",
            self.store_calls.clone(),
        );
        registry.register(
            "copy_agrees",
            "Whether the copy of a log agreed with that of the relay: 1 or 0",
            self.copy_agrees.clone(),
        );
        registry.register(
            "copy_comparison_age_ms",
            "Time since the copy of a log was compared with that of the relay",
            self.copy_comparison_age_ms.clone(),
        );
        registry.register(
            "endpoint_connections_opened",
            "Connections opened to endpoints",
            self.new_endpoint_connections.clone(),
        );
        registry.register(
            "repeats_refused",
            "Retries that the retry budget did not allow",
            self.refused_retries.clone(),
        );
        registry.register(
            "blocked_parts",
            "Prompt parts whose requests are refused, since they crash endpoints",
            self.blocked_parts.clone(),
        );
        registry.register(
            "part_belief_changes",
            "Changes of belief about prompt parts that may crash endpoints",
            self.belief_changes.clone(),
        );
        registry.register(
            "stream_take_ups",
            "Requests that go on with a stream, by how its software version was found",
            self.take_ups.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections from callers",
            self.caller_connections.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "store_era",
            "Generation of the store's contents, as of the last return from an older copy",
            self.store_era.clone(),
        );
        registry.register(
            "config_confirmation_age_ms",
            "Time since the store confirmed the configuration",
            self.config_confirmation_age_ms.clone(),
        );
        registry.register("endpoints", "Known endpoints", self.endpoints.clone());
        registry.register(
            "resident_memory_bytes",
            "Resident memory of the process",
            self.resident_bytes.clone(),
        );
        registry.register(
            "processor_seconds",
            "User and system CPU time of the process since its start",
            self.cpu_seconds.clone(),
        );
    }

    /// Counts a request that ended, by its outcome and, if it has one, by its team.
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

    /// Metric label of a team.
    fn team_label<'a>(&self, team: &'a str) -> &'a str {
        let mut labeled = self.labeled_teams.borrow_mut();
        if labeled.contains(team) {
            return team;
        }
        if labeled.len() >= MAX_LABELED_TEAMS {
            return OTHER_TEAMS;
        }
        labeled.insert(team.into());
        team
    }

    /// Counts a request sent to an endpoint, by its outcome.
    pub(crate) fn count_send(&self, outcome: &'static str) {
        self.sends.get_or_create(&SendLabels { outcome }).inc();
    }

    /// Records the time to the response of a request, or to the first event of a stream.
    pub(crate) fn observe_latency(&self, kind: &'static str, seconds: f64) {
        self.latency_seconds.get_or_create(&KindLabels { kind }).observe(seconds);
    }

    /// Records the time for which a request waited for capacity.
    pub(crate) fn observe_wait(&self, seconds: f64) {
        self.wait_seconds.observe(seconds);
    }

    /// Counts a call to the store, by the log that it reads and its result.
    pub(crate) fn count_store_call(&self, feed: &'static str, result: &'static str) {
        self.store_calls.get_or_create(&FeedLabels { feed, result }).inc();
    }

    /// Counts a call to the store by its result.
    pub(crate) fn count_store_result<T, E>(&self, feed: &'static str, result: &Result<T, E>) {
        self.count_store_call(feed, if result.is_ok() { "ok" } else { "error" });
    }

    /// Sets the result and the age of the last comparison with the relay.
    pub(crate) fn set_comparison(&self, feed: &'static str, comparison: &FeedComparison) {
        let labels = CopyLabels { feed };
        let age_ms = comparison.at.elapsed().as_millis() as i64;
        self.copy_agrees.get_or_create(&labels).set(i64::from(comparison.agrees));
        self.copy_comparison_age_ms.get_or_create(&labels).set(age_ms);
    }

    /// Counts a change of belief about a prompt part.
    pub(crate) fn count_belief_change(&self, change: &'static str) {
        self.belief_changes.get_or_create(&BeliefLabels { change }).inc();
    }

    /// Counts a request that goes on with a stream, by how the stream's software version was found.
    pub(crate) fn count_take_up(&self, origin: &'static str) {
        self.take_ups.get_or_create(&TakeUpLabels { origin }).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
