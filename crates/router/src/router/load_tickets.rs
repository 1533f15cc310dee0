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

/// Longest wait for the reply of the owner of `weights`.
const TICKET_TIMEOUT: Duration = Duration::from_millis(500);

/// Acquires and releases load tickets, which limit how many engines load weights at the
/// same time. The owner of the resource `weights`, which may be this host, issues them.
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

    /// Requests a ticket; `None` if none is free or the owner does not answer.
    pub(crate) fn acquire(&self) -> Option<LoadTicket> {
        // the lifetime counts from before the request, so the ticket expires here before it
        // expires at the owner
        let requested_at = Instant::now();
        let owner = self.ownership.owner(&self.weights)?;
        let reply = if owner.host_id == self.host_id {
            self.issue()
        } else {
            let request = PeerMessage::LoadTicketRequest(LoadTicketRequest { unused: 0 });
            match self.peers.call(&owner.host_id, request, requested_at + TICKET_TIMEOUT) {
                Ok(PeerMessage::LoadTicketReply(reply)) => reply,
                _ => return None,
            }
        };
        let lifetime = Duration::from_millis(u64::from(reply.remaining_ms));
        (reply.remaining_ms > 0).then_some(LoadTicket {
            epoch: reply.epoch,
            number: reply.number,
            deadline: requested_at + lifetime,
        })
    }

    /// Releases a ticket. If the release is lost, the ticket stays taken until it expires.
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

    /// Passes the epoch of `weights` to the order service if this host may act on it.
    pub(crate) fn update_epoch(&self) {
        if let Some(epoch) = self.ownership.acting_epoch(&self.weights) {
            self.orders.start_weights_epoch(epoch);
        }
    }

    /// Issues a ticket as the owner of `weights`, for a peer or for this host.
    pub(crate) fn issue(&self) -> LoadTicketReply {
        self.orders.issue_ticket(self.ownership.acting_epoch(&self.weights))
    }
}
