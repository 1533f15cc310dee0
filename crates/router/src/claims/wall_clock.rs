use std::time::{SystemTime, UNIX_EPOCH};

/// Source of wall-clock time, for values that are compared across hosts such as the
/// issue times of keys. Deadlines use `Instant`.
pub(crate) trait WallClock: Send + Sync + 'static {
    /// Current time in milliseconds since 1970.
    fn now_ms(&self) -> u64;
}

/// The clock of the operating system.
#[derive(Clone, Copy)]
pub(crate) struct SystemClock;

impl WallClock for SystemClock {
    fn now_ms(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
    }
}
