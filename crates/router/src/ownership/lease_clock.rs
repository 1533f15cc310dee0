use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Deadlines until which this host may act on the resources that it owns. They are atomics
/// so that the request path reads them without a lock.
///
/// Times are nanoseconds since the clock was created; a deadline of 0 has passed.
pub(crate) struct LeaseClock {
    base: Instant,
    lease: Duration,
    last_read_started: AtomicU64,
    lease_until: AtomicU64,
    outage_until: AtomicU64,
}

impl LeaseClock {
    pub(crate) fn new(lease: Duration) -> Self {
        Self {
            base: Instant::now(),
            lease,
            last_read_started: AtomicU64::new(0),
            lease_until: AtomicU64::new(0),
            outage_until: AtomicU64::new(0),
        }
    }

    pub(crate) fn lease(&self) -> Duration {
        self.lease
    }

    /// Extends the lease after a confirmed read of the log's tail, counted from the start of
    /// the read.
    pub(crate) fn extend_lease(&self, read_started: Instant) {
        self.last_read_started.fetch_max(self.to_ns(read_started), Ordering::AcqRel);
        self.lease_until.fetch_max(self.to_ns(read_started + self.lease), Ordering::AcqRel);
        self.outage_until.store(0, Ordering::Release);
    }

    /// Lets this host act for a lease from the start of the probe that verified an outage.
    pub(crate) fn extend_for_outage(&self, probe_started: Instant) {
        self.outage_until.store(self.to_ns(probe_started + self.lease), Ordering::Release);
    }

    /// Withdraws the extension by `extend_for_outage`.
    pub(crate) fn revoke_outage_extension(&self) {
        self.outage_until.store(0, Ordering::Release);
    }

    /// Time until which this host may act.
    pub(crate) fn acting_until(&self) -> Instant {
        let until = self.lease_until.load(Ordering::Acquire);
        self.to_instant(until.max(self.outage_until.load(Ordering::Acquire)))
    }

    /// Whether a read of the log was confirmed within the lease.
    pub(crate) fn is_leased(&self, now: Instant) -> bool {
        now < self.to_instant(self.lease_until.load(Ordering::Acquire))
    }

    /// Start of the last confirmed read.
    pub(crate) fn last_confirmed_read(&self) -> Instant {
        self.to_instant(self.last_read_started.load(Ordering::Acquire))
    }

    fn to_ns(&self, time: Instant) -> u64 {
        time.saturating_duration_since(self.base).as_nanos() as u64
    }

    fn to_instant(&self, ns: u64) -> Instant {
        self.base + Duration::from_nanos(ns)
    }
}
