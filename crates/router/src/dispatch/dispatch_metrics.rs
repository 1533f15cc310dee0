use {
    crate::metrics::Metrics,
    prometheus_client::metrics::{
        counter::Counter,
        histogram::{Histogram, exponential_buckets},
    },
};

/// Metrics of the requests that this host dispatches to endpoints.
#[derive(Clone)]
pub(crate) struct DispatchMetrics {
    pub(crate) requests: Counter,
    pub(crate) tokens: Counter,
    pub(crate) retries: Counter,
    pub(crate) hedges: Counter,
    pub(crate) hedges_won: Counter,
    pub(crate) resumes: Counter,
    pub(crate) moves: Counter,
    pub(crate) cancels: Counter,
    pub(crate) demotions: Counter,
    pub(crate) permit_wait_seconds: Histogram,
    pub(crate) first_token_seconds: Histogram,
    pub(crate) token_gap_seconds: Histogram,
}

impl DispatchMetrics {
    pub(crate) fn register(metrics: &Metrics) -> Self {
        let counter = |name, help| metrics.register(name, help, Counter::default());
        let histogram = |name, help| {
            metrics.register(name, help, Histogram::new(exponential_buckets(0.001, 2.0, 16)))
        };
        Self {
            requests: counter("dispatch_requests", "Requests sent to endpoints"),
            tokens: counter("dispatch_tokens", "Tokens forwarded to callers"),
            retries: counter("dispatch_retries", "Requests sent again after a failure"),
            hedges: counter("dispatch_hedges", "Second requests sent because the first was slow"),
            hedges_won: counter("dispatch_hedges_won", "Second requests that answered first"),
            resumes: counter("dispatch_resumes", "Broken streams that were resumed"),
            moves: counter("dispatch_moves", "Slow answers continued on another engine"),
            cancels: counter("dispatch_cancels", "Requests cancelled at the endpoint"),
            demotions: counter(
                "dispatch_demotions",
                "Requests whose priority was lowered because the answer became long",
            ),
            permit_wait_seconds: histogram(
                "dispatch_permit_wait_seconds",
                "Time from the request to its permit, in seconds",
            ),
            first_token_seconds: histogram(
                "dispatch_first_token_seconds",
                "Time from sending a request to its first token, in seconds",
            ),
            token_gap_seconds: histogram(
                "dispatch_token_gap_seconds",
                "Mean time between the tokens of an answer, in seconds",
            ),
        }
    }
}
