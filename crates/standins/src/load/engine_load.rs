/// Load of one tracked engine.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    /// Name from the engine's options.
    pub name: String,
    pub weight: f64,
    /// Requests in flight now.
    pub in_flight: usize,
    /// Most requests in flight at once.
    pub max_in_flight: usize,
    /// Mean over time of the requests in flight.
    pub mean_in_flight: f64,
    /// Requests started.
    pub starts: u64,
}
