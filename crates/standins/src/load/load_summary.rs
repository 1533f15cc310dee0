use crate::load::EngineLoad;

/// What a `LoadTracker` saw since it was created or reset.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    /// Starts that were checked against the cap.
    pub samples: u64,
    /// Starts after which the engine was over its cap.
    pub over_cap: u64,
    /// Largest number of requests above a cap.
    pub max_excess: usize,
    /// Most requests in flight at once on all engines.
    pub max_total: usize,
    /// Engines in the order of their registration.
    pub engines: Vec<EngineLoad>,
}
