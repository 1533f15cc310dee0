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

/// Largest response of an engine, in bytes; an exported KV cache is the largest. Several
/// KV caches may be moved at once within the memory limit of a host, 256 MB.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Epoch under which a request is sent.
#[derive(Clone, Copy)]
enum RequestEpoch {
    /// The request is sent only while this host may act under the epoch.
    Checked(Epoch),
    /// The request is sent without a check, as another host may own the engine.
    Unchecked(Epoch),
}

/// Sends orders and KV cache moves to engines under the epoch of their ownership, which
/// is the fencing number.
///
/// The epoch and the deadline are checked right before sending. If the process pauses
/// after the check, an order can still arrive after a takeover. An engine that checks
/// fencing numbers then refuses it. An engine that ignores them gets only orders that are
/// idempotent and convergent: loads and role changes, which state what is desired, and KV
/// exports, which change nothing. Its new owner sends the desired state again after
/// `takeover_wait`, which is longer than the time-out of any order of the predecessor, so
/// that the last order carried out is the new owner's.
///
/// This has three limits. Until the desired state is sent again, a late order can return
/// such an engine to the predecessor's state. If an engine carries out an order long
/// after its connection was closed, only the next change corrects that. KV caches are not
/// imported into such engines.
pub(crate) struct OrderSender<A> {
    agent: Agent,
    authority: Arc<A>,
    order_timeout: Duration,
}

impl<A: EngineAuthority> OrderSender<A> {
    /// Creates a sender. The first order opens a connection.
    pub(crate) fn open(settings: &OrderSettings, authority: Arc<A>) -> Self {
        let agent = Agent::config_builder().http_status_as_error(false).build().new_agent();
        Self { agent, authority, order_timeout: Duration::from_millis(settings.order_ms.into()) }
    }

    /// Time-out of one order.
    pub(crate) fn order_timeout(&self) -> Duration {
        self.order_timeout
    }

    /// Delay after a takeover before the desired state is sent again to engines that ignore
    /// fencing numbers.
    pub(crate) fn takeover_wait(&self) -> Duration {
        self.order_timeout + self.order_timeout / 10
    }

    /// Orders a load from the weight store. If it fails, what was loaded stays loaded.
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

    /// Exports the KV cache of a chat under the epoch of the engine's owner, which may be
    /// another host. The ownership is not checked here, because an export changes nothing;
    /// an engine that checks fencing numbers refuses an old epoch.
    pub(crate) fn export_kv(
        &self,
        target: &OrderTarget,
        epoch: Epoch,
        chat: &str,
        deadline: Instant,
    ) -> Result<KvBlob, OrderError> {
        let request = KvExport { chat: chat.to_owned(), fencing: epoch };
        let request_epoch = RequestEpoch::Unchecked(epoch);
        let text = self.post(target, request_epoch, "/v1/kv/export", &request, deadline)?;
        parse_json(&text)
    }

    /// Imports the KV cache of a chat under the epoch of the importing engine's owner, which
    /// is set in the blob. Fails if the engine does not check fencing numbers.
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
        self.post(target, RequestEpoch::Checked(epoch), "/v1/kv/import", &blob, deadline).map(drop)
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
        let request_epoch = RequestEpoch::Checked(epoch);
        let reply: OrderReply =
            parse_json(&self.post(target, request_epoch, "/v1/orders", &order, deadline)?)?;
        if reply.accepted {
            return Ok(reply);
        }
        if reply.highest_fencing > epoch {
            return Err(OrderError::Fenced(reply.highest_fencing));
        }
        Err(OrderError::Refused("not accepted".to_owned()))
    }

    /// Posts a request, unless its epoch fails the check or the deadline has passed. A 409
    /// response with the reply to an order fails with `Fenced` if the reply contains a
    /// higher fencing number.
    fn post<T: Serialize>(
        &self,
        target: &OrderTarget,
        request_epoch: RequestEpoch,
        path: &str,
        request: &T,
        deadline: Instant,
    ) -> Result<String, OrderError> {
        let body =
            serde_json::to_string(request).map_err(|e| OrderError::Refused(e.to_string()))?;
        let url = format!("{}{path}", target.base_url);
        let now = Instant::now();
        let left = deadline.min(now + self.order_timeout).saturating_duration_since(now);
        if left.is_zero() {
            return Err(OrderError::DeadlinePassed);
        }
        let epoch = match request_epoch {
            RequestEpoch::Checked(epoch)
                if self.authority.acting_epoch(&target.engine_id) != Some(epoch) =>
            {
                return Err(OrderError::NotOwner);
            }
            RequestEpoch::Checked(epoch) | RequestEpoch::Unchecked(epoch) => epoch,
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
            .limit(MAX_RESPONSE_BYTES)
            .read_to_string()
            .map_err(|e| OrderError::Unknown(e.to_string()))?;
        match status {
            200..=299 => Ok(text),
            409 if serde_json::from_str::<OrderReply>(&text).is_ok_and(|r| !r.accepted) => {
                refused_order(&text, epoch)
            }
            400..=499 | 503 => Err(OrderError::Refused(format!("status {status}"))),
            _ => Err(OrderError::Unknown(format!("status {status}"))),
        }
    }
}

/// Error of an order whose reply came with status 409.
fn refused_order(text: &str, epoch: Epoch) -> Result<String, OrderError> {
    let reply: OrderReply = parse_json(text)?;
    if reply.highest_fencing > epoch {
        return Err(OrderError::Fenced(reply.highest_fencing));
    }
    Err(OrderError::Refused("status 409".to_owned()))
}

fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, OrderError> {
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
