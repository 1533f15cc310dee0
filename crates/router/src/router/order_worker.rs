use {
    super::parts::Parts,
    crate::{config::EndpointInfo, orders::RetryBackoff},
    crossbeam::channel::{Receiver, RecvTimeoutError},
    mango_wire::config::EndpointKind,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Interval at which desired and loaded items are compared.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Pauses after a refused ticket. The longest bounds what the owner of `weights`
/// receives: 350 hosts ask it at most 140 times a second.
const FIRST_TICKET_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_TICKET_PAUSE: Duration = Duration::from_secs(5);

/// Sends the missing orders to the engines that this host owns, one at a time, on a
/// thread of its own.
pub(crate) struct OrderWorker {
    parts: Arc<Parts>,
    stop: Receiver<()>,
    ticket_pause: RetryBackoff,
    ask_ticket_at: Instant,
}

impl OrderWorker {
    pub(crate) fn new(parts: Arc<Parts>, stop: Receiver<()>) -> Self {
        let ticket_pause = RetryBackoff::new(FIRST_TICKET_PAUSE, LONGEST_TICKET_PAUSE);
        Self { parts, stop, ticket_pause, ask_ticket_at: Instant::now() }
    }

    /// Runs until the stop channel closes.
    pub(crate) fn run(mut self) {
        while self.stop.recv_timeout(REVIEW_INTERVAL) == Err(RecvTimeoutError::Timeout) {
            let config = self.parts.config.current();
            let parts = self.parts.clone();
            parts.load_tickets.review();
            parts.orders.retain_owned(|key| parts.owns_engine(key));
            let engines = config.endpoints().filter(|e| e.kind == EndpointKind::Engine);
            for engine in engines.filter(|e| parts.owns_engine(e.key)) {
                self.advance(engine);
            }
        }
    }

    fn advance(&mut self, engine: &EndpointInfo) {
        let parts = self.parts.clone();
        let may_load = Instant::now() >= self.ask_ticket_at;
        let mut held = None;
        parts.orders.send_next_order(engine, may_load, || {
            held = parts.load_tickets.acquire();
            match held {
                Some(_) => self.ticket_pause.reset(),
                None => self.ask_ticket_at = Instant::now() + self.ticket_pause.next_delay(),
            }
            held
        });
        if let Some(ticket) = held {
            parts.load_tickets.release(&ticket);
        }
    }
}
