use {
    super::{gossiper::Gossiper, router_parts::RouterParts},
    crate::{
        dispatch::PermitReply,
        peer::{PeerHandler, Replier},
    },
    mango_wire::{
        HostId,
        peer::{PeerMessage, StatusReply},
    },
    std::sync::Arc,
};

/// Passes messages of peers to the components of the router that process them.
pub(crate) struct MessageHandler {
    parts: Arc<RouterParts>,
    gossiper: Arc<Gossiper>,
}

impl MessageHandler {
    pub(crate) fn new(parts: Arc<RouterParts>, gossiper: Arc<Gossiper>) -> Self {
        Self { parts, gossiper }
    }
}

impl PeerHandler for MessageHandler {
    fn handle(&self, from: &HostId, message: PeerMessage, replier: Replier) {
        let parts = &self.parts;
        match message {
            PeerMessage::Heartbeat(_)
            | PeerMessage::Suspect(_)
            | PeerMessage::Alive(_)
            | PeerMessage::Leaving(_) => {
                parts.membership.handle(from, replier.sender_identity(), &message);
            }
            PeerMessage::OutageProbe(_) | PeerMessage::TakeNotice(_) => {
                parts.ownership.handle(from, &message, replier);
            }
            PeerMessage::LoadGossip(gossip) => self.gossiper.merge(&gossip),
            PeerMessage::Acquire(acquire) => {
                parts.admission.acquire(from, acquire, PermitReply::Remote(replier));
            }
            PeerMessage::CancelAcquire(cancel) => parts.admission.cancel(from, &cancel),
            PeerMessage::Progress(progress) => {
                parts.admission.progress(&progress);
            }
            PeerMessage::Release(release) => parts.admission.release(from, &release),
            PeerMessage::ChatMoved(moved) => parts.admission.chat_moved(&moved),
            PeerMessage::Reregister(permits) => parts.admission.reregister(from, &permits),
            PeerMessage::ClaimRequest(request) => {
                parts.claims.claim_from(from, request, move |reply| {
                    replier.reply(PeerMessage::ClaimReply(reply))
                })
            }
            PeerMessage::OutcomeReport(report) => {
                acknowledge(parts.claims.record_outcome(report), replier)
            }
            PeerMessage::AbandonReport(report) => {
                acknowledge(parts.claims.abandon(report), replier)
            }
            PeerMessage::ConfigRequest(request) => {
                let reply = parts.config.handle_request(&request);
                replier.reply(PeerMessage::ConfigReply(reply));
            }
            PeerMessage::StatusRequest(_) => {
                let config_version = parts.config.current().version();
                let status = StatusReply { config_version, ready: parts.is_ready() };
                replier.reply(PeerMessage::StatusReply(status));
            }
            PeerMessage::LoadTicketRequest(_) => {
                replier.reply(PeerMessage::LoadTicketReply(parts.load_tickets.issue()));
            }
            PeerMessage::LoadTicketRelease(release) => {
                parts.orders.release_ticket(release.epoch, release.number);
            }
            PeerMessage::KvMoveRequest(request) => parts.kv_mover.start_moves(request),
            PeerMessage::Hello(_)
            | PeerMessage::Proof(_)
            | PeerMessage::OutageReply(_)
            | PeerMessage::Grant(_)
            | PeerMessage::Refuse(_)
            | PeerMessage::ClaimReply(_)
            | PeerMessage::ConfigReply(_)
            | PeerMessage::StatusReply(_)
            | PeerMessage::LoadTicketReply(_)
            | PeerMessage::Ack => {
                log::warn!("event=unexpected_message from={from}");
            }
        }
    }

    // a closed link says nothing about liveness, because idle links are closed too;
    // heartbeats decide it
    fn link_down(&self, _host: &HostId) {}

    fn accepts(&self, host: &HostId, identity: &str) -> bool {
        self.parts.membership.accepts(host, identity)
    }
}

/// Acknowledges a report that was accepted. A sender without a reply sends it again.
fn acknowledge(accepted: bool, replier: Replier) {
    if accepted {
        replier.reply(PeerMessage::Ack);
    }
}
