use crate::load::EngineLoad;

/// Counts, maxima and means of a `LoadTracker` since it was created or reset.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    /// Number of request starts that were checked against the cap.
    pub samples: u64,
    /// Number of request starts after which the engine exceeded its cap.
    pub over_cap: u64,
    /// Largest number of requests by which an engine exceeded its cap.
    pub max_excess: usize,
    /// Maximum number of requests in flight on all engines together.
    pub max_total: usize,
    /// Engines in the order of their registration.
    pub engines: Vec<EngineLoad>,
}
