use {
    crate::{
        admission::{AcquireResult, Reply},
        peer::Replier,
    },
    crossbeam::channel::Sender,
    mango_wire::peer::PeerMessage,
};

/// Sends the answer to an `Acquire` to the host that requested the permit.
pub(crate) enum PermitReply {
    /// A request of this host.
    Local(Sender<AcquireResult>),
    /// A request of another host.
    Remote(Replier),
}

impl Reply for PermitReply {
    fn reply(self, result: AcquireResult) {
        match self {
            // fails if the request has stopped waiting; its `CancelAcquire` then follows
            Self::Local(sender) => drop(sender.send(result)),
            Self::Remote(replier) => replier.reply(match result {
                AcquireResult::Granted(grant) => PeerMessage::Grant(grant),
                AcquireResult::Refused(refuse) => PeerMessage::Refuse(refuse),
            }),
        }
    }
}
