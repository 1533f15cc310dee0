use std::time::Instant;

/// Moving averages of the latencies of one engine; 0 where nothing was measured.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineLatency {
    /// Time to the first token.
    pub(crate) first_token_ms: f64,
    /// Time between consecutive tokens.
    pub(crate) gap_us: f64,
    pub(crate) measured_at: Instant,
}
