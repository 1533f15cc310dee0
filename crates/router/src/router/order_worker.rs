use {
    super::router_parts::RouterParts,
    crate::{config::EndpointInfo, orders::RetryBackoff},
    crossbeam::channel::{Receiver, RecvTimeoutError},
    mango_wire::config::EndpointKind,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Interval at which the desired and the loaded items of each engine are compared.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Backoff after a refused ticket. The longest pause limits the load on the owner of
/// `weights`: 350 hosts send it at most 140 requests per second.
const MIN_TICKET_BACKOFF: Duration = Duration::from_millis(100);
const MAX_TICKET_BACKOFF: Duration = Duration::from_secs(5);

/// Sends orders to the engines that this host owns until they have the items that their
/// labels name: models, adapters, versions and a role. It runs on its own thread and sends
/// one order at a time.
pub(crate) struct OrderWorker {
    parts: Arc<RouterParts>,
    stop: Receiver<()>,
    ticket_backoff: RetryBackoff,
    next_ticket_request: Instant,
}

impl OrderWorker {
    pub(crate) fn new(parts: Arc<RouterParts>, stop: Receiver<()>) -> Self {
        let ticket_backoff = RetryBackoff::new(MIN_TICKET_BACKOFF, MAX_TICKET_BACKOFF);
        Self { parts, stop, ticket_backoff, next_ticket_request: Instant::now() }
    }

    /// Runs until the stop channel closes.
    pub(crate) fn run(mut self) {
        while self.stop.recv_timeout(CHECK_INTERVAL) == Err(RecvTimeoutError::Timeout) {
            let config = self.parts.config.current();
            let parts = self.parts.clone();
            parts.load_tickets.update_epoch();
            parts.orders.retain_owned(|key| parts.owns_engine(key));
            let engines = config.endpoints().filter(|e| e.kind == EndpointKind::Engine);
            for engine in engines.filter(|e| parts.owns_engine(e.key)) {
                self.send_next_order_to(engine);
            }
        }
    }

    fn send_next_order_to(&mut self, engine: &EndpointInfo) {
        let parts = self.parts.clone();
        let may_load = Instant::now() >= self.next_ticket_request;
        let mut ticket = None;
        parts.orders.send_next_order(engine, may_load, || {
            ticket = parts.load_tickets.acquire();
            match ticket {
                Some(_) => self.ticket_backoff.reset(),
                None => {
                    self.next_ticket_request = Instant::now() + self.ticket_backoff.next_delay()
                }
            }
            ticket
        });
        if let Some(ticket) = ticket {
            parts.load_tickets.release(&ticket);
        }
    }
}
