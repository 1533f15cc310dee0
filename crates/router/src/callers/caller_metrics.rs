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

/// Measures of the callers' side.
#[derive(Clone)]
pub(crate) struct CallerMetrics {
    answers: Family<StatusLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    head_seconds: Histogram,
}

impl CallerMetrics {
    pub(crate) fn register(metrics: &Metrics) -> Self {
        Self {
            answers: metrics.register(
                "caller_answers",
                "Answers to callers by status",
                Family::default(),
            ),
            refusals: metrics.register(
                "caller_refusals",
                "Refusals by reason and verdict",
                Family::default(),
            ),
            head_seconds: metrics.register(
                "caller_head_seconds",
                "Time from a request to the head of its answer, in seconds",
                Histogram::new(exponential_buckets(0.0005, 2.0, 18)),
            ),
        }
    }

    pub(crate) fn answered(&self, status: u16, waited: Duration) {
        self.answers.get_or_create(&StatusLabels { status }).inc();
        self.head_seconds.observe(waited.as_secs_f64());
    }

    pub(crate) fn refused(&self, reason: Reason, verdict: Verdict) {
        let labels = RefusalLabels { reason: reason.to_string(), verdict: verdict.to_string() };
        self.refusals.get_or_create(&labels).inc();
    }
}
