use std::time::{Duration, Instant};

/// Weight of a new outcome in the moving average of the failure share.
const FAILURE_GAIN: f64 = 0.25;
/// Weight of a new response in the moving average of the latency.
const LATENCY_GAIN: f64 = 0.2;
/// Time in which the weight of past observations halves.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Pause after the first failed connection attempt; it doubles with each consecutive one.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after consecutive failed connection attempts.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Health of an endpoint, from the requests of this process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// Moving average at `observed_at`.
    failure_share: f64,
    /// Moving average; 0 before the first response.
    latency_ms: f64,
    /// When the last response or failure was recorded.
    observed_at: Option<Instant>,
    paused_until: Option<Instant>,
    /// Consecutive failed connection attempts.
    failed_connects: u32,
}

impl Health {
    /// Records a response and its latency; ends a pause.
    pub(crate) fn record_response(&mut self, latency: Duration, now: Instant) {
        self.record_outcome(false, now);
        let sample = latency.as_secs_f64() * 1_000.0;
        let gain = if self.latency_ms == 0.0 { 1.0 } else { LATENCY_GAIN };
        self.latency_ms += gain * (sample - self.latency_ms);
        self.failed_connects = 0;
        self.paused_until = None;
    }

    /// Records a request that failed after the connection was open.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.record_outcome(true, now);
    }

    /// Records a failed connection attempt and pauses the endpoint.
    pub(crate) fn record_connect_failure(&mut self, now: Instant) {
        self.record_outcome(true, now);
        let pause = MIN_PAUSE.saturating_mul(1 << self.failed_connects.min(3)).min(MAX_PAUSE);
        self.paused_until = Some(now + pause);
        self.failed_connects += 1;
    }

    /// Share of recent requests that failed; the weight of observations decays over time.
    pub(crate) fn failure_share(&self, now: Instant) -> f64 {
        self.failure_share * self.decay(now)
    }

    /// Moving average of the response latency in ms; 0 before the first response, and when the
    /// last observation is more than two half-lives old.
    pub(crate) fn latency_ms(&self, now: Instant) -> f64 {
        if self.decay(now) < 0.25 { 0.0 } else { self.latency_ms }
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Adds an outcome to the moving average of the failure share.
    fn record_outcome(&mut self, is_failure: bool, now: Instant) {
        let sample = if is_failure { 1.0 } else { 0.0 };
        let decayed = self.failure_share(now);
        self.failure_share = decayed + FAILURE_GAIN * (sample - decayed);
        self.observed_at = Some(now);
    }

    /// Weight of the past observations now: 1 at the last one, 0 if there are none.
    fn decay(&self, now: Instant) -> f64 {
        let Some(at) = self.observed_at else { return 0.0 };
        let half_lives = now.saturating_duration_since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5_f64.powf(half_lives)
    }
}
