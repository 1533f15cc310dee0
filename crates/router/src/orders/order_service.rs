use {
    super::{
        DesiredItem, EngineAuthority, EngineOrderState, LoadPacer, LoadTicket, OrderError,
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

/// Brings the engines that this host owns to the state that their labels ask for, and
/// gives load tickets while this host owns `weights`.
pub(crate) struct OrderService<A> {
    pub(crate) sender: OrderSender<A>,
    pub(crate) metrics: OrderMetrics,
    authority: Arc<A>,
    pacer: LoadPacer,
    engines: Mutex<HashMap<EndpointKey, EngineOrderState>>,
}

impl<A: EngineAuthority> OrderService<A> {
    pub(crate) fn new(settings: &OrderSettings, authority: Arc<A>, metrics: &Metrics) -> Self {
        Self {
            sender: OrderSender::open(settings, authority.clone()),
            metrics: OrderMetrics::register(metrics),
            authority,
            pacer: LoadPacer::new(settings, Instant::now()),
            engines: Mutex::default(),
        }
    }

    /// Forgets engines that this host no longer owns.
    pub(crate) fn retain_owned(&self, is_owned: impl Fn(EndpointKey) -> bool) {
        self.engines.lock().retain(|key, _| is_owned(*key));
    }

    /// Takes the identity of an owned engine's newest load report.
    pub(crate) fn set_identity(&self, endpoint: EndpointKey, identity: &str) {
        if let Some(engine) = self.engines.lock().get_mut(&endpoint) {
            engine.set_identity(identity);
        }
    }

    /// Sends the next missing order to an engine, if one is due and this host may act.
    /// `ticket` is asked for a load's ticket; without one the load waits.
    pub(crate) fn send_next_order(
        &self,
        endpoint: &EndpointInfo,
        may_load: bool,
        ticket: impl FnOnce() -> Option<LoadTicket>,
    ) {
        let Some(epoch) = self.authority.acting_epoch(&endpoint.id) else { return };
        let Some((item, starts)) = self.next(endpoint, epoch, may_load) else { return };
        let ticket = if item.is_load() { ticket() } else { None };
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
                let deadline = Instant::now() + self.sender.order_limit();
                self.sender.set_role(&target, epoch, &item.name, deadline)
            }
        };
        self.note(endpoint, epoch, item, starts, result);
    }

    fn next(
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
        let start = || EngineOrderState::new(epoch, now + wait);
        let engine = engines.entry(endpoint.key).or_insert_with(start);
        if engine.epoch != epoch {
            *engine = start();
        }
        engine.set_desired(DesiredItem::of_labels(&endpoint.labels), now);
        engine.next(now, may_load)
    }

    fn note(
        &self,
        endpoint: &EndpointInfo,
        epoch: Epoch,
        item: DesiredItem,
        starts: u64,
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
            (Some(engine), Ok(reply)) => engine.confirm(item, starts, reply),
            (Some(engine), Err(e)) => engine.fail(&e, Instant::now()),
            (None, _) => {}
        }
    }

    /// Notes the acting epoch of `weights`, so that the wait for a predecessor's tickets
    /// does not start with the first request only.
    pub(crate) fn start_weights_epoch(&self, epoch: Epoch) {
        self.pacer.start_epoch(epoch, Instant::now());
    }

    /// Gives a load ticket under the acting epoch of `weights`, if there is one.
    pub(crate) fn issue_ticket(&self, epoch: Option<Epoch>) -> LoadTicketReply {
        let now = Instant::now();
        match epoch.and_then(|epoch| self.pacer.acquire(epoch, now).ok()) {
            Some(ticket) => LoadTicketReply {
                epoch: ticket.epoch,
                number: ticket.number,
                remaining_ms: (ticket.deadline - now).as_millis() as u32,
            },
            None => LoadTicketReply { epoch: 0, number: 0, remaining_ms: 0 },
        }
    }

    /// Takes a ticket back.
    pub(crate) fn release_ticket(&self, epoch: Epoch, number: u64) {
        self.pacer.release(epoch, number);
    }

    /// Desired and loaded items and the last error of an engine, for the state dump.
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
