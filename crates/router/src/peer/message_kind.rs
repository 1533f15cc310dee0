use {
    mango_wire::peer::PeerMessage,
    strum::{EnumCount, EnumIter, IntoStaticStr},
};

/// Kind of a message between routers, as a label in metrics.
#[derive(Clone, Copy, Debug, EnumCount, EnumIter, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum MessageKind {
    Hello,
    Proof,
    Heartbeat,
    Suspect,
    Alive,
    Leaving,
    LoadGossip,
    OutageProbe,
    OutageReply,
    TakeNotice,
    Acquire,
    CancelAcquire,
    Grant,
    Refuse,
    Progress,
    Release,
    Reregister,
    ClaimRequest,
    ClaimReply,
    OutcomeReport,
    AbandonReport,
    ConfigRequest,
    ConfigReply,
    StatusRequest,
    StatusReply,
    Ack,
    LoadTicketRequest,
    LoadTicketReply,
    LoadTicketRelease,
    KvMoveRequest,
    ChatMoved,
}

impl From<&PeerMessage> for MessageKind {
    fn from(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Hello(_) => Self::Hello,
            PeerMessage::Proof(_) => Self::Proof,
            PeerMessage::Heartbeat(_) => Self::Heartbeat,
            PeerMessage::Suspect(_) => Self::Suspect,
            PeerMessage::Alive(_) => Self::Alive,
            PeerMessage::Leaving(_) => Self::Leaving,
            PeerMessage::LoadGossip(_) => Self::LoadGossip,
            PeerMessage::OutageProbe(_) => Self::OutageProbe,
            PeerMessage::OutageReply(_) => Self::OutageReply,
            PeerMessage::TakeNotice(_) => Self::TakeNotice,
            PeerMessage::Acquire(_) => Self::Acquire,
            PeerMessage::CancelAcquire(_) => Self::CancelAcquire,
            PeerMessage::Grant(_) => Self::Grant,
            PeerMessage::Refuse(_) => Self::Refuse,
            PeerMessage::Progress(_) => Self::Progress,
            PeerMessage::Release(_) => Self::Release,
            PeerMessage::Reregister(_) => Self::Reregister,
            PeerMessage::ClaimRequest(_) => Self::ClaimRequest,
            PeerMessage::ClaimReply(_) => Self::ClaimReply,
            PeerMessage::OutcomeReport(_) => Self::OutcomeReport,
            PeerMessage::AbandonReport(_) => Self::AbandonReport,
            PeerMessage::ConfigRequest(_) => Self::ConfigRequest,
            PeerMessage::ConfigReply(_) => Self::ConfigReply,
            PeerMessage::StatusRequest(_) => Self::StatusRequest,
            PeerMessage::StatusReply(_) => Self::StatusReply,
            PeerMessage::Ack => Self::Ack,
            PeerMessage::LoadTicketRequest(_) => Self::LoadTicketRequest,
            PeerMessage::LoadTicketReply(_) => Self::LoadTicketReply,
            PeerMessage::LoadTicketRelease(_) => Self::LoadTicketRelease,
            PeerMessage::KvMoveRequest(_) => Self::KvMoveRequest,
            PeerMessage::ChatMoved(_) => Self::ChatMoved,
        }
    }
}
