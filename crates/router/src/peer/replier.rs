use {super::outbox::Outbox, mango_wire::peer::PeerMessage, std::sync::Arc};

/// Sends the reply to one message on the link that the message came on.
pub(crate) struct Replier {
    outbox: Arc<Outbox>,
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

    /// Sends the reply. Does nothing when the message was one-way; the reply is
    /// dropped and counted when the link is gone or its queue is full.
    pub(crate) fn reply(self, message: PeerMessage) {
        if self.call != 0 {
            // the caller of a lost reply gets `Timeout` or `LinkLost`
            let _ = self.outbox.push(self.call, true, message);
        }
    }
}
