/// Limits on the size of callers' requests and on the time to receive them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request head to its last.
    pub head_timeout_ms: u64,
    /// Maximum time that a connection stays open without a request.
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
