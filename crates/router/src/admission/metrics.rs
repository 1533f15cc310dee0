use {
    crate::metrics::Metrics,
    mango_wire::peer::{AcquireMode, PassReason},
    prometheus_client::metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
};

/// Name and value of the only label of a metric.
type Labels = [(&'static str, &'static str); 1];

/// Label values in the order of the enum, whose variants index the counters.
const MODES: [(AcquireMode, &str); 3] = [
    (AcquireMode::IfWarm, "if_warm"),
    (AcquireMode::IfRoom, "if_room"),
    (AcquireMode::Queue, "queue"),
];

/// Label values in the order of the enum, whose variants index the counters.
const REASONS: [(PassReason, &str); 11] = [
    (PassReason::Cold, "cold"),
    (PassReason::AtCap, "at_cap"),
    (PassReason::NoSlot, "no_slot"),
    (PassReason::Degraded, "degraded"),
    (PassReason::NotOwner, "not_owner"),
    (PassReason::LeaseLapsed, "lease_lapsed"),
    (PassReason::QueueFull, "queue_full"),
    (PassReason::Deadline, "deadline"),
    (PassReason::Cancelled, "cancelled"),
    (PassReason::Draining, "draining"),
    (PassReason::UnknownEndpoint, "unknown_endpoint"),
];

/// Admission metrics. The counter of each label is looked up once, because the
/// look-up in the family costs more than the increment.
#[derive(Clone)]
pub(crate) struct AdmissionMetrics {
    grants: [Counter; MODES.len()],
    refusals: [Counter; REASONS.len()],
    pub(crate) warm_grants: Counter,
    pub(crate) queued: Gauge,
    pub(crate) wait: Histogram,
    pub(crate) cap_reached: Counter,
    pub(crate) degraded_engines: Gauge,
    pub(crate) demoted: Counter,
    pub(crate) freed_permits: Counter,
    pub(crate) reinstated_permits: Counter,
}

impl AdmissionMetrics {
    pub(crate) fn register(metrics: &Metrics) -> Self {
        let family =
            |name, help| metrics.register(name, help, Family::<Labels, Counter>::default());
        let counter = |name, help| metrics.register(name, help, Counter::default());
        let gauge = |name, help| metrics.register(name, help, Gauge::default());
        let grants = family("admission_grants", "Permits granted, by mode of the request");
        let refusals = family("admission_refusals", "Requests refused, by reason");
        let wait = Histogram::new(exponential_buckets(0.001, 2.0, 17));
        Self {
            grants: MODES.map(|(_, mode)| grants.get_or_create_owned(&[("mode", mode)])),
            refusals: REASONS
                .map(|(_, reason)| refusals.get_or_create_owned(&[("reason", reason)])),
            warm_grants: counter("admission_warm_grants", "Permits granted for warm chats"),
            queued: gauge("admission_queued_requests", "Requests waiting for a permit"),
            wait: metrics.register(
                "admission_wait_seconds",
                "Time that granted requests waited in a queue, in seconds",
                wait,
            ),
            cap_reached: counter(
                "admission_cap_reached",
                "Requests that found an engine at its cap",
            ),
            degraded_engines: gauge("admission_degraded_engines", "Owned engines measured as slow"),
            demoted: counter(
                "admission_demoted",
                "Running requests demoted because they turned out long",
            ),
            freed_permits: counter("admission_freed_permits", "Permits freed without a release"),
            reinstated_permits: counter(
                "admission_reinstated_permits",
                "Permits freed as unused whose requests ran",
            ),
        }
    }

    pub(crate) fn count_grant(&self, mode: AcquireMode) {
        self.grants[mode as usize].inc();
    }

    pub(crate) fn count_refusal(&self, reason: PassReason) {
        self.refusals[reason as usize].inc();
    }
}
