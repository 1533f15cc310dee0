use {
    crossbeam::channel::{Receiver, Sender, TrySendError, bounded},
    std::{io, thread, time::Duration},
};

/// Time after which an idle thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A blocking call that a `WorkerPool` runs.
pub(crate) trait Job: Send + 'static {
    fn run(self);
}

/// Threads that run blocking calls to endpoints. A thread is kept for a while after its
/// call, because starting a new one costs more than a short call.
pub(crate) struct WorkerPool<J> {
    job_sender: Sender<J>,
    job_receiver: Receiver<J>,
}

impl<J: Job> WorkerPool<J> {
    pub(crate) fn new() -> Self {
        // with a capacity of 0, `try_send` succeeds only if an idle thread waits for a job
        let (job_sender, job_receiver) = bounded(0);
        Self { job_sender, job_receiver }
    }

    /// Runs a job on an idle thread or on a new one.
    pub(crate) fn run(&self, job: J) -> io::Result<()> {
        let job = match self.job_sender.try_send(job) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => job,
        };
        let job_receiver = self.job_receiver.clone();
        thread::Builder::new().name("endpoint-call".to_owned()).spawn(move || {
            job.run();
            while let Ok(job) = job_receiver.recv_timeout(IDLE_TIMEOUT) {
                job.run();
            }
        })?;
        Ok(())
    }
}
