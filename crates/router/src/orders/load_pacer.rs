use {
    super::{LoadRefusal, LoadTicket},
    mango_wire::{Epoch, settings::OrderSettings},
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Paces loads from the weight store over the fleet. It belongs to the owner of the
/// resource `weights`.
///
/// At most `weight_loads` tickets are valid at once, also over a takeover: a new owner
/// does not know its predecessor's tickets and gives none before they have expired.
/// While the weight store is down, loads fail and give their tickets back; no order
/// unloads anything, so what is loaded stays in service. An engine that goes on
/// loading after its order's deadline is not counted.
pub(crate) struct LoadPacer {
    limit: usize,
    lifetime: Duration,
    state: Mutex<PacerState>,
}

struct PacerState {
    epoch: Epoch,
    gives_from: Instant,
    next_number: u64,
    tickets: HashMap<u64, Instant>,
}

impl LoadPacer {
    /// Creates a pacer that has no epoch yet.
    pub(crate) fn new(settings: &OrderSettings, now: Instant) -> Self {
        Self {
            limit: settings.weight_loads as usize,
            lifetime: Duration::from_millis(settings.order_ms.into()),
            state: Mutex::new(PacerState {
                epoch: 0,
                gives_from: now,
                next_number: 0,
                tickets: HashMap::new(),
            }),
        }
    }

    /// Starts the wait for a predecessor's tickets, if the epoch is new.
    pub(crate) fn start_epoch(&self, epoch: Epoch, now: Instant) {
        let mut state = self.state.lock();
        if epoch > state.epoch {
            state.epoch = epoch;
            // 10% cover clocks that run at different speeds
            state.gives_from = now + self.lifetime + self.lifetime / 10;
            state.tickets.clear();
        }
    }

    /// Gives a ticket under the acting epoch of `weights`. An epoch that is new here
    /// starts first.
    pub(crate) fn acquire(&self, epoch: Epoch, now: Instant) -> Result<LoadTicket, LoadRefusal> {
        self.start_epoch(epoch, now);
        let mut state = self.state.lock();
        if epoch < state.epoch {
            return Err(LoadRefusal { retry_after: self.lifetime });
        }
        if now < state.gives_from {
            return Err(LoadRefusal { retry_after: state.gives_from - now });
        }
        state.tickets.retain(|_, deadline| *deadline > now);
        if state.tickets.len() >= self.limit {
            let first = state.tickets.values().min().map_or(self.lifetime, |d| *d - now);
            return Err(LoadRefusal { retry_after: first });
        }
        let ticket = LoadTicket { epoch, number: state.next_number, deadline: now + self.lifetime };
        state.next_number += 1;
        state.tickets.insert(ticket.number, ticket.deadline);
        Ok(ticket)
    }

    /// Takes a ticket back whose load has ended.
    pub(crate) fn release(&self, epoch: Epoch, number: u64) {
        let mut state = self.state.lock();
        if epoch == state.epoch {
            state.tickets.remove(&number);
        }
    }
}
