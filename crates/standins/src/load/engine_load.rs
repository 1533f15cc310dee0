/// Load of one tracked engine.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    /// Name from the engine's options.
    pub name: String,
    pub weight: f64,
    /// Requests in flight now.
    pub in_flight: usize,
    /// Maximum number of requests in flight.
    pub max_in_flight: usize,
    /// Time-weighted mean number of requests in flight.
    pub mean_in_flight: f64,
    /// Number of requests started.
    pub starts: u64,
}
