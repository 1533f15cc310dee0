use {
    crate::engine::{EngineCore, Job},
    std::sync::Arc,
};

/// Connection that waits for the tokens or the end of a job. After the last one is
/// dropped, the job is cancelled unless it is resumed within `resume_grace_ms`.
pub(crate) struct JobConnection {
    core: Arc<EngineCore>,
    job: Arc<Job>,
    // count in `EngineCore` when the connection started; a higher one later means that
    // the connection must be closed
    break_count: u64,
}

impl JobConnection {
    pub(crate) fn new(core: Arc<EngineCore>, job: Arc<Job>) -> Self {
        job.progress.lock().connections += 1;
        let break_count = core.break_count();
        Self { core, job, break_count }
    }

    pub(crate) fn job(&self) -> &Arc<Job> {
        &self.job
    }

    /// Whether the connection must be closed without a complete response.
    pub(crate) fn is_broken(&self) -> bool {
        self.core.break_count() != self.break_count
    }
}

impl Drop for JobConnection {
    fn drop(&mut self) {
        self.core.disconnect(&self.job);
    }
}
