use {
    super::permit::Permit,
    crate::endpoint::{Engine, EngineCall, EngineEvent, HttpEngine, Job},
    crossbeam::channel::Sender,
    std::sync::Arc,
};

/// A blocking call to an engine, run by a worker thread.
pub(crate) enum EngineJob {
    Generate {
        engine: Arc<HttpEngine>,
        call: EngineCall,
        events: Sender<EngineEvent>,
    },
    Resume {
        engine: Arc<HttpEngine>,
        call: EngineCall,
        from: u32,
        events: Sender<EngineEvent>,
    },
    /// Holds the permit until the engine has stopped, so that the slot is not
    /// given away while the request still runs.
    Cancel {
        engine: Arc<HttpEngine>,
        attempt_id: String,
        permit: Permit,
    },
    SetPriority {
        engine: Arc<HttpEngine>,
        attempt_id: String,
        priority: u16,
    },
}

impl Job for EngineJob {
    fn run(self) {
        match self {
            Self::Generate { engine, call, events } => {
                engine.generate(&call, &mut |event| events.send(event).is_ok());
            }
            Self::Resume { engine, call, from, events } => {
                engine.resume(&call, from, &mut |event| events.send(event).is_ok());
            }
            Self::Cancel { engine, attempt_id, permit } => {
                if let Err(failure) = engine.cancel(&attempt_id) {
                    log::info!("event=cancel_failed attempt_id={attempt_id} error=\"{failure}\"");
                }
                drop(permit);
            }
            Self::SetPriority { engine, attempt_id, priority } => {
                if let Err(failure) = engine.set_priority(&attempt_id, priority) {
                    log::info!("event=demotion_failed attempt_id={attempt_id} error=\"{failure}\"");
                }
            }
        }
    }
}
