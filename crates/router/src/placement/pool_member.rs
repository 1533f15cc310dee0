use {
    super::load_cell::LoadCell,
    mango_wire::EndpointKey,
    std::{sync::Arc, time::Instant},
};

/// An engine of a pool with its load.
#[derive(Clone, Debug)]
pub(crate) struct PoolMember {
    pub(crate) key: EndpointKey,
    pub(crate) slots: u32,
    pub(crate) weight: f64,
    pub(crate) cell: Arc<LoadCell>,
}

impl PoolMember {
    /// Newest and earlier requests in flight and measured health factor in permille;
    /// 0 and full health if the report is unknown or too old, which only lowers caps.
    pub(crate) fn count(&self, now: Instant) -> (u32, u32, u16) {
        let load = self.cell.fresh(now);
        load.map_or((0, 0, 1000), |l| (l.in_flight, l.earlier_in_flight, l.weight_permille))
    }
}
