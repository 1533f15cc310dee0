use {
    super::types::{RouterAdmission, RouterOrders},
    crate::{
        config::{Config, ConfigStore, EndpointInfo},
        endpoint::{Engine, HttpEngine},
        orders::{KvMoveCostModel, OrderError, OrderTarget},
        ownership::{Ownership, ResourceId},
        peer::PeerNet,
        placement::rank,
    },
    mango_wire::{
        ChatKey, EndpointKey, Epoch, HostId,
        peer::{KvMoveRequest, PeerMessage},
    },
    std::{
        collections::{HashMap, HashSet},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Time limit for all moves away from one leaving engine.
const MOVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Greatest number of chats in one request; more could exceed the message limit of 64 KiB.
const MAX_CHATS_PER_REQUEST: usize = 4_000;
/// Requests that run at the same time. Each holds one KV cache of up to 16 MB in memory.
const MAX_RUNNING_REQUESTS: usize = 4;

/// Settings and components that a `KvMover` uses.
pub(crate) struct KvMoverParts {
    pub(crate) host_id: HostId,
    /// Greatest number of chats to move from one leaving engine; 0 turns moves off.
    pub(crate) max_chats: usize,
    pub(crate) config: Arc<ConfigStore>,
    pub(crate) ownership: Arc<Ownership>,
    pub(crate) admission: Arc<RouterAdmission>,
    pub(crate) orders: Arc<RouterOrders>,
    pub(crate) peers: PeerNet,
    pub(crate) cost: Arc<KvMoveCostModel>,
}

/// Moves the KV caches of the most recently used chats away from an engine that leaves.
///
/// The owner of the leaving engine selects the chats. For each chat it determines the
/// destination, which is the engine that rendezvous hashing ranks next for the chat, and
/// sends a request to the owner of that engine. The owner of the destination exports and imports the cache, so that the import
/// runs under its epoch, which is checked right before sending. A lost request or a failed
/// move costs only the reuse of that cache.
pub(crate) struct KvMover {
    parts: KvMoverParts,
    running: AtomicUsize,
}

impl KvMover {
    pub(crate) fn new(mut parts: KvMoverParts) -> Self {
        parts.max_chats = parts.max_chats.min(MAX_CHATS_PER_REQUEST);
        Self { parts, running: AtomicUsize::new(0) }
    }

    /// Requests the moves of an owned engine's chats from the owners of the destinations.
    /// Returns false if it has to be called again.
    pub(crate) fn request_moves(
        self: &Arc<Self>,
        source: EndpointKey,
        engine: &HttpEngine,
    ) -> bool {
        let config = self.parts.config.current();
        let Some(info) = config.endpoint(source).filter(|_| self.parts.max_chats > 0) else {
            return true;
        };
        let resource = ResourceId::engine(&info.id);
        let Some(source_epoch) = self.parts.ownership.acting_epoch(&resource) else {
            return false;
        };
        let chats = match self.recently_used_chats(source, engine) {
            Ok(chats) => chats,
            Err(e) => {
                log::warn!("event=kv_move_not_started endpoint={} error=\"{e}\"", info.id);
                return false;
            }
        };
        log::info!("event=kv_move_started endpoint={} chats={}", info.id, chats.len());
        for (destination, chats) in group_by_destination(&config, info, chats) {
            let (chats, tokens) = chats.into_iter().unzip();
            self.send_request(KvMoveRequest {
                source,
                source_epoch,
                destination,
                remaining_ms: MOVE_TIMEOUT.as_millis() as u32,
                chats,
                tokens,
            });
        }
        true
    }

    /// Returns the chats in the engine's cache with their numbers of tokens, most recently
    /// used first. Chats for which this host granted no permit come last.
    fn recently_used_chats(
        &self,
        source: EndpointKey,
        engine: &HttpEngine,
    ) -> Result<Vec<(ChatKey, u32)>, crate::endpoint::CallFailure> {
        let listing = engine.cache_listing()?.chats;
        let cached = listing.iter().filter_map(|event| {
            let chat = ChatKey::from_str_radix(&event.chat, 16).ok()?;
            (event.cached_tokens > 0).then_some((chat, event.cached_tokens))
        });
        let mut cached: HashMap<ChatKey, u32> = cached.collect();
        let recent = self.parts.admission.warm_chats(source, self.parts.max_chats);
        let mut chats: Vec<_> =
            recent.iter().filter_map(|chat| cached.remove_entry(chat)).collect();
        chats.extend(cached);
        chats.truncate(self.parts.max_chats);
        Ok(chats)
    }

    /// Sends a request to the owner of the destination, or runs it if that is this host.
    fn send_request(self: &Arc<Self>, request: KvMoveRequest) {
        let config = self.parts.config.current();
        let Some(destination) = config.endpoint(request.destination) else { return };
        match self.parts.ownership.owner(&ResourceId::engine(&destination.id)) {
            Some(owner) if owner.host_id == self.parts.host_id => self.start_moves(request),
            Some(owner) => {
                self.parts.peers.send(&owner.host_id, PeerMessage::KvMoveRequest(request));
            }
            None => {}
        }
    }

    /// Starts the moves that the owner of a leaving engine requested.
    pub(crate) fn start_moves(self: &Arc<Self>, request: KvMoveRequest) {
        if self.running.fetch_add(1, Ordering::SeqCst) >= MAX_RUNNING_REQUESTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            log::warn!("event=kv_move_refused chats={}", request.chats.len());
            return;
        }
        let mover = self.clone();
        let spawned = thread::Builder::new().name("kv-move".to_owned()).spawn(move || {
            mover.run_request(&request);
            mover.running.fetch_sub(1, Ordering::SeqCst);
        });
        if let Err(e) = spawned {
            self.running.fetch_sub(1, Ordering::SeqCst);
            log::warn!("event=kv_move_not_started error={e:?}");
        }
    }

    /// Moves the chats of a request one after the other until its time limit.
    fn run_request(&self, request: &KvMoveRequest) {
        let deadline = Instant::now() + Duration::from_millis(u64::from(request.remaining_ms));
        let config = self.parts.config.current();
        let (Some(source), Some(destination)) =
            (config.endpoint(request.source), config.endpoint(request.destination))
        else {
            return;
        };
        let resource = ResourceId::engine(&destination.id);
        let Some(epoch) = self.parts.ownership.acting_epoch(&resource) else { return };
        let (from, to) =
            (OrderTarget::for_endpoint(source), OrderTarget::for_endpoint(destination));
        let mut seen = HashSet::new();
        let mut moved = 0;
        for (chat, tokens) in request.chats.iter().zip(&request.tokens) {
            if Instant::now() >= deadline {
                break;
            }
            if !seen.insert(*chat)
                || !self.parts.admission.accepts_import(request.destination, *chat)
            {
                continue;
            }
            if !self.parts.cost.is_move_cheaper(*tokens) {
                self.parts.orders.metrics.record_kv_move("not_cheaper");
                continue;
            }
            let exporter = (request.source_epoch, &from);
            let result = self.move_chat(exporter, (epoch, &to), request, *chat, deadline);
            moved += u32::from(result.is_ok());
            self.parts
                .orders
                .metrics
                .record_kv_move(result.map_or_else(|e| e.result_label(), |()| "done"));
        }
        log::info!(
            "event=kv_move_ended from={} to={} chats={} moved={moved}",
            source.id,
            destination.id,
            request.chats.len()
        );
    }

    /// Exports the KV cache of a chat from one engine and imports it into another. Each
    /// engine comes with the epoch of its ownership.
    fn move_chat(
        &self,
        (source_epoch, from): (Epoch, &OrderTarget),
        (epoch, to): (Epoch, &OrderTarget),
        request: &KvMoveRequest,
        chat: ChatKey,
        deadline: Instant,
    ) -> Result<(), OrderError> {
        let sender = &self.parts.orders.sender;
        let started = Instant::now();
        let blob = sender.export_kv(from, source_epoch, &format!("{chat:016x}"), deadline)?;
        let tokens = blob.tokens;
        // a request of the chat may have run on the destination during the export, and the
        // cache that it left is longer
        if !self.parts.admission.accepts_import(request.destination, chat) {
            return Err(OrderError::Refused("the chat is warm already".to_owned()));
        }
        sender.import_kv(to, epoch, blob, deadline)?;
        self.parts.cost.observe_transfer(started.elapsed(), tokens);
        self.parts.orders.metrics.kv_moved_tokens.inc_by(u64::from(tokens));
        Ok(())
    }
}

/// Groups the chats by destination, which is the engine that rendezvous hashing ranks next.
/// The owner does not know the pool of a chat, so it uses the largest pool that contains the engine. Engines
/// that ignore fencing numbers get no chats, because a late import by a former owner could
/// replace a longer cache.
fn group_by_destination(
    config: &Config,
    source: &EndpointInfo,
    chats: Vec<(ChatKey, u32)>,
) -> HashMap<EndpointKey, Vec<(ChatKey, u32)>> {
    let pools = config.pools().filter(|p| p.endpoints.iter().any(|e| e.key == source.key));
    let Some(pool) = pools.max_by_key(|pool| pool.endpoints.len()) else {
        return HashMap::new();
    };
    let others: Vec<_> = pool.endpoints.iter().filter(|e| e.key != source.key).collect();
    let mut by_destination: HashMap<EndpointKey, Vec<_>> = HashMap::new();
    for (chat, tokens) in chats {
        let next = rank(chat, others.iter().map(|e| (e.key, e.weight))).first().copied();
        let next = next.and_then(|key| others.iter().find(|e| e.key == key));
        if let Some(next) = next.filter(|e| e.checks_fencing) {
            by_destination.entry(next.key).or_default().push((chat, tokens));
        }
    }
    by_destination
}
