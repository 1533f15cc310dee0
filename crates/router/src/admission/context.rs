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

/// Low bits of a permit number that hold a counter; the high bits hold the epoch.
const PERMIT_COUNTER_BITS: u32 = 30;

/// State shared by all engines of one host.
pub(crate) struct Context<A> {
    pub(crate) authority: A,
    pub(crate) limits: Limits,
    pub(crate) load_ttl: Duration,
    pub(crate) length_model: LengthModel,
    pub(crate) metrics: AdmissionMetrics,
    /// Number of permits granted by this host.
    pub(crate) permit_counter: AtomicU64,
    /// Number of requests started so far on engines that this host owns, shared with
    /// the load table.
    pub(crate) local_starts: Arc<AtomicU64>,
}

impl<A: Authority> Context<A> {
    /// Number of a new permit. It contains the epoch, so that it differs from the
    /// numbers of re-registered permits that an earlier owner granted.
    pub(crate) fn next_permit_number(&self, epoch: Epoch) -> u64 {
        let count = self.permit_counter.fetch_add(1, Ordering::Relaxed);
        epoch << PERMIT_COUNTER_BITS | count & ((1 << PERMIT_COUNTER_BITS) - 1)
    }
}
