use {
    super::{
        fleet_state::{FleetState, Taken},
        lease_clock::LeaseClock,
        owner::Owner,
        ownership_metrics::OwnershipMetrics,
        resource_id::ResourceId,
    },
    arc_swap::ArcSwap,
    crossbeam::channel::Sender,
    log::info,
    mango_wire::{
        Epoch, HostId, Offset,
        records::{Outage, Seen, Take},
    },
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// State that the tail, the controller, the prober and the request path share.
pub(crate) struct Shared {
    pub(crate) host_id: HostId,
    pub(crate) identity: String,
    pub(crate) clock: LeaseClock,
    pub(crate) state: Mutex<State>,
    view: ArcSwap<HashMap<ResourceId, ViewEntry>>,
    /// Counts the published views.
    views: AtomicU64,
    /// Offset after the newest fleet record that was read.
    read_offset: AtomicU64,
    /// The same, or the offset after a Take that a peer told of.
    known_offset: AtomicU64,
    pub(crate) draining: AtomicBool,
    pub(crate) wake: Sender<()>,
    pub(crate) metrics: OwnershipMetrics,
    /// Hosts that can't read the log while this host can.
    cut_off: Mutex<HashMap<HostId, CutOff>>,
}

#[derive(Clone, Copy)]
struct CutOff {
    first_probe: Instant,
    last_probe: Instant,
}

// When the log comes back after an outage, hosts find it readable again within
// about a lease of each other; only probing that lasts longer means a cut link.
const CUT_OFF_LEASES: u32 = 2;

pub(crate) struct State {
    pub(crate) fleet: FleetState,
    /// Resources that this process owns.
    pub(crate) own: HashMap<ResourceId, OwnResource>,
    pub(crate) resources: Option<Arc<Vec<(ResourceId, String)>>>,
    pub(crate) confirmed: bool,
    /// When this host took resources over that another process owned.
    pub(crate) taken_over: HashMap<ResourceId, Instant>,
    /// Request id of the newest own Take that was read back.
    pub(crate) newest_own_request: Option<String>,
    /// An outage of this host that is to be recorded.
    pub(crate) unrecorded_outage: Option<Outage>,
    /// The newest outage that another host told of, as begin and end in
    /// milliseconds since 1970.
    pub(crate) reported_outage: Option<(u64, u64)>,
}

#[derive(Clone, Copy)]
pub(crate) struct OwnResource {
    pub(crate) epoch: Epoch,
    /// Whether the owner before may still be within its lease.
    pub(crate) must_wait: bool,
    /// When this host may start to act; `None` until that is known.
    pub(crate) acts_from: Option<Instant>,
    pub(crate) releasing: bool,
}

struct ViewEntry {
    owner: Owner,
    /// Set if this host owns the resource and is not giving it up.
    acts_from: Option<Instant>,
}

impl Shared {
    pub(crate) fn new(
        host_id: &str,
        identity: &str,
        lease: Duration,
        retention_ms: u64,
        wake: Sender<()>,
        metrics: OwnershipMetrics,
    ) -> Self {
        Self {
            host_id: host_id.to_owned(),
            identity: identity.to_owned(),
            clock: LeaseClock::new(lease),
            state: Mutex::new(State {
                fleet: FleetState::new(retention_ms),
                own: HashMap::new(),
                resources: None,
                confirmed: false,
                taken_over: HashMap::new(),
                newest_own_request: None,
                unrecorded_outage: None,
                reported_outage: None,
            }),
            view: ArcSwap::default(),
            views: AtomicU64::new(0),
            read_offset: AtomicU64::new(0),
            known_offset: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            wake,
            metrics,
            cut_off: Mutex::new(HashMap::new()),
        }
    }

    /// Notes that a host asked whether the log can be read, which it does while
    /// it can't read the log itself.
    pub(crate) fn note_probe(&self, host: &HostId) {
        let now = Instant::now();
        if !self.clock.is_leased(now) {
            return;
        }
        let mut cut_off = self.cut_off.lock();
        let lease = self.clock.lease();
        cut_off.retain(|_, probes| now - probes.last_probe < lease);
        let probes =
            cut_off.entry(host.clone()).or_insert(CutOff { first_probe: now, last_probe: now });
        probes.last_probe = now;
    }

    /// Whether a host has not been able to read the log for some time while this
    /// host could. Its resources are then taken over although it is live.
    pub(crate) fn is_cut_off(&self, host: &HostId, now: Instant) -> bool {
        let lease = self.clock.lease();
        let cut_off = self.cut_off.lock();
        cut_off.get(host).is_some_and(|probes| {
            now.saturating_duration_since(probes.last_probe) < lease
                && probes.last_probe - probes.first_probe >= lease * CUT_OFF_LEASES
        })
    }

    pub(crate) fn owner(&self, resource: &ResourceId) -> Option<Owner> {
        self.view.load().get(resource).map(|entry| entry.owner.clone())
    }

    /// Epoch of the resource while this host may act on it.
    pub(crate) fn acting_epoch(&self, resource: &ResourceId) -> Option<Epoch> {
        // The tail publishes the view before it extends the deadline, so the
        // deadline is read first, and the time last.
        let until = self.clock.acting_until();
        let view = self.view.load();
        let entry = view.get(resource)?;
        let acts_from = entry.acts_from?;
        let now = Instant::now();
        (acts_from <= now && now < until).then_some(entry.owner.epoch)
    }

    /// Publishes the owners for the request path, once the records kept on the
    /// log have been read.
    pub(crate) fn publish(&self, state: &State) {
        if !state.confirmed {
            return;
        }
        self.metrics.owned.set(state.own.len() as i64);
        let acts_from = |resource: &ResourceId, owner: &Owner| {
            let own = state.own.get(resource)?;
            let acting =
                owner.identity == self.identity && own.epoch == owner.epoch && !own.releasing;
            own.acts_from.filter(|_| acting)
        };
        let view = state
            .fleet
            .owners()
            .map(|(resource, owner)| {
                let acts_from = acts_from(resource, owner);
                (resource.clone(), ViewEntry { owner: owner.clone(), acts_from })
            })
            .collect();
        self.view.store(Arc::new(view));
        self.views.fetch_add(1, Ordering::AcqRel);
    }

    /// Number of published views, to notice changes at no cost.
    pub(crate) fn views(&self) -> u64 {
        self.views.load(Ordering::Acquire)
    }

    /// Notes the newest outage that another host knows of; an end of 0 says none.
    pub(crate) fn note_reported_outage(&self, began_ms: u64, ended_ms: u64) {
        let mut state = self.state.lock();
        let known = state.reported_outage;
        if ended_ms > 0 && known.is_none_or(|(_, known_end_ms)| ended_ms > known_end_ms) {
            state.reported_outage = Some((began_ms, ended_ms));
        }
    }

    /// Outages that a successor must allow for, as begin and end in milliseconds
    /// since 1970: the newest on record, one of this host that is not recorded yet
    /// and the newest that other hosts told of.
    pub(crate) fn outages_ms(&self) -> Vec<(u64, u64)> {
        let state = self.state.lock();
        let known = state.fleet.newest_outage().into_iter().chain(&state.unrecorded_outage);
        let known = known.map(|outage| (outage.began_ms, outage.ended_ms));
        known.chain(state.reported_outage).collect()
    }

    pub(crate) fn wake(&self) {
        // a full channel means that the controller will run anyway
        let _ = self.wake.try_send(());
    }

    pub(crate) fn read_offset(&self) -> Offset {
        self.read_offset.load(Ordering::Acquire)
    }

    /// Offset after the newest fleet record that is known to exist.
    pub(crate) fn known_offset(&self) -> Offset {
        self.known_offset.load(Ordering::Acquire)
    }

    pub(crate) fn note_read_record(&self, offset: Offset) {
        self.read_offset.fetch_max(offset + 1, Ordering::AcqRel);
        self.known_offset.fetch_max(offset + 1, Ordering::AcqRel);
    }

    /// Notes that fleet records below `next` exist. If this host has not read
    /// them, it can't go on by an outage that it has verified.
    pub(crate) fn note_existing(&self, next: Offset) {
        self.known_offset.fetch_max(next, Ordering::AcqRel);
        if next > self.read_offset() {
            self.clock.revoke_outage();
        }
    }

    /// Updates the own resources after a Take record.
    pub(crate) fn note_taken(&self, state: &mut State, take: &Take, taken: &[Taken], epoch: Epoch) {
        let own = take.identity == self.identity;
        if own {
            state.newest_own_request = Some(take.request_id.clone());
        }
        for Taken { resource, released, had_owner } in taken {
            if !own {
                if state.own.remove(resource).is_some() {
                    self.metrics.lost.inc();
                    info!("event=resource_lost resource={resource} to={}", take.host_id);
                }
                continue;
            }
            info!("event=resource_taken resource={resource} epoch={epoch} released={released}");
            let resource_state = OwnResource {
                epoch,
                must_wait: !released,
                acts_from: released.then(Instant::now),
                releasing: false,
            };
            self.metrics.taken.inc();
            if *had_owner {
                state.taken_over.insert(resource.clone(), Instant::now());
            }
            state.own.insert(resource.clone(), resource_state);
        }
    }
}

/// Resources with the epochs that this host holds them at.
pub(crate) fn seen<'a>(own: impl Iterator<Item = (&'a ResourceId, &'a OwnResource)>) -> Vec<Seen> {
    own.map(|(resource, own)| Seen { resource: resource.as_str().to_owned(), epoch: own.epoch })
        .collect()
}
