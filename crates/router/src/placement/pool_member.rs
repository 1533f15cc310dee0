use {
    super::load_cell::LoadCell,
    mango_wire::EndpointKey,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Age above which a count does not enter the estimate of a pool's total. A busy engine
/// is reported every 400 ms at the latest. When its owner has died, its requests end
/// and start again on other engines, whose newer counts then contain them twice.
const OVERDUE: Duration = Duration::from_millis(700);

/// An engine of a pool with its load.
#[derive(Clone, Debug)]
pub(crate) struct PoolMember {
    pub(crate) key: EndpointKey,
    pub(crate) slots: u32,
    pub(crate) weight: f64,
    pub(crate) cell: Arc<LoadCell>,
}

impl PoolMember {
    /// Newest and earlier requests in flight for the estimate of the pool's total; 0 if
    /// the next report is overdue.
    pub(crate) fn estimate(&self, now: Instant) -> (u32, u32) {
        let load = self.cell.fresh(now);
        let load = load.filter(|l| now.saturating_duration_since(l.counted_at) < OVERDUE);
        load.map_or((0, 0), |l| (l.in_flight, l.previous_in_flight))
    }

    /// Newest and earlier requests in flight and measured health factor in permille;
    /// 0 and full health if the report is unknown or too old, which only lowers caps.
    pub(crate) fn count(&self, now: Instant) -> (u32, u32, u16) {
        let load = self.cell.fresh(now);
        load.map_or((0, 0, 1000), |l| (l.in_flight, l.previous_in_flight, l.weight_permille))
    }
}
