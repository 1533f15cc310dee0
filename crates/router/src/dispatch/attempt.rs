use {
    super::{
        engine_job::{AnswerStart, EngineJob, RemainingEvents},
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

/// One attempt to run a request on an engine.
pub(crate) struct Attempt {
    pub(crate) endpoint: Arc<EndpointInfo>,
    pub(crate) permit: Permit,
    pub(crate) call: EngineCall,
    /// Receives the first event of the answer and the source of the others, once.
    pub(crate) answer_start: Receiver<AnswerStart>,
    pub(crate) sent_at: Instant,
    /// Source of the events after the first one.
    remaining: RemainingEvents,
    engine: Arc<HttpEngine>,
    workers: Arc<WorkerPool<EngineJob>>,
}

impl Attempt {
    /// Sends the request on a worker thread. The permit must still be valid. If `piped` is
    /// set, the worker also reads the events after the first one and passes them through a
    /// channel (`RemainingEvents::Piped`).
    pub(crate) fn start(
        endpoint: Arc<EndpointInfo>,
        engine: Arc<HttpEngine>,
        permit: Permit,
        call: EngineCall,
        workers: Arc<WorkerPool<EngineJob>>,
        piped: bool,
    ) -> std::io::Result<Self> {
        let (sender, answer_start) = bounded(1);
        let (job_engine, job_call) = (engine.clone(), call.clone());
        workers.run(EngineJob::Generate {
            engine: job_engine,
            call: job_call,
            answer_start: sender,
            piped,
        })?;
        let sent_at = Instant::now();
        let remaining = RemainingEvents::Closed;
        Ok(Self { endpoint, permit, call, answer_start, sent_at, remaining, engine, workers })
    }

    /// Sets the source of the events after the first one.
    pub(crate) fn set_remaining(&mut self, remaining: RemainingEvents) {
        self.remaining = remaining;
    }

    /// Whether `next_event` returns at its time limit even if no event has arrived.
    pub(crate) fn is_piped(&self) -> bool {
        matches!(self.remaining, RemainingEvents::Piped(_))
    }

    /// Blocks until the next event after the first. Returns `None` only if the events
    /// are piped and none has arrived by `until`; otherwise the time limit does not apply.
    pub(crate) fn next_event(&mut self, until: Instant) -> Option<EngineEvent> {
        match &mut self.remaining {
            RemainingEvents::Direct(answer) => Some(answer.next_event()),
            RemainingEvents::Piped(events) => match events.recv_deadline(until) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => Some(ended_early()),
            },
            RemainingEvents::Closed => Some(ended_early()),
        }
    }

    /// Continues an interrupted answer at token index `from`, on a new connection.
    pub(crate) fn resume(&mut self, from: u32) -> Result<(), CallFailure> {
        // closes the old connection first, so that the engine ends its old stream
        self.remaining = RemainingEvents::Closed;
        self.remaining = RemainingEvents::Direct(Box::new(self.engine.resume(&self.call, from)?));
        Ok(())
    }

    /// Lowers the priority of a request whose answer has become long.
    pub(crate) fn demote(&self, priority: u16) {
        let attempt_id = self.call.attempt_id.clone();
        self.run_job(EngineJob::SetPriority { engine: self.engine.clone(), attempt_id, priority });
    }

    /// Cancels the request at the engine and then releases the permit with `outcome`.
    pub(crate) fn cancel(self, outcome: ReleaseOutcome) {
        let Self { mut permit, call, engine, workers, .. } = self;
        permit.set_outcome(outcome);
        let attempt_id = call.attempt_id;
        if let Err(e) = workers.run(EngineJob::Cancel { engine, attempt_id, permit }) {
            log::warn!("event=worker_start_failed error={e:?}");
        }
    }

    fn run_job(&self, job: EngineJob) {
        if let Err(e) = self.workers.run(job) {
            let attempt_id = &self.call.attempt_id;
            log::warn!("event=worker_start_failed attempt_id={attempt_id} error={e:?}");
        }
    }
}

/// Failure of an attempt whose event source ended before the last event of the answer.
fn ended_early() -> EngineEvent {
    let detail = "call ended early";
    EngineEvent::Failed(CallFailure::new(Verdict::MayHaveRun, Reason::EndpointBroken, detail))
}
