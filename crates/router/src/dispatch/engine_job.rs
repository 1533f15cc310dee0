use {
    super::permit::Permit,
    crate::endpoint::{Engine, EngineCall, EngineEvent, EngineEventStream, HttpEngine, Job},
    crossbeam::channel::{Receiver, Sender, bounded},
    std::sync::Arc,
};

/// Source of the events of an answer after its first one.
pub(crate) enum RemainingEvents {
    /// Read from the connection by the thread that needs the events: the cheapest way,
    /// since no event passes from thread to thread.
    Direct(Box<EngineEventStream>),
    /// Read by a worker thread and passed through a channel, so that the receiver can
    /// stop waiting for a slow engine.
    Piped(Receiver<EngineEvent>),
    /// No further events: the call has not started, has failed or was closed.
    Closed,
}

/// First event of an answer, and the source of the remaining ones.
pub(crate) struct AnswerStart {
    pub(crate) first_event: EngineEvent,
    pub(crate) remaining: RemainingEvents,
}

/// Maximum number of events of one answer that a worker buffers while the caller is slow.
/// The worker then stops reading from the engine.
const MAX_BUFFERED_EVENTS: usize = 64;

/// A blocking call to an engine, run by a worker thread.
pub(crate) enum EngineJob {
    /// Sends a request and waits for the first event of its answer.
    Generate {
        engine: Arc<HttpEngine>,
        call: EngineCall,
        answer_start: Sender<AnswerStart>,
        /// Whether the remaining events are read by the worker (`RemainingEvents::Piped`).
        piped: bool,
    },
    /// Cancels a request at the engine. Holds the permit until that call has ended,
    /// so that the owner does not grant the slot again while the request still runs.
    Cancel { engine: Arc<HttpEngine>, attempt_id: String, permit: Permit },
    /// Changes the priority of a request that the engine runs.
    SetPriority { engine: Arc<HttpEngine>, attempt_id: String, priority: u16 },
}

impl Job for EngineJob {
    fn run(self) {
        match self {
            Self::Generate { engine, call, answer_start, piped } => {
                generate(&engine, &call, &answer_start, piped);
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

fn generate(
    engine: &HttpEngine,
    call: &EngineCall,
    answer_start: &Sender<AnswerStart>,
    piped: bool,
) {
    let mut answer = match engine.generate(call) {
        Ok(answer) => answer,
        Err(failure) => {
            let first_event = EngineEvent::Failed(failure);
            // fails if the attempt was dropped in the meantime
            let _ =
                answer_start.send(AnswerStart { first_event, remaining: RemainingEvents::Closed });
            return;
        }
    };
    let first_event = answer.next_event();
    if !piped || !matches!(first_event, EngineEvent::Token(_)) {
        let _ = answer_start.send(AnswerStart {
            first_event,
            remaining: RemainingEvents::Direct(Box::new(answer)),
        });
        return;
    }
    let (events, receiver) = bounded(MAX_BUFFERED_EVENTS);
    if answer_start
        .send(AnswerStart { first_event, remaining: RemainingEvents::Piped(receiver) })
        .is_err()
    {
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
