use {super::outbox::Outbox, mango_wire::peer::PeerMessage, std::sync::Arc};

/// Sends the reply to one message on the link that the message came on.
pub(crate) struct Replier {
    outbox: Arc<Outbox>,
    /// Call number of the message; 0 if it was one-way.
    call: u32,
    identity: Arc<str>,
}

impl Replier {
    pub(crate) fn new(outbox: Arc<Outbox>, call: u32, identity: Arc<str>) -> Self {
        Self { outbox, call, identity }
    }

    /// Identity of the process that sent the message.
    pub(crate) fn sender_identity(&self) -> &str {
        &self.identity
    }

    /// Queues the reply. Does nothing if the message was one-way; the reply is
    /// dropped and counted if the link is closed or its queue is full.
    pub(crate) fn reply(self, message: PeerMessage) {
        if self.call != 0 {
            // if the reply is lost, the call fails with `Timeout` or `LinkLost` on the peer
            let _ = self.outbox.push(self.call, true, message);
        }
    }
}
