use {
    super::{call_error::CallError, outbox::Outbox},
    crossbeam::channel::{Receiver, RecvTimeoutError},
    mango_wire::peer::PeerMessage,
    std::{sync::Arc, time::Instant},
};

/// Reply of a peer together with the identity of the process that sent it.
pub(crate) type CallReply = Result<(Arc<str>, PeerMessage), CallError>;

/// A call to a peer whose reply may still be outstanding. Dropping it discards
/// a later reply.
pub(crate) struct PendingCall {
    state: State,
}

enum State {
    Failed(CallError),
    Waiting { outbox: Arc<Outbox>, call: u32, reply: Receiver<CallReply> },
}

impl PendingCall {
    pub(crate) fn failed(error: CallError) -> Self {
        Self { state: State::Failed(error) }
    }

    pub(crate) fn waiting(outbox: Arc<Outbox>, call: u32, reply: Receiver<CallReply>) -> Self {
        Self { state: State::Waiting { outbox, call, reply } }
    }

    /// Waits for the reply until the deadline; may be called again after a timeout.
    pub(crate) fn wait_until(&self, deadline: Instant) -> Result<PeerMessage, CallError> {
        self.receive(deadline).map(|(_, message)| message)
    }

    /// Waits for the reply until the deadline.
    pub(crate) fn wait(self, deadline: Instant) -> Result<PeerMessage, CallError> {
        self.wait_with_identity(deadline).map(|(_, message)| message)
    }

    /// Waits for the reply and returns it with the identity of the replying process.
    pub(crate) fn wait_with_identity(self, deadline: Instant) -> CallReply {
        self.receive(deadline)
    }

    fn receive(&self, deadline: Instant) -> CallReply {
        match &self.state {
            State::Failed(error) => Err(*error),
            State::Waiting { reply, .. } => match reply.recv_deadline(deadline) {
                Ok(result) => result,
                Err(RecvTimeoutError::Timeout) => Err(CallError::Timeout),
                Err(RecvTimeoutError::Disconnected) => Err(CallError::LinkLost),
            },
        }
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if let State::Waiting { outbox, call, .. } = &self.state {
            outbox.unregister_call(*call);
        }
    }
}
