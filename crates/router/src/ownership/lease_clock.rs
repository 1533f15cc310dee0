use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Deadlines until which this host may act, as atomics for the request path.
///
/// Times are nanoseconds since the clock was made; 0 is no deadline.
pub(crate) struct LeaseClock {
    base: Instant,
    lease: Duration,
    read_started: AtomicU64,
    lease_until: AtomicU64,
    outage_until: AtomicU64,
}

impl LeaseClock {
    pub(crate) fn new(lease: Duration) -> Self {
        Self {
            base: Instant::now(),
            lease,
            read_started: AtomicU64::new(0),
            lease_until: AtomicU64::new(0),
            outage_until: AtomicU64::new(0),
        }
    }

    pub(crate) fn lease(&self) -> Duration {
        self.lease
    }

    /// Extends the lease after a confirmed read of the log's tail.
    pub(crate) fn confirm(&self, read_started: Instant) {
        self.read_started.fetch_max(self.to_ns(read_started), Ordering::AcqRel);
        self.lease_until.fetch_max(self.to_ns(read_started + self.lease), Ordering::AcqRel);
        self.outage_until.store(0, Ordering::Release);
    }

    /// Lets this host act during an outage that a probe has verified.
    pub(crate) fn verify_outage(&self, probe_started: Instant) {
        self.outage_until.store(self.to_ns(probe_started + self.lease), Ordering::Release);
    }

    /// Ends the permission that `verify_outage` gave.
    pub(crate) fn revoke_outage(&self) {
        self.outage_until.store(0, Ordering::Release);
    }

    /// End of the time in which this host may act.
    pub(crate) fn acting_until(&self) -> Instant {
        let until = self.lease_until.load(Ordering::Acquire);
        self.to_instant(until.max(self.outage_until.load(Ordering::Acquire)))
    }

    pub(crate) fn is_leased(&self, now: Instant) -> bool {
        now < self.to_instant(self.lease_until.load(Ordering::Acquire))
    }

    /// Start of the newest confirmed read.
    pub(crate) fn newest_read(&self) -> Instant {
        self.to_instant(self.read_started.load(Ordering::Acquire))
    }

    fn to_ns(&self, time: Instant) -> u64 {
        time.saturating_duration_since(self.base).as_nanos() as u64
    }

    fn to_instant(&self, ns: u64) -> Instant {
        self.base + Duration::from_nanos(ns)
    }
}
