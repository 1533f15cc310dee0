use {
    crate::history::{Call, Execution, Work},
    std::time::{Duration, Instant},
    todc_utils::{Action, History, Specification, WGLChecker},
};

/// Operation on an idempotency key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum KeyOperation {
    /// An endpoint ran the work, as the attempt with this id.
    Run(String),
    /// A call got the answer of the attempt with this id.
    Read(String),
    /// A call ended without an answer of an execution.
    Unchanged,
}

/// Models an idempotency key as a register that can be written only once.
struct KeySpecification;

impl Specification for KeySpecification {
    type Operation = KeyOperation;
    type State = Option<String>;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match operation {
            KeyOperation::Run(id) => (state.is_none(), Some(id.clone())),
            KeyOperation::Read(id) => (state.as_ref() == Some(id), state.clone()),
            KeyOperation::Unchanged => (true, state.clone()),
        }
    }
}

/// Whether the calls and executions of one key are linearizable: they have an order,
/// consistent with their times, in which the work ran at most once and every answer of
/// an execution came after it.
pub(crate) fn is_linearizable(calls: &[&Call], executions: &[&Execution]) -> bool {
    let mut timed: Vec<(Instant, usize, Action<KeyOperation>)> = Vec::new();
    let mut add = |process, from, until, operation: KeyOperation| {
        timed.push((from, process, Action::Call(operation.clone())));
        timed.push((until, process, Action::Response(operation)));
    };
    let mut process = 0;
    for execution in executions {
        // an execution takes effect at the moment that the endpoint recorded
        let until = execution.started + Duration::from_nanos(1);
        add(process, execution.started, until, KeyOperation::Run(execution.attempt_id.clone()));
        process += 1;
    }
    for call in calls {
        let Work::Booking { .. } = call.work else { continue };
        let operation = match call.answer.status {
            200 => KeyOperation::Read(call.answer.executed_attempt_id.clone()),
            _ => KeyOperation::Unchanged,
        };
        add(process, call.started, call.ended, operation);
        process += 1;
    }
    timed.sort_by_key(|(at, ..)| *at);
    let actions = timed.into_iter().map(|(_, process, action)| (process, action)).collect();
    WGLChecker::<KeySpecification>::is_linearizable(History::from_actions(actions))
}
