use {
    crate::metrics::Metrics,
    prometheus_client::metrics::{counter::Counter, gauge::Gauge},
};

/// Metrics of the configuration in force and of its records.
#[derive(Clone)]
pub(crate) struct ConfigMetrics {
    pub(crate) version: Gauge,
    pub(crate) objects: Gauge,
    pub(crate) following: Gauge,
    pub(crate) accepted: Counter,
    pub(crate) rejected: Counter,
    pub(crate) malformed: Counter,
    pub(crate) snapshots_written: Counter,
    pub(crate) snapshot_failures: Counter,
}

impl ConfigMetrics {
    pub(crate) fn register(metrics: &Metrics) -> Self {
        let counter = |name, help| metrics.register(name, help, Counter::default());
        let gauge = |name, help| metrics.register(name, help, Gauge::default());
        Self {
            version: gauge("config_version", "Version of the configuration, 0 if none is in force"),
            objects: gauge("config_objects", "Number of objects in the configuration"),
            following: gauge(
                "config_following",
                "1 if the configuration reflects all records read from the log, else 0",
            ),
            accepted: counter("config_changes_accepted", "Accepted configuration changes"),
            rejected: counter("config_changes_rejected", "Rejected configuration changes"),
            malformed: counter(
                "config_malformed_records",
                "Records of stream config that were skipped as malformed",
            ),
            snapshots_written: counter(
                "config_snapshots_written",
                "Configuration snapshots appended by this host",
            ),
            snapshot_failures: counter(
                "config_snapshot_failures",
                "Configuration snapshots that were not appended completely",
            ),
        }
    }
}
