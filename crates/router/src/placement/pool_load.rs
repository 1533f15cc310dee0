/// Load and weights of a pool at one time, as the owner of one of its engines sees them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolLoad {
    /// Conservative estimate of the requests in flight on the pool's engines.
    pub(crate) in_flight: u32,
    /// Sum of the engines' effective weights.
    pub(crate) weight_sum: f64,
    /// Configured weight of the owner's engine.
    pub(crate) configured_weight: f64,
    /// Weight of the owner's engine, reduced by its health factor if it is degraded.
    pub(crate) effective_weight: f64,
}

impl PoolLoad {
    /// Requests that an engine of weight `weight` may run at the same time, before the limit
    /// by its slots. At least 1.
    pub(crate) fn cap(&self, cap_multiple: f64, weight: f64) -> u32 {
        if self.weight_sum <= 0.0 {
            return 1;
        }
        let share = cap_multiple * weight / self.weight_sum * f64::from(self.in_flight + 1);
        // keeps a rounding error of the product from raising a whole number to the next one
        ((share - 1e-9).ceil() as u32).max(1)
    }
}
