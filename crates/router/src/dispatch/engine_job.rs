use {
    super::permit::Permit,
    crate::endpoint::{Engine, EngineCall, EngineEvent, EngineEventStream, HttpEngine, Job},
    crossbeam::channel::{Receiver, Sender, bounded},
    std::sync::Arc,
};

/// What follows the first event of an answer.
pub(crate) enum Rest {
    /// Read by the thread that needs it, which is the cheapest way.
    Direct(Box<EngineEventStream>),
    /// Read by a worker, so that the reader can stop waiting for a slow engine.
    Piped(Receiver<EngineEvent>),
    /// The call failed.
    Nothing,
}

/// First event of an answer, and the rest of it.
pub(crate) struct Started {
    pub(crate) first: EngineEvent,
    pub(crate) rest: Rest,
}

/// Events of one answer kept for a slow caller before the engine is made to wait.
const EVENT_BUFFER: usize = 64;

/// A blocking call to an engine, run by a worker thread.
pub(crate) enum EngineJob {
    /// Sends a request and waits for its first event.
    Generate {
        engine: Arc<HttpEngine>,
        call: EngineCall,
        started: Sender<Started>,
        /// Whether the rest is piped.
        piped: bool,
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
            Self::Generate { engine, call, started, piped } => {
                generate(&engine, &call, &started, piped);
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

fn generate(engine: &HttpEngine, call: &EngineCall, started: &Sender<Started>, piped: bool) {
    let mut answer = match engine.generate(call) {
        Ok(answer) => answer,
        Err(failure) => {
            let first = EngineEvent::Failed(failure);
            // an attempt that was given up takes no answer
            let _ = started.send(Started { first, rest: Rest::Nothing });
            return;
        }
    };
    let first = answer.next_event();
    if !piped || !matches!(first, EngineEvent::Token(_)) {
        let _ = started.send(Started { first, rest: Rest::Direct(Box::new(answer)) });
        return;
    }
    let (events, receiver) = bounded(EVENT_BUFFER);
    if started.send(Started { first, rest: Rest::Piped(receiver) }).is_err() {
        return;
    }
    loop {
        let event = answer.next_event();
        let last = !matches!(event, EngineEvent::Token(_));
        if events.send(event).is_err() || last {
            return;
        }
    }
}
