use {
    crossbeam::channel::{Receiver, Sender, TrySendError, bounded},
    std::{io, thread, time::Duration},
};

const IDLE_WAIT: Duration = Duration::from_secs(10);

/// A blocking call that a `WorkerPool` runs.
pub(crate) trait Job: Send + 'static {
    fn run(self);
}

/// Threads that run blocking calls to endpoints. A thread is kept for a while
/// after its call, because starting one costs more than a short call.
pub(crate) struct WorkerPool<J> {
    idle: Sender<J>,
    jobs: Receiver<J>,
}

impl<J: Job> WorkerPool<J> {
    pub(crate) fn new() -> Self {
        // without capacity a job is taken only by a thread that waits for one
        let (idle, jobs) = bounded(0);
        Self { idle, jobs }
    }

    /// Runs a job on an idle thread or on a new one.
    pub(crate) fn run(&self, job: J) -> io::Result<()> {
        let job = match self.idle.try_send(job) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => job,
        };
        let jobs = self.jobs.clone();
        thread::Builder::new().name("endpoint-call".to_owned()).spawn(move || {
            job.run();
            while let Ok(job) = jobs.recv_timeout(IDLE_WAIT) {
                job.run();
            }
        })?;
        Ok(())
    }
}
