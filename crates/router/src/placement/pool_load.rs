/// Loads and weights of a pool as seen by one owner at one time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolLoad {
    /// Cautious estimate of the requests in flight on the pool's engines.
    pub(crate) in_flight: u32,
    /// Sum of the weights after health.
    pub(crate) weight_sum: f64,
    /// Configured weight of the engine that asked.
    pub(crate) configured_weight: f64,
    /// Its weight after health.
    pub(crate) effective_weight: f64,
}

impl PoolLoad {
    /// Requests that the engine may carry at weight `weight`, without the limit of its slots.
    pub(crate) fn cap(&self, cap_multiple: f64, weight: f64) -> u32 {
        if self.weight_sum <= 0.0 {
            return 1;
        }
        let share = cap_multiple * weight / self.weight_sum * f64::from(self.in_flight + 1);
        // rounding errors of the product must not lift a whole number to the next one
        ((share - 1e-9).ceil() as u32).max(1)
    }
}
