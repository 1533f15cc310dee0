use {
    nix::time::{ClockId, clock_gettime},
    std::{
        ops::Add,
        time::{Duration, Instant},
    },
};

/// A point in time on a monotonic clock that also advances while the host is suspended.
///
/// `Instant` does not advance during a suspension. This clock measures time limits that must
/// also expire during one, such as how long API keys are trusted after the store has confirmed
/// the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BootInstant(Duration);

impl BootInstant {
    pub(crate) fn now() -> BootInstant {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => BootInstant(Duration::from(time)),
            // without this clock in the kernel, use a clock that does not count suspensions
            Err(_) => BootInstant(time_since_first_use()),
        }
    }

    /// The instant `ms` milliseconds after the start of the clock.
    pub(crate) fn from_millis(ms: u64) -> BootInstant {
        BootInstant(Duration::from_millis(ms))
    }

    /// Time since the start of the clock.
    pub(crate) fn as_millis(self) -> u64 {
        self.0.as_millis() as u64
    }

    pub(crate) fn checked_sub(self, duration: Duration) -> Option<BootInstant> {
        self.0.checked_sub(duration).map(BootInstant)
    }

    pub(crate) fn saturating_duration_since(self, earlier: BootInstant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootInstant {
    type Output = BootInstant;

    fn add(self, rhs: Duration) -> BootInstant {
        BootInstant(self.0 + rhs)
    }
}

/// Monotonic time since the first call in this process.
fn time_since_first_use() -> Duration {
    use std::sync::OnceLock;
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}
