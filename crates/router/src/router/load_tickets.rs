use {
    super::types::RouterOrders,
    crate::{
        orders::LoadTicket,
        ownership::{Ownership, ResourceId},
        peer::PeerNet,
    },
    mango_wire::{
        HostId,
        peer::{LoadTicketRelease, LoadTicketReply, LoadTicketRequest, PeerMessage},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Longest wait for the owner of `weights`.
const TICKET_WAIT: Duration = Duration::from_millis(500);

/// Gets load tickets from the owner of `weights`, which may be this host.
pub(crate) struct LoadTickets {
    host_id: HostId,
    ownership: Arc<Ownership>,
    peers: PeerNet,
    orders: Arc<RouterOrders>,
    weights: ResourceId,
}

impl LoadTickets {
    pub(crate) fn new(
        host_id: HostId,
        ownership: Arc<Ownership>,
        peers: PeerNet,
        orders: Arc<RouterOrders>,
    ) -> Self {
        Self { host_id, ownership, peers, orders, weights: ResourceId::weights() }
    }

    /// Asks for a ticket; `None` if none is free or the owner does not answer.
    pub(crate) fn acquire(&self) -> Option<LoadTicket> {
        // counted from before the request, so that it ends before it does at the owner
        let asked_at = Instant::now();
        let owner = self.ownership.owner(&self.weights)?;
        let reply = if owner.host_id == self.host_id {
            self.give()
        } else {
            let request = PeerMessage::LoadTicketRequest(LoadTicketRequest { unused: 0 });
            match self.peers.call(&owner.host_id, request, asked_at + TICKET_WAIT) {
                Ok(PeerMessage::LoadTicketReply(reply)) => reply,
                _ => return None,
            }
        };
        let lifetime = Duration::from_millis(u64::from(reply.remaining_ms));
        (reply.remaining_ms > 0).then_some(LoadTicket {
            epoch: reply.epoch,
            number: reply.number,
            deadline: asked_at + lifetime,
        })
    }

    /// Gives a ticket back. A release that is lost costs the ticket's remaining time.
    pub(crate) fn release(&self, ticket: &LoadTicket) {
        let (epoch, number) = (ticket.epoch, ticket.number);
        match self.ownership.owner(&self.weights) {
            Some(owner) if owner.host_id == self.host_id => {
                self.orders.release_ticket(epoch, number);
            }
            Some(owner) => {
                let release = LoadTicketRelease { epoch, number };
                self.peers.send(&owner.host_id, PeerMessage::LoadTicketRelease(release));
            }
            None => {}
        }
    }

    /// Notes whether this host may act on `weights`.
    pub(crate) fn review(&self) {
        if let Some(epoch) = self.ownership.acting_epoch(&self.weights) {
            self.orders.start_weights_epoch(epoch);
        }
    }

    /// Gives a ticket of this host, for a peer or for itself.
    pub(crate) fn give(&self) -> LoadTicketReply {
        self.orders.issue_ticket(self.ownership.acting_epoch(&self.weights))
    }
}
