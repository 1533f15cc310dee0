use {
    super::{
        authority::Authority, length_model::LengthModel, limits::Limits, metrics::AdmissionMetrics,
    },
    mango_wire::Epoch,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Low bits of a permit number that count permits; the others hold the epoch.
const COUNTER_BITS: u32 = 30;

/// What the engines of one host share.
pub(crate) struct Context<A> {
    pub(crate) authority: A,
    pub(crate) limits: Limits,
    pub(crate) load_ttl: Duration,
    pub(crate) length: LengthModel,
    pub(crate) metrics: AdmissionMetrics,
    pub(crate) permits: AtomicU64,
    /// See `LoadTable::local_starts`.
    pub(crate) local_starts: Arc<AtomicU64>,
}

impl<A: Authority> Context<A> {
    /// Number of a new permit. It contains the epoch, so that permits of an earlier
    /// owner, re-registered here, never have the number of a new one.
    pub(crate) fn next_permit(&self, epoch: Epoch) -> u64 {
        let count = self.permits.fetch_add(1, Ordering::Relaxed);
        epoch << COUNTER_BITS | count & ((1 << COUNTER_BITS) - 1)
    }
}
