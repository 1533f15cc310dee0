use {
    nix::time::{ClockId, clock_gettime},
    std::{
        ops::Add,
        time::{Duration, Instant},
    },
};

/// Point in time of a clock that also counts while the host is suspended.
///
/// `Instant` stands still during a suspension, so whatever must not outlive one
/// (the confirmation of API keys) is measured with this clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BootInstant(Duration);

impl BootInstant {
    pub(crate) fn now() -> BootInstant {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => BootInstant(Duration::from(time)),
            // a kernel without this clock: process time still orders events
            Err(_) => BootInstant(process_time()),
        }
    }

    pub(crate) fn from_millis(ms: u64) -> BootInstant {
        BootInstant(Duration::from_millis(ms))
    }

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

fn process_time() -> Duration {
    use std::sync::OnceLock;
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}
