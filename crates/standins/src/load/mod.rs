mod engine_load;
mod load_summary;
mod load_tracker;
mod recent_maximum;
mod tracked_engine;

pub use {engine_load::EngineLoad, load_summary::LoadSummary, load_tracker::LoadTracker};
pub(crate) use {recent_maximum::RecentMaximum, tracked_engine::TrackedEngine};
