use {
    super::{
        controller::{Controller, FLEET_STREAM, Progress},
        fleet_sink::FleetSink,
        outage_prober::OutageProber,
        owner::Owner,
        ownership_metrics::OwnershipMetrics,
        ownership_mode::OwnershipMode,
        resource_id::ResourceId,
        shared::Shared,
    },
    crate::{
        membership::{Membership, unix_ms},
        metrics::Metrics,
        peer::{PeerNet, Replier},
        platform::{LogTail, RecordLog},
    },
    crossbeam::channel::{Sender, bounded},
    log::{info, warn},
    mango_wire::{
        Epoch, HostId,
        peer::{OutageReply, PeerMessage},
        settings::Settings,
    },
    std::{
        collections::HashMap,
        sync::{Arc, atomic::Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Which host owns which resource, and whether this host may act on its own.
pub(crate) struct Ownership {
    shared: Arc<Shared>,
    membership: Arc<Membership>,
    tail: LogTail,
    release_limit: Duration,
    stops: [Sender<()>; 2],
}

impl Ownership {
    /// Follows the stream `fleet`, feeds the membership from it and starts to
    /// take resources once they are set. The threads end on `stop` or when the
    /// last handle is dropped.
    pub(crate) fn spawn<L: RecordLog + Clone>(
        settings: &Settings,
        identity: &str,
        log: L,
        net: PeerNet,
        membership: Arc<Membership>,
        metrics: &Metrics,
    ) -> anyhow::Result<Arc<Self>> {
        let timing = settings.ownership.clone().unwrap_or_default();
        let platform = &settings.platform;
        let request = Duration::from_millis(platform.request_ms.into());
        let (wake, woken) = bounded(1);
        membership.subscribe(wake.clone());
        let shared = Arc::new(Shared::new(
            &settings.host_id,
            identity,
            Duration::from_millis(timing.lease_ms.max(1).into()),
            platform.retention_ms,
            wake,
            OwnershipMetrics::register(metrics),
        ));
        let (stop_controller, controller_stopped) = bounded(1);
        let (stop_prober, prober_stopped) = bounded(1);
        let renewal = Duration::from_millis(platform.retention_ms / 3);
        let controller = Controller {
            shared: shared.clone(),
            membership: membership.clone(),
            net: net.clone(),
            log: log.clone(),
            rebalance: Duration::from_millis(timing.rebalance_ms.max(1).into()),
            request,
            renewal,
            wake: woken,
            stopped: controller_stopped,
            progress: Progress::new(renewal),
        };
        let prober = OutageProber {
            shared: shared.clone(),
            membership: membership.clone(),
            net,
            stopped: prober_stopped,
        };
        let sink = FleetSink::new(shared.clone(), membership.clone());
        let tail = LogTail::spawn(log, FLEET_STREAM, platform, sink)?;
        thread::Builder::new().name("ownership".to_owned()).spawn(move || controller.run())?;
        thread::Builder::new().name("outage-prober".to_owned()).spawn(move || prober.run())?;
        Ok(Arc::new(Self {
            shared,
            membership,
            tail,
            release_limit: request * 3,
            stops: [stop_controller, stop_prober],
        }))
    }

    /// Sets all resources of the fleet with their regions; an empty region
    /// stands for any host. Nothing is taken or released before the first call.
    pub(crate) fn set_resources(&self, resources: Vec<(ResourceId, String)>) {
        self.shared.state.lock().resources = Some(Arc::new(resources));
        self.shared.wake();
    }

    /// Owner by the newest records that were read, live or not.
    pub(crate) fn owner(&self, resource: &ResourceId) -> Option<Owner> {
        self.shared.owner(resource)
    }

    /// Epoch of the resource while this host may act on it; takes no lock.
    pub(crate) fn acting_epoch(&self, resource: &ResourceId) -> Option<Epoch> {
        self.shared.acting_epoch(resource)
    }

    /// End of the time in which this host may act on what it owns, unless the
    /// time is extended before.
    pub(crate) fn acting_until(&self) -> Instant {
        self.shared.clock.acting_until()
    }

    /// A number that rises when owners change.
    pub(crate) fn change_count(&self) -> u64 {
        self.shared.views()
    }

    /// Resources that this process owns, whether it may act on them or not.
    pub(crate) fn owned_resources(&self) -> HashMap<ResourceId, Epoch> {
        let state = self.shared.state.lock();
        state.own.iter().map(|(resource, own)| (resource.clone(), own.epoch)).collect()
    }

    pub(crate) fn mode(&self) -> OwnershipMode {
        let now = Instant::now();
        let clock = &self.shared.clock;
        if clock.is_leased(now) {
            return OwnershipMode::Leased;
        }
        if now < clock.acting_until() {
            return OwnershipMode::VerifiedOutage { since: clock.newest_read() };
        }
        OwnershipMode::Lapsed
    }

    /// Outages that a successor must allow for, as begin and end in milliseconds
    /// since 1970: the newest on record, one of this host that is not recorded yet
    /// and the newest that other hosts told of.
    pub(crate) fn outages_ms(&self) -> Vec<(u64, u64)> {
        self.shared.outages_ms()
    }

    /// The outage that ends last of those that this host knows of. While no host is
    /// known to have read the log within the lease, an outage goes on: this host may
    /// have helped another one to verify it. Zeros stand for none.
    fn newest_outage_ms(&self) -> (u64, u64) {
        let log_age_ms = self.membership.log_age_ms();
        let goes_on = log_age_ms != u32::MAX
            && u128::from(log_age_ms) >= self.shared.clock.lease().as_millis();
        let now_ms = unix_ms();
        let present = goes_on.then(|| (now_ms.saturating_sub(log_age_ms.into()), now_ms));
        let known = self.outages_ms().into_iter().chain(present);
        known.max_by_key(|(_, ended_ms)| *ended_ms).unwrap_or_default()
    }

    /// Gives up all resources for a planned stop and takes no more. Returns when
    /// the Release was read back, or after three request times. Resources whose
    /// start-up wait is not over are left to a takeover.
    pub(crate) fn release_all(&self) {
        self.shared.draining.store(true, Ordering::Release);
        let deadline = Instant::now() + self.release_limit;
        loop {
            self.shared.wake();
            let now = Instant::now();
            let left = {
                let state = self.shared.state.lock();
                let active = |acts_from: Option<Instant>| acts_from.is_some_and(|at| at <= now);
                state.own.values().filter(|own| own.releasing || active(own.acts_from)).count()
            };
            if left == 0 {
                info!("event=resources_released");
                return;
            }
            if now >= deadline {
                warn!("event=resources_not_released left={left}");
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Handles a probe or a notice of a peer.
    pub(crate) fn handle(&self, from: &HostId, message: &PeerMessage, replier: Replier) {
        match message {
            PeerMessage::OutageProbe(probe) => {
                self.shared.note_existing(probe.log_offset);
                self.shared.note_probe(from);
            }
            PeerMessage::TakeNotice(notice) => {
                self.shared.note_existing(notice.offset.saturating_add(1));
            }
            _ => return,
        }
        let (outage_began_ms, outage_ended_ms) = self.newest_outage_ms();
        let reply = OutageReply {
            log_offset: self.shared.known_offset(),
            log_age_ms: self.membership.log_age_ms(),
            outage_began_ms,
            outage_ended_ms,
        };
        replier.reply(reply.into());
    }

    /// Ends the threads without releasing anything.
    pub(crate) fn stop(&self) {
        self.tail.stop();
        for stop in &self.stops {
            let _ = stop.try_send(());
        }
        self.shared.wake();
    }
}

impl Drop for Ownership {
    fn drop(&mut self) {
        self.stop();
    }
}
