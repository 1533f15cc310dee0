use {
    crate::metrics::Metrics,
    mango_wire::{Reason, problem::Verdict},
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{
            counter::Counter,
            family::Family,
            histogram::{Histogram, exponential_buckets},
        },
    },
    std::time::Duration,
};

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StatusLabels {
    status: u16,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RefusalLabels {
    reason: String,
    verdict: String,
}

/// Metrics of the responses and refusals that callers get.
#[derive(Clone)]
pub(crate) struct CallerMetrics {
    responses: Family<StatusLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    head_seconds: Histogram,
}

impl CallerMetrics {
    pub(crate) fn register(metrics: &Metrics) -> Self {
        Self {
            responses: metrics.register(
                "caller_answers",
                "Responses to callers by status code",
                Family::default(),
            ),
            refusals: metrics.register(
                "caller_refusals",
                "Refusals by reason and verdict",
                Family::default(),
            ),
            head_seconds: metrics.register(
                "caller_head_seconds",
                "Time from a request to the head of its response, in seconds",
                Histogram::new(exponential_buckets(0.0005, 2.0, 18)),
            ),
        }
    }

    /// Records a response and the time that passed before its head was ready.
    pub(crate) fn record_response(&self, status: u16, time_to_head: Duration) {
        self.responses.get_or_create(&StatusLabels { status }).inc();
        self.head_seconds.observe(time_to_head.as_secs_f64());
    }

    pub(crate) fn record_refusal(&self, reason: Reason, verdict: Verdict) {
        let labels = RefusalLabels { reason: reason.to_string(), verdict: verdict.to_string() };
        self.refusals.get_or_create(&labels).inc();
    }
}
