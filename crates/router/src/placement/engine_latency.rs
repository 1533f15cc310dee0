use std::time::Instant;

/// Smoothed answer times of one engine; 0 where nothing was measured.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineLatency {
    pub(crate) first_token_ms: f64,
    pub(crate) gap_us: f64,
    pub(crate) measured_at: Instant,
}
