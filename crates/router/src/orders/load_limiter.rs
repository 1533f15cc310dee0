use {
    super::{LoadTicket, TicketRefusal},
    mango_wire::{Epoch, settings::OrderSettings},
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Limits the loads from the weight store that run at once in the fleet, by issuing
/// tickets for them. The owner of the resource `weights` uses it.
///
/// At most `weight_loads` tickets are valid at once, also during a takeover: a new owner
/// does not have the list of its predecessor's tickets, so it issues none until they have
/// expired. While the weight store is down, loads fail and their tickets are released; no
/// order unloads anything, so what is loaded stays in service. An engine that continues to
/// load after the deadline of its order is not counted.
pub(crate) struct LoadLimiter {
    max_tickets: usize,
    ticket_lifetime: Duration,
    state: Mutex<LimiterState>,
}

struct LimiterState {
    epoch: Epoch,
    /// Time from which tickets are issued in this epoch.
    issue_from: Instant,
    next_number: u64,
    /// Deadlines of the valid tickets by number.
    tickets: HashMap<u64, Instant>,
}

impl LoadLimiter {
    /// Creates a limiter that has no epoch yet.
    pub(crate) fn new(settings: &OrderSettings, now: Instant) -> Self {
        Self {
            max_tickets: settings.weight_loads as usize,
            ticket_lifetime: Duration::from_millis(settings.order_ms.into()),
            state: Mutex::new(LimiterState {
                epoch: 0,
                issue_from: now,
                next_number: 0,
                tickets: HashMap::new(),
            }),
        }
    }

    /// Starts the wait until the predecessor's tickets have expired, if the epoch is new.
    pub(crate) fn start_epoch(&self, epoch: Epoch, now: Instant) {
        let mut state = self.state.lock();
        if epoch > state.epoch {
            state.epoch = epoch;
            // 10% more than the lifetime, in case the clocks of hosts run at different speeds
            state.issue_from = now + self.ticket_lifetime + self.ticket_lifetime / 10;
            state.tickets.clear();
        }
    }

    /// Issues a ticket under the acting epoch of `weights`. Calls `start_epoch` first, in
    /// case the epoch is new.
    pub(crate) fn acquire(&self, epoch: Epoch, now: Instant) -> Result<LoadTicket, TicketRefusal> {
        self.start_epoch(epoch, now);
        let mut state = self.state.lock();
        if epoch < state.epoch {
            return Err(TicketRefusal { retry_after: self.ticket_lifetime });
        }
        if now < state.issue_from {
            return Err(TicketRefusal { retry_after: state.issue_from - now });
        }
        state.tickets.retain(|_, deadline| *deadline > now);
        if state.tickets.len() >= self.max_tickets {
            let first_expiry =
                state.tickets.values().min().map_or(self.ticket_lifetime, |d| *d - now);
            return Err(TicketRefusal { retry_after: first_expiry });
        }
        let ticket =
            LoadTicket { epoch, number: state.next_number, deadline: now + self.ticket_lifetime };
        state.next_number += 1;
        state.tickets.insert(ticket.number, ticket.deadline);
        Ok(ticket)
    }

    /// Releases a ticket whose load has ended.
    pub(crate) fn release(&self, epoch: Epoch, number: u64) {
        let mut state = self.state.lock();
        if epoch == state.epoch {
            state.tickets.remove(&number);
        }
    }
}
