use {
    super::load_cell::LoadCell,
    mango_wire::EndpointKey,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Age from which a count is left out of the estimate of a pool's total. A busy engine is
/// reported at least every 400 ms. If its owner has crashed, its requests restart on other
/// engines, so a total of its old count and their newer counts includes these requests twice.
const ESTIMATE_MAX_AGE: Duration = Duration::from_millis(700);

/// An engine of a pool with access to its load.
#[derive(Clone, Debug)]
pub(crate) struct PoolMember {
    pub(crate) key: EndpointKey,
    pub(crate) slots: u32,
    pub(crate) weight: f64,
    pub(crate) cell: Arc<LoadCell>,
}

impl PoolMember {
    /// Latest and previous count of requests in flight for the estimate of the pool's total;
    /// 0 if the next report is overdue.
    pub(crate) fn counts_for_estimate(&self, now: Instant) -> (u32, u32) {
        let load = self.cell.fresh(now);
        let load = load.filter(|l| now.saturating_duration_since(l.counted_at) < ESTIMATE_MAX_AGE);
        load.map_or((0, 0), |l| (l.in_flight, l.previous_in_flight))
    }

    /// Latest and previous count of requests in flight, and the measured health factor in
    /// permille. Without a recent report these are 0 and 1,000, which can only lower the caps
    /// of the pool's engines.
    pub(crate) fn counts_and_health(&self, now: Instant) -> (u32, u32, u16) {
        let load = self.cell.fresh(now);
        load.map_or((0, 0, 1000), |l| (l.in_flight, l.previous_in_flight, l.weight_permille))
    }
}
