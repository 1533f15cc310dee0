use {
    super::{
        controller::{Controller, FLEET_STREAM, RoundState},
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

/// Ownership of the fleet's resources: which host owns a resource, and whether this host may
/// act on the resources that it owns. Only an acting owner serves a resource; it acts while
/// its lease or a verified outage of the log lasts.
pub(crate) struct Ownership {
    shared: Arc<Shared>,
    membership: Arc<Membership>,
    tail: LogTail,
    release_timeout: Duration,
    stop_senders: [Sender<()>; 2],
}

impl Ownership {
    /// Starts the threads that follow the stream `fleet`, take resources once these are set,
    /// and probe for outages of the log. Joins and leaves in the stream are applied to
    /// `membership`. The threads end on `stop` or when the last reference is dropped.
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
        let request_timeout = Duration::from_millis(platform.request_ms.into());
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
        let renewal_interval = Duration::from_millis(platform.retention_ms / 3);
        let controller = Controller {
            shared: shared.clone(),
            membership: membership.clone(),
            net: net.clone(),
            log: log.clone(),
            rebalance_interval: Duration::from_millis(timing.rebalance_ms.max(1).into()),
            request_timeout,
            renewal_interval,
            wake: woken,
            stopped: controller_stopped,
            round_state: RoundState::new(renewal_interval),
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
            release_timeout: request_timeout * 3,
            stop_senders: [stop_controller, stop_prober],
        }))
    }

    /// Sets all resources of the fleet and the region whose hosts may own each; an empty
    /// region allows all hosts. Nothing is taken or released before the first call.
    pub(crate) fn set_resources(&self, resources: Vec<(ResourceId, String)>) {
        self.shared.state.lock().resources = Some(Arc::new(resources));
        self.shared.wake();
    }

    /// Owner by the newest records that were read, whether it is live or not.
    pub(crate) fn owner(&self, resource: &ResourceId) -> Option<Owner> {
        self.shared.owner(resource)
    }

    /// Epoch of the resource if this host may act on it now, otherwise `None`. Takes no lock.
    pub(crate) fn acting_epoch(&self, resource: &ResourceId) -> Option<Epoch> {
        self.shared.acting_epoch(resource)
    }

    /// Time until which this host may act on the resources that it owns, unless a read or a
    /// probe extends it.
    pub(crate) fn acting_until(&self) -> Instant {
        self.shared.clock.acting_until()
    }

    /// Counter that increases when owners change.
    pub(crate) fn change_count(&self) -> u64 {
        self.shared.view_count()
    }

    /// Resources that this process owns and their epochs, whether it may act on them or not.
    pub(crate) fn owned_resources(&self) -> HashMap<ResourceId, Epoch> {
        let state = self.shared.state.lock();
        state.owned.iter().map(|(resource, owned)| (resource.clone(), owned.epoch)).collect()
    }

    pub(crate) fn mode(&self) -> OwnershipMode {
        let now = Instant::now();
        let clock = &self.shared.clock;
        if clock.is_leased(now) {
            return OwnershipMode::Leased;
        }
        if now < clock.acting_until() {
            return OwnershipMode::VerifiedOutage { since: clock.last_confirmed_read() };
        }
        OwnershipMode::Lapsed
    }

    /// Outages of the log that a new owner must take into account, as begin and end in
    /// milliseconds since 1970: the newest recorded one, one of this host that is not recorded
    /// yet, and the newest one that other hosts reported.
    pub(crate) fn outages_ms(&self) -> Vec<(u64, u64)> {
        self.shared.outages_ms()
    }

    /// Returns the known outage with the latest end, or zeros if there is none. An outage is
    /// ongoing while no host is known to have read the log within the lease: this host's
    /// answer to a probe may have let another host verify it.
    fn newest_outage_ms(&self) -> (u64, u64) {
        let log_age_ms = self.membership.log_age_ms();
        let is_ongoing = log_age_ms != u32::MAX
            && u128::from(log_age_ms) >= self.shared.clock.lease().as_millis();
        let now_ms = unix_ms();
        let ongoing = is_ongoing.then(|| (now_ms.saturating_sub(log_age_ms.into()), now_ms));
        let known = self.outages_ms().into_iter().chain(ongoing);
        known.max_by_key(|(_, ended_ms)| *ended_ms).unwrap_or_default()
    }

    /// Releases all resources for a planned stop and takes no more. Returns when the Release
    /// was read back, or after three request timeouts. Resources that still wait for the
    /// previous owner's lease to end are not released; other hosts take them over.
    pub(crate) fn release_all(&self) {
        self.shared.draining.store(true, Ordering::Release);
        let deadline = Instant::now() + self.release_timeout;
        loop {
            self.shared.wake();
            let now = Instant::now();
            let left = {
                let state = self.shared.state.lock();
                let active = |acts_from: Option<Instant>| acts_from.is_some_and(|at| at <= now);
                state
                    .owned
                    .values()
                    .filter(|owned| owned.releasing || active(owned.acts_from))
                    .count()
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

    /// Answers an outage probe or a Take notice of a peer; ignores other messages.
    pub(crate) fn handle(&self, from: &HostId, message: &PeerMessage, replier: Replier) {
        match message {
            PeerMessage::OutageProbe(probe) => {
                self.shared.raise_known_offset(probe.log_offset);
                self.shared.record_probe(from);
            }
            PeerMessage::TakeNotice(notice) => {
                self.shared.raise_known_offset(notice.offset.saturating_add(1));
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

    /// Ends the threads without releasing any resource.
    pub(crate) fn stop(&self) {
        self.tail.stop();
        for stop in &self.stop_senders {
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
