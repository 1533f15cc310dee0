use {
    crate::metrics::Metrics,
    prometheus_client::metrics::{counter::Counter, gauge::Gauge},
};

/// Metrics of calls to the platform's log.
#[derive(Clone)]
pub(crate) struct LogMetrics {
    pub(crate) appends: Counter,
    pub(crate) append_failures: Counter,
    pub(crate) reads: Counter,
    pub(crate) read_failures: Counter,
    pub(crate) sent_bytes: Counter,
    pub(crate) received_bytes: Counter,
    pub(crate) unreachable: Gauge,
}

impl LogMetrics {
    pub(crate) fn register(metrics: &Metrics) -> Self {
        let counter = |name, help| metrics.register(name, help, Counter::default());
        Self {
            appends: counter("log_appends", "Appends to the platform's log"),
            append_failures: counter("log_append_failures", "Failed appends to the platform's log"),
            reads: counter("log_reads", "Reads of the platform's log"),
            read_failures: counter("log_read_failures", "Failed reads of the platform's log"),
            sent_bytes: counter("log_sent_bytes", "Record bytes sent to the platform's log"),
            received_bytes: counter(
                "log_received_bytes",
                "Response bytes received from the platform's log",
            ),
            unreachable: metrics.register(
                "log_unreachable",
                "1 if the last call to the platform's log failed, otherwise 0",
                Gauge::default(),
            ),
        }
    }
}
