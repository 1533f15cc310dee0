use crate::load::LoadTracker;

/// Options of a stand-in engine. Times described as engine time are multiplied by
/// `time_scale` and the factor of `EngineStandin::set_slowdown`; all others are real time.
#[derive(Clone)]
pub struct EngineOptions {
    /// Name of the engine in `tracker`.
    pub name: String,
    /// Limit for the requests that run at the same time.
    pub slots: usize,
    /// Limit for the requests that wait; more are refused with status 429.
    pub queue_limit: usize,
    /// Engine time to prefill one uncached token.
    pub prefill_us_per_token: f64,
    /// Engine time of a decode step while one request runs.
    pub step_ms: f64,
    /// Relative increase of the time of a step by each further running request.
    pub batch_slope: f64,
    /// Factor by which all engine times are multiplied.
    pub time_scale: f64,
    /// Number of tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// How long a request without a connection continues until it is cancelled.
    pub resume_grace_ms: u64,
    /// How long an ended request can be resumed.
    pub keep_ended_ms: u64,
    /// Age of the load that is reported.
    pub load_lag_ms: u64,
    /// Time until a cache event becomes visible to callers.
    pub cache_event_delay_ms: u64,
    /// Probability of the loss of a cache event, from 0 to 1.
    pub cache_event_loss: f64,
    /// Seed of the random choice of lost cache events.
    pub seed: u64,
    /// Whether orders and KV moves with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Engine time to execute an order.
    pub order_ms: f64,
    /// Engine time to export or import the KV cache of one token.
    pub kv_us_per_token: f64,
    /// Counts the requests in flight, without the lag of load reports.
    pub tracker: Option<LoadTracker>,
    /// Weight from which the tracker computes the engine's share of the load.
    pub weight: f64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            slots: 16,
            queue_limit: 64,
            prefill_us_per_token: 200.0,
            step_ms: 20.0,
            batch_slope: 0.03,
            time_scale: 1.0,
            cache_tokens: 400_000,
            resume_grace_ms: 2000,
            keep_ended_ms: 30_000,
            load_lag_ms: 500,
            cache_event_delay_ms: 200,
            cache_event_loss: 0.0,
            seed: 1,
            checks_fencing: true,
            order_ms: 0.0,
            kv_us_per_token: 0.0,
            tracker: None,
            weight: 1.0,
        }
    }
}
