use {
    super::{
        DesiredItem, EngineAuthority, EngineOrderState, LoadLimiter, LoadTicket, OrderError,
        OrderMetrics, OrderSender, OrderTarget,
    },
    crate::{config::EndpointInfo, metrics::Metrics},
    mango_wire::{EndpointKey, Epoch, peer::LoadTicketReply, settings::OrderSettings},
    parking_lot::Mutex,
    serde_json::{Value, json},
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Sends orders to the engines that this host owns, until each has loaded the items and has
/// the role that its labels state. While this host owns the resource `weights`, it also
/// issues the load tickets, which limit the loads in the fleet.
pub(crate) struct OrderService<A> {
    pub(crate) sender: OrderSender<A>,
    pub(crate) metrics: OrderMetrics,
    authority: Arc<A>,
    load_limiter: LoadLimiter,
    engines: Mutex<HashMap<EndpointKey, EngineOrderState>>,
}

impl<A: EngineAuthority> OrderService<A> {
    pub(crate) fn new(settings: &OrderSettings, authority: Arc<A>, metrics: &Metrics) -> Self {
        Self {
            sender: OrderSender::open(settings, authority.clone()),
            metrics: OrderMetrics::register(metrics),
            authority,
            load_limiter: LoadLimiter::new(settings, Instant::now()),
            engines: Mutex::default(),
        }
    }

    /// Drops the state of engines that this host no longer owns.
    pub(crate) fn retain_owned(&self, is_owned: impl Fn(EndpointKey) -> bool) {
        self.engines.lock().retain(|key, _| is_owned(*key));
    }

    /// Stores the identity in the newest load report of an owned engine.
    pub(crate) fn set_identity(&self, endpoint: EndpointKey, identity: &str) {
        if let Some(engine) = self.engines.lock().get_mut(&endpoint) {
            engine.set_identity(identity);
        }
    }

    /// Sends the order for the next missing item to an engine, if one is due and this host
    /// may act on the engine. Loads are left out unless `may_load` is set. `acquire_ticket`
    /// is called if the order is a load; if it returns no ticket, the order is not sent.
    pub(crate) fn send_next_order(
        &self,
        endpoint: &EndpointInfo,
        may_load: bool,
        acquire_ticket: impl FnOnce() -> Option<LoadTicket>,
    ) {
        let Some(epoch) = self.authority.acting_epoch(&endpoint.id) else { return };
        let Some((item, restarts)) = self.next_order(endpoint, epoch, may_load) else { return };
        let ticket = if item.is_load() { acquire_ticket() } else { None };
        if item.is_load() && ticket.is_none() {
            return;
        }
        let target = OrderTarget::for_endpoint(endpoint);
        let result = match &ticket {
            Some(ticket) => {
                self.metrics.loads_in_progress.inc();
                let result = self.sender.load(&target, epoch, item.kind, &item.name, ticket);
                self.metrics.loads_in_progress.dec();
                result
            }
            None => {
                let deadline = Instant::now() + self.sender.order_timeout();
                self.sender.set_role(&target, epoch, &item.name, deadline)
            }
        };
        self.record_result(endpoint, epoch, item, restarts, result);
    }

    /// Next missing item of the engine whose order is due, and the number of restarts to pass
    /// to `record_result`.
    fn next_order(
        &self,
        endpoint: &EndpointInfo,
        epoch: Epoch,
        may_load: bool,
    ) -> Option<(DesiredItem, u64)> {
        let now = Instant::now();
        let wait = match endpoint.checks_fencing {
            true => Duration::ZERO,
            false => self.sender.takeover_wait(),
        };
        let mut engines = self.engines.lock();
        let new_state = || EngineOrderState::new(epoch, now + wait);
        let engine = engines.entry(endpoint.key).or_insert_with(new_state);
        if engine.epoch != epoch {
            *engine = new_state();
        }
        engine.set_desired(DesiredItem::from_labels(&endpoint.labels), now);
        engine.next_order(now, may_load)
    }

    fn record_result(
        &self,
        endpoint: &EndpointInfo,
        epoch: Epoch,
        item: DesiredItem,
        restarts: u64,
        result: Result<mango_wire::platform::OrderReply, OrderError>,
    ) {
        let (id, kind, name) = (&endpoint.id, item.kind, &item.name);
        self.metrics.record_order(kind, result.as_ref().err());
        match &result {
            Ok(_) => log::info!("event=order_done endpoint={id} kind={kind} name={name}"),
            Err(e) => {
                log::warn!(
                    "event=order_failed endpoint={id} kind={kind} name={name} error=\"{e}\""
                );
            }
        }
        let mut engines = self.engines.lock();
        let engine = engines.get_mut(&endpoint.key).filter(|engine| engine.epoch == epoch);
        match (engine, result) {
            (Some(engine), Ok(reply)) => engine.confirm(item, restarts, reply),
            (Some(engine), Err(e)) => engine.record_failure(&e, Instant::now()),
            (None, _) => {}
        }
    }

    /// Starts the wait until the tickets of the previous owner of `weights` have expired, if
    /// the epoch is new. Without this call the wait would start only with the first request
    /// for a ticket.
    pub(crate) fn start_weights_epoch(&self, epoch: Epoch) {
        self.load_limiter.start_epoch(epoch, Instant::now());
    }

    /// Issues a load ticket under the acting epoch of `weights`. The reply has no
    /// remaining time if there is no such epoch or no ticket is free.
    pub(crate) fn issue_ticket(&self, epoch: Option<Epoch>) -> LoadTicketReply {
        let now = Instant::now();
        match epoch.and_then(|epoch| self.load_limiter.acquire(epoch, now).ok()) {
            Some(ticket) => LoadTicketReply {
                epoch: ticket.epoch,
                number: ticket.number,
                remaining_ms: (ticket.deadline - now).as_millis() as u32,
            },
            None => LoadTicketReply { epoch: 0, number: 0, remaining_ms: 0 },
        }
    }

    /// Releases a ticket whose load has ended.
    pub(crate) fn release_ticket(&self, epoch: Epoch, number: u64) {
        self.load_limiter.release(epoch, number);
    }

    /// Epoch, desired and loaded items and the last error of an engine, for the state dump.
    pub(crate) fn engine_state(&self, endpoint: EndpointKey) -> Option<Value> {
        let engines = self.engines.lock();
        let engine = engines.get(&endpoint)?;
        let desired: HashMap<String, &String> =
            engine.desired.iter().map(|item| (item.kind.to_string(), &item.name)).collect();
        Some(json!({
            "epoch": engine.epoch,
            "desired": desired,
            "loaded": engine.loaded,
            "last_error": engine.last_error,
        }))
    }
}
