use std::time::{SystemTime, UNIX_EPOCH};

/// Wall-clock time, used only for the age of keys.
pub(crate) trait WallClock: Send + Sync + 'static {
    /// Milliseconds since 1970.
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
