/// Medians over the engines of a pool; `None` while too few are known.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolLatency {
    pub(crate) first_token_ms: Option<f64>,
    pub(crate) gap_us: Option<f64>,
}
