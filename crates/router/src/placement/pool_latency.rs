/// Median latencies of the engines of a pool; `None` if too few engines were measured.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolLatency {
    /// Time to the first token.
    pub(crate) first_token_ms: Option<f64>,
    /// Time between consecutive tokens.
    pub(crate) gap_us: Option<f64>,
}
