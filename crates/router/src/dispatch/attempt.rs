use {
    super::{
        engine_job::{EngineJob, Started},
        permit::Permit,
    },
    crate::{
        config::EndpointInfo,
        endpoint::{
            CallFailure, Engine, EngineAnswer, EngineCall, EngineEvent, HttpEngine, WorkerPool,
        },
    },
    crossbeam::channel::{Receiver, bounded},
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
    answer: Option<EngineAnswer>,
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
    ) -> std::io::Result<Self> {
        let (sender, started) = bounded(1);
        let job =
            EngineJob::Generate { engine: engine.clone(), call: call.clone(), started: sender };
        workers.run(job)?;
        let sent_at = Instant::now();
        Ok(Self { endpoint, permit, call, started, sent_at, answer: None, engine, workers })
    }

    /// Takes the answer that follows the first event.
    pub(crate) fn set_answer(&mut self, answer: Option<EngineAnswer>) {
        self.answer = answer;
    }

    /// Blocks until the next event after the first.
    pub(crate) fn next_event(&mut self) -> EngineEvent {
        match &mut self.answer {
            Some(answer) => answer.next_event(),
            None => EngineEvent::Failed(CallFailure::new(
                Verdict::MayHaveRun,
                Reason::EndpointBroken,
                "call ended early",
            )),
        }
    }

    /// Continues a broken answer from a token index on.
    pub(crate) fn resume(&mut self, from: u32) -> Result<(), CallFailure> {
        // closes the old connection first, so that the engine ends its old stream
        self.answer = None;
        self.answer = Some(self.engine.resume(&self.call, from)?);
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
