use crate::load::LoadTracker;

/// One engine's entry in a `LoadTracker`.
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
