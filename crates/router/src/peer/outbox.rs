use {
    super::{
        call_error::CallError, frame_stream::LENGTH_PREFIX_BYTES, message_kind::MessageKind,
        peer_metrics::PeerMetrics, pending_call::CallReply,
    },
    crossbeam::channel::{Receiver, Sender, bounded},
    mango_wire::{
        encode_message,
        peer::{PeerFrame, PeerMessage},
    },
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
    },
    tokio::sync::Notify,
};

// About 1 s of calls from one host to one peer at peak load; a message has 100
// bytes on average.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// Bounded queue of encoded messages for one link, and the calls that wait for
/// a reply on the link.
pub(crate) struct Outbox {
    sender: Sender<OutgoingMessage>,
    receiver: Receiver<OutgoingMessage>,
    message_queued: Notify,
    /// Calls that wait for a reply, by call number.
    pending_calls: Mutex<HashMap<u32, Sender<CallReply>>>,
    next_call: AtomicU32,
    /// Whether new messages are refused, because the link failed or the host was
    /// removed.
    closed: AtomicBool,
    metrics: PeerMetrics,
}

/// An encoded message with its length prefix.
pub(crate) struct OutgoingMessage {
    pub(crate) bytes: Vec<u8>,
    pub(crate) kind: MessageKind,
    /// Call number; 0 for a one-way message.
    call: u32,
}

impl Outbox {
    pub(crate) fn new(metrics: PeerMetrics) -> Arc<Self> {
        let (sender, receiver) = bounded(MAX_QUEUED_MESSAGES);
        Arc::new(Self {
            sender,
            receiver,
            message_queued: Notify::new(),
            pending_calls: Mutex::new(HashMap::new()),
            next_call: AtomicU32::new(1),
            closed: AtomicBool::new(false),
            metrics,
        })
    }

    /// Queues a one-way message (call 0) or a reply (with the number of its call).
    pub(crate) fn push(
        &self,
        call: u32,
        reply: bool,
        message: PeerMessage,
    ) -> Result<(), CallError> {
        let result = self.try_push(call, reply, message);
        if result.is_err() {
            self.metrics.dropped_messages.inc();
        }
        result
    }

    /// Queues a message that requires a reply. Returns its call number.
    pub(crate) fn push_call(
        &self,
        message: PeerMessage,
        reply: Sender<CallReply>,
    ) -> Result<u32, CallError> {
        let call = self.register_call(reply);
        self.try_push(call, false, message).inspect_err(|_| self.unregister_call(call))?;
        Ok(call)
    }

    fn register_call(&self, reply: Sender<CallReply>) -> u32 {
        let mut calls = self.pending_calls.lock();
        loop {
            let call = self.next_call.fetch_add(1, Ordering::Relaxed);
            // 0 marks one-way messages; after a wrap, numbers still in use are skipped
            if call != 0 && !calls.contains_key(&call) {
                calls.insert(call, reply);
                return call;
            }
        }
    }

    fn try_push(&self, call: u32, reply: bool, message: PeerMessage) -> Result<(), CallError> {
        if self.closed.load(Ordering::Acquire) {
            return Err(CallError::Unreachable);
        }
        let kind = MessageKind::from(&message);
        let bytes = encode_frame(&PeerFrame { call, reply, message })?;
        self.sender
            .try_send(OutgoingMessage { bytes, kind, call })
            .map_err(|_| CallError::QueueFull)?;
        self.message_queued.notify_one();
        Ok(())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.receiver.is_empty()
    }

    pub(crate) fn pop(&self) -> Option<OutgoingMessage> {
        self.receiver.try_recv().ok()
    }

    /// Waits until a message may have been queued.
    pub(crate) async fn wait(&self) {
        if self.receiver.is_empty() {
            self.message_queued.notified().await;
        }
    }

    /// Passes the result of a call to its waiting caller.
    pub(crate) fn complete_call(&self, call: u32, reply: CallReply) {
        let reply_sender = self.pending_calls.lock().remove(&call);
        if let Some(sender) = reply_sender {
            // the caller may have stopped waiting
            let _ = sender.try_send(reply);
        }
    }

    /// Removes a call whose reply is no longer waited for.
    pub(crate) fn unregister_call(&self, call: u32) {
        self.pending_calls.lock().remove(&call);
    }

    /// Accepts messages again. First drops the messages that were queued while
    /// `close` ran, because their calls have already failed.
    pub(crate) fn open(&self) {
        self.close();
        self.closed.store(false, Ordering::Release);
    }

    /// Refuses messages until `open`, drops the queued messages and fails all
    /// calls: with `Unreachable` if the message was still queued, otherwise with
    /// `LinkLost`.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::Release);
        while let Some(outgoing) = self.pop() {
            if outgoing.call == 0 {
                self.metrics.dropped_messages.inc();
            } else {
                self.complete_call(outgoing.call, Err(CallError::Unreachable));
            }
        }
        for (_, sender) in self.pending_calls.lock().drain() {
            let _ = sender.try_send(Err(CallError::LinkLost));
        }
    }
}

/// Encodes a message with its length prefix.
pub(crate) fn encode_frame(frame: &PeerFrame) -> Result<Vec<u8>, CallError> {
    let body = encode_message(frame).map_err(|_| CallError::TooLarge)?;
    let mut bytes = Vec::with_capacity(LENGTH_PREFIX_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}
