mod engine_load;
mod load_reading;
mod load_tracker;
mod recent_maximum;
mod tracked_engine;

pub use {engine_load::EngineLoad, load_reading::LoadReading, load_tracker::LoadTracker};
pub(crate) use {recent_maximum::RecentMaximum, tracked_engine::TrackedEngine};
