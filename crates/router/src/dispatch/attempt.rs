use {
    super::{engine_job::EngineJob, permit::Permit},
    crate::{
        config::EndpointInfo,
        endpoint::{EngineCall, EngineEvent, HttpEngine, WorkerPool},
    },
    crossbeam::channel::{Receiver, bounded},
    mango_wire::peer::ReleaseOutcome,
    std::{sync::Arc, time::Instant},
};

/// Events of one answer kept for a slow caller before the engine is made to wait.
const EVENT_BUFFER: usize = 64;

/// One sending of a request to an engine.
pub(crate) struct Attempt {
    pub(crate) endpoint: Arc<EndpointInfo>,
    pub(crate) permit: Permit,
    pub(crate) call: EngineCall,
    pub(crate) events: Receiver<EngineEvent>,
    pub(crate) sent_at: Instant,
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
        let (sender, events) = bounded(EVENT_BUFFER);
        let job =
            EngineJob::Generate { engine: engine.clone(), call: call.clone(), events: sender };
        workers.run(job)?;
        Ok(Self { endpoint, permit, call, events, sent_at: Instant::now(), engine, workers })
    }

    /// Continues a broken answer from a token index on.
    pub(crate) fn resume(&mut self, from: u32) -> std::io::Result<()> {
        let (sender, events) = bounded(EVENT_BUFFER);
        let (engine, call) = (self.engine.clone(), self.call.clone());
        self.workers.run(EngineJob::Resume { engine, call, from, events: sender })?;
        self.events = events;
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
