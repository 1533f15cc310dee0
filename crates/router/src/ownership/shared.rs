use {
    super::{
        fleet_state::{FleetState, TakenResource},
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

/// State shared by the log tail, the controller, the outage prober and the request path.
pub(crate) struct Shared {
    pub(crate) host_id: HostId,
    pub(crate) identity: String,
    pub(crate) clock: LeaseClock,
    pub(crate) state: Mutex<State>,
    /// Owners for the request path, which reads them without a lock.
    view: ArcSwap<HashMap<ResourceId, ViewEntry>>,
    /// Number of views published so far.
    view_count: AtomicU64,
    /// Offset after the newest fleet record that was read.
    read_offset: AtomicU64,
    /// Offset after the newest fleet record that is known to exist, by reading it or from
    /// a peer.
    known_offset: AtomicU64,
    pub(crate) draining: AtomicBool,
    pub(crate) wake: Sender<()>,
    pub(crate) metrics: OwnershipMetrics,
    /// Hosts that probe for an outage while this host can read the log.
    probing_hosts: Mutex<HashMap<HostId, ProbePeriod>>,
}

#[derive(Clone, Copy)]
struct ProbePeriod {
    first_probe: Instant,
    last_probe: Instant,
}

// A host that probes for longer than this is partitioned from the log. After an outage of
// the log itself, all hosts can read it again within about one lease of each other.
const PARTITION_MIN_LEASES: u32 = 2;

pub(crate) struct State {
    pub(crate) fleet: FleetState,
    /// Resources that this process owns.
    pub(crate) owned: HashMap<ResourceId, OwnedResource>,
    /// All resources of the fleet with their regions; `None` until they are set.
    pub(crate) resources: Option<Arc<Vec<(ResourceId, String)>>>,
    /// Whether all records that the log keeps have been read.
    pub(crate) caught_up: bool,
    /// When this host took over resources that another process owned.
    pub(crate) taken_over_at: HashMap<ResourceId, Instant>,
    /// Request id of this host's newest Take that was read back.
    pub(crate) latest_take_request: Option<String>,
    /// Outage of this host that is not recorded yet.
    pub(crate) unrecorded_outage: Option<Outage>,
    /// Newest outage that another host reported, as begin and end in milliseconds since 1970.
    pub(crate) reported_outage: Option<(u64, u64)>,
}

#[derive(Clone, Copy)]
pub(crate) struct OwnedResource {
    pub(crate) epoch: Epoch,
    /// Whether this host must wait for the previous owner's lease to end before it acts.
    pub(crate) awaits_lease_end: bool,
    /// When this host may start to act; `None` until that is known.
    pub(crate) acts_from: Option<Instant>,
    /// Whether this host has stopped acting in order to release the resource.
    pub(crate) releasing: bool,
}

struct ViewEntry {
    owner: Owner,
    /// When this host may start to act; `None` if it does not own the resource or is
    /// releasing it.
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
                owned: HashMap::new(),
                resources: None,
                caught_up: false,
                taken_over_at: HashMap::new(),
                latest_take_request: None,
                unrecorded_outage: None,
                reported_outage: None,
            }),
            view: ArcSwap::default(),
            view_count: AtomicU64::new(0),
            read_offset: AtomicU64::new(0),
            known_offset: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            wake,
            metrics,
            probing_hosts: Mutex::new(HashMap::new()),
        }
    }

    /// Records that a host probed for an outage, which it does while it can't read the log.
    pub(crate) fn record_probe(&self, host: &HostId) {
        let now = Instant::now();
        if !self.clock.is_leased(now) {
            return;
        }
        let mut probing_hosts = self.probing_hosts.lock();
        let lease = self.clock.lease();
        probing_hosts.retain(|_, probes| now - probes.last_probe < lease);
        let probes = probing_hosts
            .entry(host.clone())
            .or_insert(ProbePeriod { first_probe: now, last_probe: now });
        probes.last_probe = now;
    }

    /// Whether a host has been unable to read the log for some time while this host could.
    /// Its resources are then taken over although it is live.
    pub(crate) fn is_partitioned_from_log(&self, host: &HostId, now: Instant) -> bool {
        let lease = self.clock.lease();
        let probing_hosts = self.probing_hosts.lock();
        probing_hosts.get(host).is_some_and(|probes| {
            now.saturating_duration_since(probes.last_probe) < lease
                && probes.last_probe - probes.first_probe >= lease * PARTITION_MIN_LEASES
        })
    }

    pub(crate) fn owner(&self, resource: &ResourceId) -> Option<Owner> {
        self.view.load().get(resource).map(|entry| entry.owner.clone())
    }

    /// Epoch of the resource if this host may act on it now, otherwise `None`.
    pub(crate) fn acting_epoch(&self, resource: &ResourceId) -> Option<Epoch> {
        // The tail publishes the view before it extends the deadline, so the deadline is
        // read before the view, and the current time last.
        let until = self.clock.acting_until();
        let view = self.view.load();
        let entry = view.get(resource)?;
        let acts_from = entry.acts_from?;
        let now = Instant::now();
        (acts_from <= now && now < until).then_some(entry.owner.epoch)
    }

    /// Publishes the owners to the request path; does nothing until all records that the log
    /// keeps have been read.
    pub(crate) fn publish(&self, state: &State) {
        if !state.caught_up {
            return;
        }
        self.metrics.owned.set(state.owned.len() as i64);
        let acts_from = |resource: &ResourceId, owner: &Owner| {
            let owned = state.owned.get(resource)?;
            let acting =
                owner.identity == self.identity && owned.epoch == owner.epoch && !owned.releasing;
            owned.acts_from.filter(|_| acting)
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
        self.view_count.fetch_add(1, Ordering::AcqRel);
    }

    /// Number of views published so far, so that a change of owners is cheap to detect.
    pub(crate) fn view_count(&self) -> u64 {
        self.view_count.load(Ordering::Acquire)
    }

    /// Stores the newest outage that another host reported, if it ends later than the stored
    /// one. An end of 0 means that the host knows of none.
    pub(crate) fn record_reported_outage(&self, began_ms: u64, ended_ms: u64) {
        let mut state = self.state.lock();
        let known = state.reported_outage;
        if ended_ms > 0 && known.is_none_or(|(_, known_end_ms)| ended_ms > known_end_ms) {
            state.reported_outage = Some((began_ms, ended_ms));
        }
    }

    /// Outages of the log that a new owner must take into account, as begin and end in
    /// milliseconds since 1970: the newest recorded one, one of this host that is not recorded
    /// yet, and the newest one that other hosts reported.
    pub(crate) fn outages_ms(&self) -> Vec<(u64, u64)> {
        let state = self.state.lock();
        let known = state.fleet.newest_outage().into_iter().chain(&state.unrecorded_outage);
        let known = known.map(|outage| (outage.began_ms, outage.ended_ms));
        known.chain(state.reported_outage).collect()
    }

    /// Wakes the controller for a round.
    pub(crate) fn wake(&self) {
        // a full channel means that a round is already due
        let _ = self.wake.try_send(());
    }

    /// Offset after the newest fleet record that was read.
    pub(crate) fn read_offset(&self) -> Offset {
        self.read_offset.load(Ordering::Acquire)
    }

    /// Offset after the newest fleet record that is known to exist.
    pub(crate) fn known_offset(&self) -> Offset {
        self.known_offset.load(Ordering::Acquire)
    }

    /// Advances the offsets after the record at `offset` was read.
    pub(crate) fn advance_read_offset(&self, offset: Offset) {
        self.read_offset.fetch_max(offset + 1, Ordering::AcqRel);
        self.known_offset.fetch_max(offset + 1, Ordering::AcqRel);
    }

    /// Records that fleet records below `next` exist. If this host has not read all of them,
    /// another host may be appending, so a verified outage no longer lets it act.
    pub(crate) fn raise_known_offset(&self, next: Offset) {
        self.known_offset.fetch_max(next, Ordering::AcqRel);
        if next > self.read_offset() {
            self.clock.revoke_outage_extension();
        }
    }

    /// Updates the owned resources after a Take by this or another process.
    pub(crate) fn update_owned(
        &self,
        state: &mut State,
        take: &Take,
        taken: &[TakenResource],
        epoch: Epoch,
    ) {
        let is_own = take.identity == self.identity;
        if is_own {
            state.latest_take_request = Some(take.request_id.clone());
        }
        for TakenResource { resource, released, had_owner } in taken {
            if !is_own {
                if state.owned.remove(resource).is_some() {
                    self.metrics.lost.inc();
                    info!("event=resource_lost resource={resource} to={}", take.host_id);
                }
                continue;
            }
            info!("event=resource_taken resource={resource} epoch={epoch} released={released}");
            let resource_state = OwnedResource {
                epoch,
                awaits_lease_end: !released,
                acts_from: released.then(Instant::now),
                releasing: false,
            };
            self.metrics.taken.inc();
            if *had_owner {
                state.taken_over_at.insert(resource.clone(), Instant::now());
            }
            state.owned.insert(resource.clone(), resource_state);
        }
    }
}

/// Returns the owned resources with their epochs, as listed in a record.
pub(crate) fn resource_epochs<'a>(
    owned: impl Iterator<Item = (&'a ResourceId, &'a OwnedResource)>,
) -> Vec<Seen> {
    owned
        .map(|(resource, owned)| Seen {
            resource: resource.as_str().to_owned(),
            epoch: owned.epoch,
        })
        .collect()
}
