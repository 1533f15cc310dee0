use std::time::{Duration, Instant};

/// Weight of one outcome in the moving share of failures.
const FAILURE_GAIN: f64 = 0.25;
/// Weight of one answer in the moving latency.
const LATENCY_GAIN: f64 = 0.2;
/// Time in which an observation loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// First pause after a failed connection.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after failed connections in a row.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Health of an endpoint as this process has observed it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    failure_share: f64,
    latency_ms: f64,
    observed_at: Option<Instant>,
    paused_until: Option<Instant>,
    failed_connects: u32,
}

impl Health {
    pub(crate) fn answered(&mut self, latency: Duration, now: Instant) {
        self.observe(false, now);
        let sample = latency.as_secs_f64() * 1_000.0;
        let gain = if self.latency_ms == 0.0 { 1.0 } else { LATENCY_GAIN };
        self.latency_ms += gain * (sample - self.latency_ms);
        self.failed_connects = 0;
        self.paused_until = None;
    }

    pub(crate) fn failed(&mut self, now: Instant) {
        self.observe(true, now);
    }

    /// A connection could not be opened: pauses use, longer with each failure in a row.
    pub(crate) fn connect_failed(&mut self, now: Instant) {
        self.observe(true, now);
        let pause = MIN_PAUSE.saturating_mul(1 << self.failed_connects.min(3)).min(MAX_PAUSE);
        self.paused_until = Some(now + pause);
        self.failed_connects += 1;
    }

    /// Share of recent requests that failed; old observations fade.
    pub(crate) fn failure_share(&self, now: Instant) -> f64 {
        self.failure_share * self.weight(now)
    }

    /// Moving latency of answers in ms, 0 before the first or when observations are old.
    pub(crate) fn latency_ms(&self, now: Instant) -> f64 {
        if self.weight(now) < 0.25 { 0.0 } else { self.latency_ms }
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    fn observe(&mut self, is_failure: bool, now: Instant) {
        let sample = if is_failure { 1.0 } else { 0.0 };
        let faded = self.failure_share(now);
        self.failure_share = faded + FAILURE_GAIN * (sample - faded);
        self.observed_at = Some(now);
    }

    fn weight(&self, now: Instant) -> f64 {
        let Some(at) = self.observed_at else { return 0.0 };
        let half_lives = now.saturating_duration_since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5_f64.powf(half_lives)
    }
}
