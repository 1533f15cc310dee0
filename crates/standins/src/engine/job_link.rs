use {
    crate::engine::{EngineCore, Job},
    std::sync::Arc,
};

/// A connection's hold on a request. When the last one is dropped, the request
/// goes on for the resume grace only.
pub(crate) struct JobLink {
    core: Arc<EngineCore>,
    job: Arc<Job>,
    breaks: u64,
}

impl JobLink {
    pub(crate) fn new(core: Arc<EngineCore>, job: Arc<Job>) -> Self {
        job.progress.lock().links += 1;
        let breaks = core.breaks();
        Self { core, job, breaks }
    }

    pub(crate) fn job(&self) -> &Arc<Job> {
        &self.job
    }

    /// Whether the connection is to be cut.
    pub(crate) fn is_broken(&self) -> bool {
        self.core.breaks() != self.breaks
    }
}

impl Drop for JobLink {
    fn drop(&mut self) {
        self.core.unlink(&self.job);
    }
}
