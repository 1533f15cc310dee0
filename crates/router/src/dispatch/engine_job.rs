use {
    super::permit::Permit,
    crate::endpoint::{Engine, EngineAnswer, EngineCall, EngineEvent, HttpEngine, Job},
    crossbeam::channel::Sender,
    std::sync::Arc,
};

/// First event of an answer, and the rest of it unless the call failed.
pub(crate) struct Started {
    pub(crate) first: EngineEvent,
    pub(crate) answer: Option<EngineAnswer>,
}

/// A blocking call to an engine, run by a worker thread.
pub(crate) enum EngineJob {
    /// Sends a request and waits for its first event.
    Generate {
        engine: Arc<HttpEngine>,
        call: EngineCall,
        started: Sender<Started>,
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
            Self::Generate { engine, call, started } => {
                let first = match engine.generate(&call) {
                    Ok(mut answer) => Started { first: answer.next_event(), answer: Some(answer) },
                    Err(failure) => Started { first: EngineEvent::Failed(failure), answer: None },
                };
                // an attempt that was given up takes no answer
                let _ = started.send(first);
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
