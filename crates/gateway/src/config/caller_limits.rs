/// Bounds on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    pub head_bytes: usize,
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_timeout_ms: u64,
    /// How long a connection may stay open without a request.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: 16_384,
            body_bytes: 4_194_304,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
        }
    }
}
