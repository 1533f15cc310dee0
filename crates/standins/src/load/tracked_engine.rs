use crate::load::LoadTracker;

/// Handle by which an engine reports its load to a `LoadTracker`.
pub(crate) struct TrackedEngine {
    tracker: LoadTracker,
    index: usize,
}

impl TrackedEngine {
    pub(crate) fn new(tracker: LoadTracker, index: usize) -> Self {
        Self { tracker, index }
    }

    pub(crate) fn start(&self) {
        self.tracker.start(self.index);
    }

    pub(crate) fn end(&self) {
        self.tracker.end(self.index);
    }
}
