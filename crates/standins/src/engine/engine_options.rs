use crate::load::LoadTracker;

/// Options of an engine stand-in. Times named "engine time" are multiplied by
/// `time_scale` and the slow-down factor, all others are real time.
#[derive(Clone)]
pub struct EngineOptions {
    /// Name in a `LoadTracker`.
    pub name: String,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait; more are refused with 429.
    pub queue_limit: usize,
    /// Engine time of the prefill of one uncached token.
    pub prefill_us_per_token: f64,
    /// Engine time of a decode step with one request running.
    pub step_ms: f64,
    /// Share of a step that each further running request adds.
    pub batch_slope: f64,
    /// Factor on all engine times.
    pub time_scale: f64,
    /// Capacity of the prefix cache.
    pub cache_tokens: u64,
    /// How long a request goes on without a connection.
    pub resume_grace_ms: u64,
    /// How long an ended request can be resumed.
    pub keep_ended_ms: u64,
    /// Age of a load report.
    pub load_lag_ms: u64,
    /// Age at which a cache event becomes visible.
    pub cache_event_delay_ms: u64,
    /// Share of the cache events that is lost, from 0 to 1.
    pub cache_event_loss: f64,
    /// Seed of the lost cache events.
    pub seed: u64,
    /// Whether orders and KV moves with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Engine time of an order.
    pub order_ms: f64,
    /// Engine time of an export or import of one token of KV cache.
    pub kv_us_per_token: f64,
    /// Observer of the true load.
    pub tracker: Option<LoadTracker>,
    /// Weight in the tracker.
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
