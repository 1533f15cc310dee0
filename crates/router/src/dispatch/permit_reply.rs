use {
    crate::{
        admission::{AcquireResult, Reply},
        peer::Replier,
    },
    crossbeam::channel::Sender,
    mango_wire::peer::PeerMessage,
};

/// Where the answer to an `Acquire` goes.
pub(crate) enum PermitReply {
    /// A request of this host.
    Local(Sender<AcquireResult>),
    /// A request of another host.
    Remote(Replier),
}

impl Reply for PermitReply {
    fn reply(self, result: AcquireResult) {
        match self {
            // the receiver is gone when the request no longer waits; its cancel follows
            Self::Local(sender) => drop(sender.send(result)),
            Self::Remote(replier) => replier.reply(match result {
                AcquireResult::Granted(grant) => PeerMessage::Grant(grant),
                AcquireResult::Refused(refuse) => PeerMessage::Refuse(refuse),
            }),
        }
    }
}
