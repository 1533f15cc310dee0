use {
    super::{
        call_error::CallError, frame_stream::LENGTH_BYTES, message_kind::MessageKind,
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

// About 1 s of a host's peak of calls to one peer; the mean message has 100 bytes.
const QUEUE_MESSAGES: usize = 1024;

/// Bounded queue of encoded messages to one link, and the calls that wait for
/// a reply on it.
pub(crate) struct Outbox {
    sender: Sender<Outgoing>,
    receiver: Receiver<Outgoing>,
    wake: Notify,
    calls: Mutex<HashMap<u32, Sender<CallReply>>>,
    next_call: AtomicU32,
    /// Whether messages are refused because the peer could not be reached.
    closed: AtomicBool,
    metrics: PeerMetrics,
}

/// An encoded message with its length prefix.
pub(crate) struct Outgoing {
    pub(crate) bytes: Vec<u8>,
    pub(crate) kind: MessageKind,
    call: u32,
}

impl Outbox {
    pub(crate) fn new(metrics: PeerMetrics) -> Arc<Self> {
        let (sender, receiver) = bounded(QUEUE_MESSAGES);
        Arc::new(Self {
            sender,
            receiver,
            wake: Notify::new(),
            calls: Mutex::new(HashMap::new()),
            next_call: AtomicU32::new(1),
            closed: AtomicBool::new(false),
            metrics,
        })
    }

    /// Queues a one-way message (call 0) or a reply.
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

    /// Queues a message that is to be answered. Returns its call number.
    pub(crate) fn push_call(
        &self,
        message: PeerMessage,
        reply: Sender<CallReply>,
    ) -> Result<u32, CallError> {
        let call = self.register(reply);
        self.try_push(call, false, message).inspect_err(|_| self.forget(call))?;
        Ok(call)
    }

    fn register(&self, reply: Sender<CallReply>) -> u32 {
        let mut calls = self.calls.lock();
        loop {
            let call = self.next_call.fetch_add(1, Ordering::Relaxed);
            // 0 marks one-way messages, and a number in use after a wrap is skipped
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
        self.sender.try_send(Outgoing { bytes, kind, call }).map_err(|_| CallError::QueueFull)?;
        self.wake.notify_one();
        Ok(())
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.receiver.is_empty()
    }

    pub(crate) fn pop(&self) -> Option<Outgoing> {
        self.receiver.try_recv().ok()
    }

    /// Waits until a message may have been queued.
    pub(crate) async fn wait(&self) {
        if self.receiver.is_empty() {
            self.wake.notified().await;
        }
    }

    pub(crate) fn complete(&self, call: u32, reply: CallReply) {
        let waiting = self.calls.lock().remove(&call);
        if let Some(sender) = waiting {
            // the caller may have given up
            let _ = sender.try_send(reply);
        }
    }

    pub(crate) fn forget(&self, call: u32) {
        self.calls.lock().remove(&call);
    }

    /// Accepts messages again. What was queued while the outbox closed is
    /// dropped first, because its callers have been told of the failure.
    pub(crate) fn open(&self) {
        self.close();
        self.closed.store(false, Ordering::Release);
    }

    /// Refuses messages until `open`, drops those that are queued and fails all
    /// calls: with `Unreachable` those still queued, with `LinkLost` the others.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::Release);
        while let Some(outgoing) = self.pop() {
            if outgoing.call == 0 {
                self.metrics.dropped_messages.inc();
            } else {
                self.complete(outgoing.call, Err(CallError::Unreachable));
            }
        }
        for (_, sender) in self.calls.lock().drain() {
            let _ = sender.try_send(Err(CallError::LinkLost));
        }
    }
}

/// Encodes a message with its length prefix.
pub(crate) fn encode_frame(frame: &PeerFrame) -> Result<Vec<u8>, CallError> {
    let body = encode_message(frame).map_err(|_| CallError::TooLarge)?;
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}
