use {
    crate::metrics::Metrics,
    mango_wire::peer::ClaimResult,
    prometheus_client::metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
};

type Labels = [(&'static str, String); 1];

/// Metrics of the key ranges that this host owns.
#[derive(Clone)]
pub(crate) struct ClaimMetrics {
    claims: Family<Labels, Counter>,
    pub(crate) batch_entries: Histogram,
    pub(crate) append_seconds: Histogram,
    pub(crate) ranges_served: Gauge,
    pub(crate) keys_held: Gauge,
}

impl ClaimMetrics {
    pub(crate) fn register(metrics: &Metrics) -> Self {
        Self {
            claims: metrics.register("claims", "Answers to claims by result", Family::default()),
            batch_entries: metrics.register(
                "claim_batch_entries",
                "Entries in one appended batch",
                Histogram::new(exponential_buckets(1.0, 2.0, 12)),
            ),
            append_seconds: metrics.register(
                "claim_append_seconds",
                "Time to append a batch and read it back",
                Histogram::new(exponential_buckets(0.0005, 2.0, 14)),
            ),
            ranges_served: metrics.register(
                "claim_ranges_served",
                "Key ranges that this host serves",
                Gauge::default(),
            ),
            keys_held: metrics.register(
                "claim_keys_held",
                "Idempotency keys held in memory",
                Gauge::default(),
            ),
        }
    }

    /// Counts one answered claim.
    pub(crate) fn count_answer(&self, result: ClaimResult) {
        self.claims.get_or_create(&[("result", result.to_string())]).inc();
    }
}
