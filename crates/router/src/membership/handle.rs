use {
    super::{
        host_info::HostInfo,
        live_view::LiveView,
        member_table::MemberTable,
        registrar::{Registrar, RegistrarRequest},
    },
    crate::{metrics::Metrics, peer::PeerNet, platform::RecordLog},
    anyhow::Context,
    arc_swap::ArcSwap,
    crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded, unbounded},
    log::{info, warn},
    mango_wire::{
        HostId, Offset,
        peer::{Alive, Heartbeat, Leaving, PeerMessage, Suspect},
        records::{Join, Leave},
        settings::Settings,
    },
    parking_lot::Mutex,
    prometheus_client::metrics::{counter::Counter, gauge::Gauge},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::{
            Arc, Weak,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

// How long a host also sends heartbeats to a host that suspected it. While their
// views differ, the suspecting host may count itself among the monitors.
const EXTRA_HEARTBEAT_DURATION: Duration = Duration::from_secs(10);
const SUSPICION_REPEAT_INTERVAL: Duration = Duration::from_secs(30);

/// Tracks which hosts are registered and which of them are live.
///
/// Registration follows the records of the stream `fleet`. Each host sends
/// heartbeats to a few monitors. A monitor that receives none for too long sends
/// a suspicion to all hosts; a live host refutes it with a higher incarnation.
pub(crate) struct Membership {
    host_id: HostId,
    identity: String,
    net: PeerNet,
    request_timeout: Duration,
    heartbeat_interval: Duration,
    suspect_timeout: Duration,
    state: Mutex<State>,
    view: ArcSwap<LiveView>,
    /// Offset up to which this host has read the fleet records, sent in heartbeats.
    log_offset: AtomicU64,
    /// Configuration version of this host, sent in heartbeats.
    config_version: AtomicU64,
    registrar: Sender<RegistrarRequest>,
    stop: Sender<()>,
    live_gauge: Gauge,
    registered_gauge: Gauge,
    suspicions: Counter,
}

struct State {
    table: MemberTable,
    /// Incarnation of this host, raised to refute a suspicion.
    incarnation: u64,
    leaving: bool,
    /// Start of the newest confirmed read of the log's tail by any host.
    newest_log_read: Option<Instant>,
    /// When this host read its newest own Join record.
    own_join_read_at: Option<Instant>,
    /// Hosts that the platform's host list marks as leaving.
    marked_leaving: HashSet<HostId>,
    /// Hosts that also get heartbeats because they suspected this host, with the
    /// time at which that ends.
    extra_targets: HashMap<HostId, Instant>,
    listeners: Vec<Sender<()>>,
}

impl Membership {
    /// Starts the threads that send heartbeats and keep this host registered.
    /// They end on `stop`, on `leave`, or when the last reference is dropped.
    pub(crate) fn spawn<L: RecordLog>(
        settings: &Settings,
        identity: &str,
        log: L,
        net: PeerNet,
        metrics: &Metrics,
    ) -> anyhow::Result<Arc<Self>> {
        let timing = settings.membership.clone().unwrap_or_default();
        let suspect_timeout = Duration::from_millis(timing.suspect_ms.into());
        let table = MemberTable::new(
            &settings.host_id,
            identity,
            timing.monitors as usize,
            suspect_timeout,
            settings.platform.retention_ms,
        );
        for seed in &settings.seeds {
            net.add_seed(
                seed.parse()
                    .with_context(|| format!("invalid address {seed:?} in the setting seeds"))?,
            );
        }
        let peer_address = advertised_address(settings, &net)?;
        let (registrar, requests) = unbounded();
        let (stop, stopped) = bounded(1);
        let membership = Arc::new(Self {
            host_id: settings.host_id.clone(),
            identity: identity.to_owned(),
            net,
            request_timeout: Duration::from_millis(settings.platform.request_ms.into()),
            heartbeat_interval: Duration::from_millis(timing.heartbeat_ms.max(1).into()),
            suspect_timeout,
            state: Mutex::new(State {
                table,
                incarnation: 0,
                leaving: false,
                newest_log_read: None,
                own_join_read_at: None,
                marked_leaving: HashSet::new(),
                extra_targets: HashMap::new(),
                listeners: Vec::new(),
            }),
            view: ArcSwap::default(),
            log_offset: AtomicU64::new(0),
            config_version: AtomicU64::new(0),
            registrar,
            stop,
            live_gauge: metrics.register("hosts_live", "Live hosts", Gauge::default()),
            registered_gauge: metrics.register(
                "hosts_registered",
                "Registered hosts",
                Gauge::default(),
            ),
            suspicions: metrics.register(
                "host_suspicions",
                "Suspicions that this host sent because it received no heartbeats",
                Counter::default(),
            ),
        });
        let weak = Arc::downgrade(&membership);
        let registrar = Registrar::new(log, settings, identity, peer_address, weak.clone());
        thread::Builder::new()
            .name("registrar".to_owned())
            .spawn(move || registrar.run(&requests))?;
        let check_interval = membership.heartbeat_interval / 5;
        thread::Builder::new()
            .name("membership".to_owned())
            .spawn(move || run_periodic_checks(&weak, &stopped, check_interval))?;
        Ok(membership)
    }

    /// Live registered hosts, ordered by name. This host is included once its
    /// Join record has been read.
    pub(crate) fn live_hosts(&self) -> Arc<Vec<HostInfo>> {
        self.view.load().hosts.clone()
    }

    /// Number of registered hosts, live or not.
    pub(crate) fn registered_count(&self) -> usize {
        self.view.load().registered.len()
    }

    /// Registered hosts, live or not, with their identities.
    pub(crate) fn registered_hosts(&self) -> HashMap<HostId, String> {
        self.view.load().registered.clone()
    }

    pub(crate) fn is_live(&self, host: &HostId) -> bool {
        self.view.load().live_host(host).is_some()
    }

    /// Whether the host is live with this identity.
    pub(crate) fn is_live_identity(&self, host: &HostId, identity: &str) -> bool {
        self.view.load().live_host(host).is_some_and(|info| info.identity == identity)
    }

    /// Whether the platform's host list marks the host as leaving.
    pub(crate) fn is_marked_leaving(&self, host: &HostId) -> bool {
        self.state.lock().marked_leaving.contains(host)
    }

    /// Start of the newest confirmed read of the log's tail, by this host or by
    /// another one that reported it in a heartbeat.
    pub(crate) fn newest_log_read(&self) -> Option<Instant> {
        self.state.lock().newest_log_read
    }

    /// Age of `newest_log_read` in milliseconds, `u32::MAX` if there is none.
    pub(crate) fn log_age_ms(&self) -> u32 {
        self.newest_log_read()
            .map_or(u32::MAX, |read| u32::try_from(read.elapsed().as_millis()).unwrap_or(u32::MAX))
    }

    /// Adds a channel that receives a signal on each change of the live or
    /// registered hosts. No signal is added while the channel is full.
    pub(crate) fn subscribe(&self, listener: Sender<()>) {
        self.state.lock().listeners.push(listener);
    }

    /// Sets the configuration version that heartbeats carry.
    pub(crate) fn set_config_version(&self, version: u64) {
        self.config_version.store(version, Ordering::Relaxed);
    }

    /// Announces a planned leave to all hosts, appends the Leave record and ends
    /// the threads. Waits for the append, which is tried up to three times, for
    /// at most four request timeouts.
    pub(crate) fn leave(&self) {
        {
            let mut state = self.state.lock();
            state.leaving = true;
            state.table.apply_leave_announcement(&self.identity);
            self.publish(&mut state);
        }
        let leaving = Leaving { host_id: self.host_id.clone(), identity: self.identity.clone() };
        self.broadcast(&leaving.into());
        let (done, result) = bounded(1);
        // fails if an earlier `leave` or `stop` has ended the registrar's thread
        if self.registrar.send(RegistrarRequest::Leave(done)).is_ok() {
            let appended = result.recv_timeout(self.request_timeout * 4).unwrap_or(false);
            info!("event=left host={} recorded={appended}", self.host_id);
        }
        let _ = self.stop.try_send(());
    }

    /// Ends the threads without a Leave record.
    pub(crate) fn stop(&self) {
        let _ = self.registrar.send(RegistrarRequest::Stop);
        let _ = self.stop.try_send(());
    }

    /// Handles a message from a peer and ignores kinds that do not concern
    /// membership; `identity` is the identity that the peer proved when it connected.
    pub(crate) fn handle(&self, from: &HostId, identity: &str, message: &PeerMessage) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(from, identity, heartbeat),
            PeerMessage::Suspect(suspect) => self.on_suspect(from, suspect),
            PeerMessage::Alive(alive) => {
                let mut state = self.state.lock();
                state.table.apply_refutation(alive, Instant::now());
                self.publish(&mut state);
            }
            PeerMessage::Leaving(leaving) => {
                let mut state = self.state.lock();
                state.table.apply_leave_announcement(&leaving.identity);
                self.publish(&mut state);
            }
            _ => {}
        }
    }

    /// Whether a process with this identity may connect. One that has left may not.
    pub(crate) fn accepts(&self, _host: &HostId, identity: &str) -> bool {
        !self.state.lock().table.has_left(identity)
    }

    /// Applies a Join record; `at_ms` is its append time in the log. Sends the
    /// joined host the suspicions of the dead hosts that this host monitors.
    pub(crate) fn apply_join(&self, join: &Join, at_ms: u64) {
        let mut state = self.state.lock();
        if !state.table.apply_join(join, at_ms, Instant::now()) {
            return;
        }
        if join.identity == self.identity {
            state.own_join_read_at = Some(Instant::now());
        }
        self.publish(&mut state);
        let suspicions = state.table.monitored_dead_host_suspicions();
        drop(state);
        for suspicion in suspicions {
            self.net.send(&join.host_id, suspicion.into());
        }
    }

    /// Applies a Leave record; `at_ms` is its append time in the log.
    pub(crate) fn apply_leave(&self, leave: &Leave, at_ms: u64) {
        let mut state = self.state.lock();
        if state.table.apply_leave(leave, at_ms) {
            self.net.remove_host(&leave.host_id);
        }
        self.publish(&mut state);
    }

    /// Clears the registrations after records were missed. The caller then applies
    /// the records that the log still keeps.
    pub(crate) fn reset_registrations(&self) {
        self.state.lock().table.reset();
    }

    /// Records the start of a confirmed read of the log's tail by this host, and
    /// the offset after the newest fleet record that it has read.
    pub(crate) fn record_log_read(&self, read_started: Instant, log_offset: Offset) {
        self.log_offset.store(log_offset, Ordering::Relaxed);
        let mut state = self.state.lock();
        state.newest_log_read = state.newest_log_read.max(Some(read_started));
    }

    /// Sets the address of a host from the platform's host list. The address that
    /// a live host registered itself takes precedence.
    pub(super) fn set_listed_address(&self, host: &HostId, address: SocketAddr) {
        if self.view.load().live_host(host).is_none() {
            self.net.set_address(host, address);
        }
    }

    pub(super) fn set_marked_leaving(&self, hosts: HashSet<HostId>) {
        self.state.lock().marked_leaving = hosts;
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.state.lock().leaving
    }

    pub(super) fn own_identity_left(&self) -> bool {
        self.state.lock().table.has_left(&self.identity)
    }

    /// When this host read its newest own Join record, if it is registered.
    pub(super) fn own_join_read_at(&self) -> Option<Instant> {
        let state = self.state.lock();
        let registered = state.table.is_registered(&self.host_id, &self.identity);
        state.own_join_read_at.filter(|_| registered)
    }

    fn on_heartbeat(&self, from: &HostId, identity: &str, heartbeat: &Heartbeat) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let log_read = now.checked_sub(Duration::from_millis(heartbeat.log_age_ms.into()));
        if heartbeat.log_age_ms != u32::MAX {
            state.newest_log_read = state.newest_log_read.max(log_read);
        }
        let suspicion = state.table.apply_heartbeat(from, identity, heartbeat.incarnation, now);
        self.publish(&mut state);
        drop(state);
        if let Some(suspicion) = suspicion {
            self.net.send(from, suspicion.into());
        }
    }

    fn on_suspect(&self, from: &HostId, suspect: &Suspect) {
        if suspect.host_id == self.host_id {
            return self.refute(from, suspect);
        }
        let mut state = self.state.lock();
        if state.table.apply_suspicion(suspect, Instant::now()) {
            info!("event=host_suspected host={} by={from}", suspect.host_id);
        }
    }

    /// Refutes a suspicion of this host: to all hosts with a new incarnation, or only
    /// to the sender if the suspicion is older than the last refutation.
    fn refute(&self, from: &HostId, suspect: &Suspect) {
        let mut state = self.state.lock();
        if suspect.identity != self.identity || state.leaving {
            return;
        }
        let to_all = suspect.incarnation >= state.incarnation;
        if to_all {
            state.incarnation = suspect.incarnation.saturating_add(1);
        }
        state.extra_targets.insert(from.clone(), Instant::now() + EXTRA_HEARTBEAT_DURATION);
        let alive = Alive {
            host_id: self.host_id.clone(),
            identity: self.identity.clone(),
            incarnation: state.incarnation,
        };
        drop(state);
        if to_all {
            info!("event=suspicion_refuted by={from} incarnation={}", alive.incarnation);
            self.broadcast(&alive.into());
        } else {
            self.net.send(from, alive.into());
        }
    }

    fn broadcast(&self, message: &PeerMessage) {
        for host in self.view.load().registered.keys().filter(|host| **host != self.host_id) {
            self.net.send(host, message.clone());
        }
    }

    /// Publishes a new view if the table has changed.
    fn publish(&self, state: &mut State) {
        if !state.table.take_changed() {
            return;
        }
        let view = state.table.view();
        let current = self.view.load();
        if current.hosts == view.hosts && current.registered == view.registered {
            return;
        }
        for host in current.hosts.iter().filter(|host| view.live_host(&host.host_id).is_none()) {
            warn!("event=host_not_live host={} identity={}", host.host_id, host.identity);
        }
        for host in view.hosts.iter() {
            if current.live_host(&host.host_id) != Some(host) {
                self.net.set_address(&host.host_id, host.peer_address);
            }
        }
        self.live_gauge.set(view.hosts.len() as i64);
        self.registered_gauge.set(view.registered.len() as i64);
        state.table.assign_monitored(&view, Instant::now());
        self.view.store(Arc::new(view));
        for listener in &state.listeners {
            let _ = listener.try_send(());
        }
    }

    fn send_heartbeats(&self) {
        let now = Instant::now();
        let mut state = self.state.lock();
        if state.leaving {
            return;
        }
        state.extra_targets.retain(|_, until| *until > now);
        let mut targets = state.table.own_monitors(&self.view.load());
        for host in state.extra_targets.keys() {
            if !targets.contains(host) {
                targets.push(host.clone());
            }
        }
        let age = state.newest_log_read.map(|read| now.saturating_duration_since(read).as_millis());
        let heartbeat = Heartbeat {
            incarnation: state.incarnation,
            log_offset: self.log_offset.load(Ordering::Relaxed),
            log_age_ms: age.and_then(|ms| u32::try_from(ms).ok()).unwrap_or(u32::MAX),
            config_version: self.config_version.load(Ordering::Relaxed),
        };
        drop(state);
        for host in targets {
            self.net.send(&host, heartbeat.clone().into());
        }
    }

    /// Sends suspicions of hosts that have become silent; with `repeat`, also
    /// sends the suspicions of dead hosts again.
    fn check_silence(&self, since_last_check: Duration, repeat: bool) {
        let now = Instant::now();
        let mut state = self.state.lock();
        if since_last_check > self.suspect_timeout / 2 {
            // this process was paused and may have missed heartbeats
            state.table.reset_silence(now);
        }
        let mut suspicions = state.table.check_silence(now);
        self.publish(&mut state);
        self.suspicions.inc_by(suspicions.len() as u64);
        let mut to_dead_hosts = Vec::new();
        if repeat {
            suspicions.extend(state.table.monitored_dead_host_suspicions());
            to_dead_hosts = state.table.dead_host_suspicions();
        }
        drop(state);
        for suspicion in to_dead_hosts {
            let host = suspicion.host_id.clone();
            self.net.send(&host, suspicion.into());
        }
        for suspicion in suspicions {
            self.broadcast(&suspicion.into());
        }
    }
}

/// Address at which other hosts reach this host.
fn advertised_address(settings: &Settings, net: &PeerNet) -> anyhow::Result<SocketAddr> {
    let configured: SocketAddr = settings
        .peer_address
        .parse()
        .with_context(|| format!("invalid peer_address {:?}", settings.peer_address))?;
    // with port 0, the operating system has chosen the listener's port
    Ok(SocketAddr::new(configured.ip(), net.local_address().port()))
}

/// Checks for silent hosts and sends heartbeats until a stop is requested or the
/// last reference to the membership is dropped.
fn run_periodic_checks(
    membership: &Weak<Membership>,
    stopped: &Receiver<()>,
    check_interval: Duration,
) {
    let mut last_check = Instant::now();
    let mut next_heartbeat = last_check;
    let mut next_repeat = last_check + SUSPICION_REPEAT_INTERVAL;
    while let Err(RecvTimeoutError::Timeout) = stopped.recv_timeout(check_interval) {
        let Some(membership) = membership.upgrade() else {
            return;
        };
        let now = Instant::now();
        let repeat = now >= next_repeat;
        if repeat {
            next_repeat = now + SUSPICION_REPEAT_INTERVAL;
        }
        membership.check_silence(now - last_check, repeat);
        last_check = now;
        if now >= next_heartbeat {
            // keeps a fixed schedule, unless the thread fell behind
            next_heartbeat = (next_heartbeat + membership.heartbeat_interval).max(now);
            membership.send_heartbeats();
        }
    }
}
