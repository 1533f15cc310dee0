use {
    super::{EngineAuthority, LoadTicket, OrderError, OrderTarget},
    mango_wire::{
        Epoch,
        platform::{KvBlob, KvExport, Order, OrderKind, OrderReply},
        settings::OrderSettings,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    ureq::{Agent, Error},
    uuid::Uuid,
};

// Largest answer of an engine that is read, in bytes; an exported KV cache is the
// largest. Several may be moved at once within the 256 MB of a host.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Epoch under which a request is sent.
#[derive(Clone, Copy)]
enum Right {
    /// Sent only while this host may act under it.
    Checked(Epoch),
    /// Sent for whichever host owns the engine.
    OfAnyHost(Epoch),
}

/// Sends orders and KV cache moves to engines under the epoch of their ownership, which
/// is the fencing number.
///
/// The epoch and the deadline are checked right before sending. A pause after the check
/// can still let an order arrive after a takeover. An engine that checks fencing numbers
/// refuses it then. An engine that ignores them gets only orders that are idempotent
/// and convergent: loads and role changes, which state what is desired, and KV exports,
/// which change nothing. Its new owner sends the desired state again once
/// `takeover_wait` has passed, which is longer than the deadline of any order of the
/// predecessor, so the last order carried out is the owner's. This gives up the
/// following: until then a late order can put the engine back to the predecessor's
/// state, an engine that carries an order out long after its connection was closed is
/// corrected only by the next change, and KV caches are not imported into such engines.
pub(crate) struct OrderSender<A> {
    agent: Agent,
    authority: Arc<A>,
    order: Duration,
}

impl<A: EngineAuthority> OrderSender<A> {
    /// Opens a sender. Connections are made on the first order.
    pub(crate) fn open(settings: &OrderSettings, authority: Arc<A>) -> Self {
        let agent = Agent::config_builder().http_status_as_error(false).build().new_agent();
        Self { agent, authority, order: Duration::from_millis(settings.order_ms.into()) }
    }

    /// Longest time of one order.
    pub(crate) fn order_limit(&self) -> Duration {
        self.order
    }

    /// Time after a takeover at which the desired state is to be sent again to engines
    /// that ignore fencing numbers.
    pub(crate) fn takeover_wait(&self) -> Duration {
        self.order + self.order / 10
    }

    /// Orders a load from the weight store. A failed load leaves what is loaded.
    pub(crate) fn load(
        &self,
        target: &OrderTarget,
        epoch: Epoch,
        kind: OrderKind,
        name: &str,
        ticket: &LoadTicket,
    ) -> Result<OrderReply, OrderError> {
        self.send_order(target, epoch, kind, name, ticket.deadline)
    }

    /// Changes an engine's role.
    pub(crate) fn set_role(
        &self,
        target: &OrderTarget,
        epoch: Epoch,
        role: &str,
        deadline: Instant,
    ) -> Result<OrderReply, OrderError> {
        self.send_order(target, epoch, OrderKind::SetRole, role, deadline)
    }

    /// Exports the KV cache of a chat under the epoch of the engine's owner, which may
    /// be another host. That host's right is not checked again here, because an export
    /// changes nothing; an engine that checks fencing numbers refuses an old epoch.
    pub(crate) fn export_kv(
        &self,
        target: &OrderTarget,
        epoch: Epoch,
        chat: &str,
        deadline: Instant,
    ) -> Result<KvBlob, OrderError> {
        let request = KvExport { chat: chat.to_owned(), fencing: epoch };
        let right = Right::OfAnyHost(epoch);
        let text = self.post(target, right, "/v1/kv/export", &request, deadline)?;
        parse(&text)
    }

    /// Imports the KV cache of a chat. The blob gets the epoch of the importing engine.
    pub(crate) fn import_kv(
        &self,
        target: &OrderTarget,
        epoch: Epoch,
        blob: KvBlob,
        deadline: Instant,
    ) -> Result<(), OrderError> {
        if !target.checks_fencing {
            return Err(OrderError::NeedsFencing);
        }
        let blob = KvBlob { fencing: epoch, ..blob };
        self.post(target, Right::Checked(epoch), "/v1/kv/import", &blob, deadline).map(drop)
    }

    fn send_order(
        &self,
        target: &OrderTarget,
        epoch: Epoch,
        kind: OrderKind,
        name: &str,
        deadline: Instant,
    ) -> Result<OrderReply, OrderError> {
        let order_id = Uuid::new_v4().to_string();
        let order = Order { order_id, fencing: epoch, kind, name: name.to_owned() };
        let right = Right::Checked(epoch);
        let reply: OrderReply =
            parse(&self.post(target, right, "/v1/orders", &order, deadline)?)?;
        if reply.accepted {
            return Ok(reply);
        }
        if reply.highest_fencing > epoch {
            return Err(OrderError::Fenced(reply.highest_fencing));
        }
        Err(OrderError::Refused("not accepted".to_owned()))
    }

    /// Posts a request unless the right has ended or the deadline has passed. A 409 answer is returned like a 200 answer if it is an order's reply.
    fn post<T: Serialize>(
        &self,
        target: &OrderTarget,
        right: Right,
        path: &str,
        request: &T,
        deadline: Instant,
    ) -> Result<String, OrderError> {
        let body =
            serde_json::to_string(request).map_err(|e| OrderError::Refused(e.to_string()))?;
        let url = format!("{}{path}", target.base_url);
        let now = Instant::now();
        let left = deadline.min(now + self.order).saturating_duration_since(now);
        if left.is_zero() {
            return Err(OrderError::DeadlinePassed);
        }
        let epoch = match right {
            Right::Checked(epoch) if self.authority.acting_epoch(&target.engine) != Some(epoch) => {
                return Err(OrderError::NotOwner);
            }
            Right::Checked(epoch) | Right::OfAnyHost(epoch) => epoch,
        };
        let mut response = self
            .agent
            .post(url)
            .content_type("application/json")
            .config()
            .timeout_global(Some(left))
            .build()
            .send(body)
            .map_err(send_error)?;
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_string()
            .map_err(|e| OrderError::Unknown(e.to_string()))?;
        match status {
            200..=299 => Ok(text),
            409 if serde_json::from_str::<OrderReply>(&text).is_ok_and(|r| !r.accepted) => {
                fenced(&text, epoch)
            }
            400..=499 | 503 => Err(OrderError::Refused(format!("status {status}"))),
            _ => Err(OrderError::Unknown(format!("status {status}"))),
        }
    }
}

fn fenced(text: &str, epoch: Epoch) -> Result<String, OrderError> {
    let reply: OrderReply = parse(text)?;
    if reply.highest_fencing > epoch {
        return Err(OrderError::Fenced(reply.highest_fencing));
    }
    Err(OrderError::Refused("status 409".to_owned()))
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, OrderError> {
    serde_json::from_str(text).map_err(|e| OrderError::Unknown(e.to_string()))
}

fn send_error(error: Error) -> OrderError {
    match error {
        Error::ConnectionFailed | Error::HostNotFound => OrderError::Refused(error.to_string()),
        Error::Io(ref e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            OrderError::Refused(error.to_string())
        }
        _ => OrderError::Unknown(error.to_string()),
    }
}
