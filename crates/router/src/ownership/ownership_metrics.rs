use {
    crate::metrics::Metrics,
    prometheus_client::metrics::{counter::Counter, gauge::Gauge},
};

/// Metrics of the resources that this host owns.
#[derive(Clone)]
pub(crate) struct OwnershipMetrics {
    pub(crate) owned: Gauge,
    pub(crate) taken: Counter,
    pub(crate) lost: Counter,
    pub(crate) released: Counter,
    pub(crate) probes: Counter,
    pub(crate) verified_outages: Counter,
}

impl OwnershipMetrics {
    pub(crate) fn register(metrics: &Metrics) -> Self {
        let counter = |name, help| metrics.register(name, help, Counter::default());
        Self {
            owned: metrics.register(
                "resources_owned",
                "Resources that this host owns",
                Gauge::default(),
            ),
            taken: counter("resources_taken", "Resources that this host took"),
            lost: counter("resources_lost", "Resources that another host took from this one"),
            released: counter("resources_released", "Resources that this host released"),
            probes: counter(
                "log_outage_probes",
                "Rounds of probes that ask other hosts whether they can read the log",
            ),
            verified_outages: counter(
                "log_outages_verified",
                "Rounds in which more than half of the hosts could not read the log",
            ),
        }
    }
}
