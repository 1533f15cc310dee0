use {
    super::{
        engine_job::{EngineJob, Rest, Started},
        permit::Permit,
    },
    crate::{
        config::EndpointInfo,
        endpoint::{CallFailure, Engine, EngineCall, EngineEvent, HttpEngine, WorkerPool},
    },
    crossbeam::channel::{Receiver, RecvTimeoutError, bounded},
    mango_wire::{Reason, peer::ReleaseOutcome, problem::Verdict},
    std::{sync::Arc, time::Instant},
};

/// One sending of a request to an engine.
pub(crate) struct Attempt {
    pub(crate) endpoint: Arc<EndpointInfo>,
    pub(crate) permit: Permit,
    pub(crate) call: EngineCall,
    /// Gives the start of the answer, once.
    pub(crate) started: Receiver<Started>,
    pub(crate) sent_at: Instant,
    /// The answer after its first event.
    rest: Rest,
    engine: Arc<HttpEngine>,
    workers: Arc<WorkerPool<EngineJob>>,
}

impl Attempt {
    /// Sends the request. The permit's deadline is checked by the caller.
    pub(crate) fn start(
        endpoint: Arc<EndpointInfo>,
        engine: Arc<HttpEngine>,
        permit: Permit,
        call: EngineCall,
        workers: Arc<WorkerPool<EngineJob>>,
        piped: bool,
    ) -> std::io::Result<Self> {
        let (sender, started) = bounded(1);
        let (job_engine, job_call) = (engine.clone(), call.clone());
        workers.run(EngineJob::Generate {
            engine: job_engine,
            call: job_call,
            started: sender,
            piped,
        })?;
        let sent_at = Instant::now();
        let rest = Rest::Nothing;
        Ok(Self { endpoint, permit, call, started, sent_at, rest, engine, workers })
    }

    /// Takes what follows the first event.
    pub(crate) fn set_rest(&mut self, rest: Rest) {
        self.rest = rest;
    }

    /// Whether `next_event` keeps to its time.
    pub(crate) fn is_piped(&self) -> bool {
        matches!(self.rest, Rest::Piped(_))
    }

    /// Blocks until the next event after the first; `None` if the answer is piped
    /// and no event came until then.
    pub(crate) fn next_event(&mut self, until: Instant) -> Option<EngineEvent> {
        match &mut self.rest {
            Rest::Direct(answer) => Some(answer.next_event()),
            Rest::Piped(events) => match events.recv_deadline(until) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => Some(ended_early()),
            },
            Rest::Nothing => Some(ended_early()),
        }
    }

    /// Continues a broken answer from a token index on.
    pub(crate) fn resume(&mut self, from: u32) -> Result<(), CallFailure> {
        // closes the old connection first, so that the engine ends its old stream
        self.rest = Rest::Nothing;
        self.rest = Rest::Direct(Box::new(self.engine.resume(&self.call, from)?));
        Ok(())
    }

    /// Lowers the priority of a request that turned out long.
    pub(crate) fn demote(&self, priority: u16) {
        let attempt_id = self.call.attempt_id.clone();
        self.run(EngineJob::SetPriority { engine: self.engine.clone(), attempt_id, priority });
    }

    /// Stops the request at the engine and then gives the permit back.
    pub(crate) fn cancel(self, outcome: ReleaseOutcome) {
        let Self { mut permit, call, engine, workers, .. } = self;
        permit.set_outcome(outcome);
        let attempt_id = call.attempt_id;
        if let Err(e) = workers.run(EngineJob::Cancel { engine, attempt_id, permit }) {
            log::warn!("event=worker_start_failed error={e:?}");
        }
    }

    fn run(&self, job: EngineJob) {
        if let Err(e) = self.workers.run(job) {
            let attempt_id = &self.call.attempt_id;
            log::warn!("event=worker_start_failed attempt_id={attempt_id} error={e:?}");
        }
    }
}

fn ended_early() -> EngineEvent {
    let detail = "call ended early";
    EngineEvent::Failed(CallFailure::new(Verdict::MayHaveRun, Reason::EndpointBroken, detail))
}
