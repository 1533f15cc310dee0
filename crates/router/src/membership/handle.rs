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

// A host whose heartbeats go elsewhere than its monitor expects sends them also
// to a host that suspected it, until their views agree.
const EXTRA_HEARTBEATS: Duration = Duration::from_secs(10);
const REPEAT_SUSPICIONS: Duration = Duration::from_secs(30);

/// Which hosts are registered and which of them are live.
///
/// Registration is fed by the tail of the stream `fleet`. Each host sends
/// heartbeats to a few monitors; a monitor that hears none reports the host to
/// all, and a host that is live refutes the report with a higher incarnation.
pub(crate) struct Membership {
    host_id: HostId,
    identity: String,
    net: PeerNet,
    request: Duration,
    heartbeat: Duration,
    suspect: Duration,
    state: Mutex<State>,
    view: ArcSwap<LiveView>,
    log_offset: AtomicU64,
    config_version: AtomicU64,
    registrar: Sender<RegistrarRequest>,
    stop: Sender<()>,
    live_gauge: Gauge,
    registered_gauge: Gauge,
    suspicions: Counter,
}

struct State {
    table: MemberTable,
    incarnation: u64,
    leaving: bool,
    /// Newest confirmed read of the log's tail by any host.
    newest_read: Option<Instant>,
    own_join_read: Option<Instant>,
    marked_leaving: HashSet<HostId>,
    extra_targets: HashMap<HostId, Instant>,
    listeners: Vec<Sender<()>>,
}

impl Membership {
    /// Starts the threads that send heartbeats and keep this host registered.
    /// They end on `stop`, on `leave`, or when the last handle is dropped.
    pub(crate) fn spawn<L: RecordLog>(
        settings: &Settings,
        identity: &str,
        log: L,
        net: PeerNet,
        metrics: &Metrics,
    ) -> anyhow::Result<Arc<Self>> {
        let timing = settings.membership.clone().unwrap_or_default();
        let suspect = Duration::from_millis(timing.suspect_ms.into());
        let table = MemberTable::new(
            &settings.host_id,
            identity,
            timing.monitors as usize,
            suspect,
            settings.platform.retention_ms,
        );
        for seed in &settings.seeds {
            net.add_seed(seed.parse().with_context(|| format!("seeds: {seed}"))?);
        }
        let peer_address = advertised_address(settings, &net)?;
        let (registrar, requests) = unbounded();
        let (stop, stopped) = bounded(1);
        let membership = Arc::new(Self {
            host_id: settings.host_id.clone(),
            identity: identity.to_owned(),
            net,
            request: Duration::from_millis(settings.platform.request_ms.into()),
            heartbeat: Duration::from_millis(timing.heartbeat_ms.max(1).into()),
            suspect,
            state: Mutex::new(State {
                table,
                incarnation: 0,
                leaving: false,
                newest_read: None,
                own_join_read: None,
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
                "Hosts that this host reported silent",
                Counter::default(),
            ),
        });
        let weak = Arc::downgrade(&membership);
        let registrar = Registrar::new(log, settings, identity, peer_address, weak.clone());
        thread::Builder::new()
            .name("registrar".to_owned())
            .spawn(move || registrar.run(&requests))?;
        let tick = membership.heartbeat / 5;
        thread::Builder::new()
            .name("membership".to_owned())
            .spawn(move || run_ticks(&weak, &stopped, tick))?;
        Ok(membership)
    }

    /// Live registered hosts, ordered by name; this host is among them once its
    /// Join was read.
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
        self.view.load().live(host).is_some()
    }

    /// Whether the host is live with this identity.
    pub(crate) fn is_live_identity(&self, host: &HostId, identity: &str) -> bool {
        self.view.load().live(host).is_some_and(|info| info.identity == identity)
    }

    /// Whether the platform's host list says that the host is about to leave.
    pub(crate) fn is_marked_leaving(&self, host: &HostId) -> bool {
        self.state.lock().marked_leaving.contains(host)
    }

    /// Start of the newest confirmed read of the log's tail that any host is
    /// known to have made.
    pub(crate) fn newest_log_read(&self) -> Option<Instant> {
        self.state.lock().newest_read
    }

    /// Age of `newest_log_read` in milliseconds, `u32::MAX` if there is none.
    pub(crate) fn log_age_ms(&self) -> u32 {
        self.newest_log_read()
            .map_or(u32::MAX, |read| u32::try_from(read.elapsed().as_millis()).unwrap_or(u32::MAX))
    }

    /// Gets a signal on each change of the live or registered hosts. Signals are
    /// joined while the channel is full.
    pub(crate) fn subscribe(&self, listener: Sender<()>) {
        self.state.lock().listeners.push(listener);
    }

    /// Sets the configuration version that heartbeats carry.
    pub(crate) fn set_config_version(&self, version: u64) {
        self.config_version.store(version, Ordering::Relaxed);
    }

    /// Announces a planned leave to all hosts, appends the Leave record and ends
    /// the threads. Returns after the append, at most three request times later.
    pub(crate) fn leave(&self) {
        {
            let mut state = self.state.lock();
            state.leaving = true;
            state.table.announce_leave(&self.identity);
            self.publish(&mut state);
        }
        let leaving = Leaving { host_id: self.host_id.clone(), identity: self.identity.clone() };
        self.broadcast(&leaving.into());
        let (done, result) = bounded(1);
        // a registrar that has ended has already appended the record
        if self.registrar.send(RegistrarRequest::Leave(done)).is_ok() {
            let appended = result.recv_timeout(self.request * 4).unwrap_or(false);
            info!("event=left host={} recorded={appended}", self.host_id);
        }
        let _ = self.stop.try_send(());
    }

    /// Ends the threads without leaving.
    pub(crate) fn stop(&self) {
        let _ = self.registrar.send(RegistrarRequest::Stop);
        let _ = self.stop.try_send(());
    }

    /// Handles a message of a peer; `identity` is the one that its link proved.
    pub(crate) fn handle(&self, from: &HostId, identity: &str, message: &PeerMessage) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(from, identity, heartbeat),
            PeerMessage::Suspect(suspect) => self.on_suspect(from, suspect),
            PeerMessage::Alive(alive) => {
                let mut state = self.state.lock();
                state.table.alive(alive, Instant::now());
                self.publish(&mut state);
            }
            PeerMessage::Leaving(leaving) => {
                let mut state = self.state.lock();
                state.table.announce_leave(&leaving.identity);
                self.publish(&mut state);
            }
            _ => {}
        }
    }

    /// Whether a process with this identity may connect.
    pub(crate) fn accepts(&self, _host: &HostId, identity: &str) -> bool {
        !self.state.lock().table.has_left(identity)
    }

    /// Applies a Join record with its append time in the log.
    pub(crate) fn apply_join(&self, join: &Join, at_ms: u64) {
        let mut state = self.state.lock();
        if !state.table.join(join, at_ms, Instant::now()) {
            return;
        }
        if join.identity == self.identity {
            state.own_join_read = Some(Instant::now());
        }
        self.publish(&mut state);
        let suspicions = state.table.standing_suspicions();
        drop(state);
        for suspicion in suspicions {
            self.net.send(&join.host_id, suspicion.into());
        }
    }

    /// Applies a Leave record with its append time in the log.
    pub(crate) fn apply_leave(&self, leave: &Leave, at_ms: u64) {
        let mut state = self.state.lock();
        if state.table.leave(leave, at_ms) {
            self.net.remove_host(&leave.host_id);
        }
        self.publish(&mut state);
    }

    /// Forgets the registrations after records were missed; the kept ones follow.
    pub(crate) fn reset_registrations(&self) {
        self.state.lock().table.reset();
    }

    /// Notes a confirmed read of the tail by this host and the offset after the
    /// newest fleet record it has read.
    pub(crate) fn record_log_read(&self, read_started: Instant, log_offset: Offset) {
        self.log_offset.store(log_offset, Ordering::Relaxed);
        let mut state = self.state.lock();
        state.newest_read = state.newest_read.max(Some(read_started));
    }

    /// Adds the address of a host that the platform's host list names. The
    /// address that a live host registered itself takes precedence.
    pub(super) fn add_contact(&self, host: &HostId, address: SocketAddr) {
        if self.view.load().live(host).is_none() {
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

    /// When the newest own Join was read, if this host is registered.
    pub(super) fn own_join_read(&self) -> Option<Instant> {
        let state = self.state.lock();
        let registered = state.table.is_registered(&self.host_id, &self.identity);
        state.own_join_read.filter(|_| registered)
    }

    fn on_heartbeat(&self, from: &HostId, identity: &str, heartbeat: &Heartbeat) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let read = now.checked_sub(Duration::from_millis(heartbeat.log_age_ms.into()));
        if heartbeat.log_age_ms != u32::MAX {
            state.newest_read = state.newest_read.max(read);
        }
        let suspicion = state.table.heartbeat(from, identity, heartbeat.incarnation, now);
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
        if state.table.suspect(suspect, Instant::now()) {
            info!("event=host_suspected host={} by={from}", suspect.host_id);
        }
    }

    fn refute(&self, from: &HostId, suspect: &Suspect) {
        let mut state = self.state.lock();
        if suspect.identity != self.identity || state.leaving {
            return;
        }
        let to_all = suspect.incarnation >= state.incarnation;
        if to_all {
            state.incarnation = suspect.incarnation.saturating_add(1);
        }
        state.extra_targets.insert(from.clone(), Instant::now() + EXTRA_HEARTBEATS);
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
        for host in current.hosts.iter().filter(|host| view.live(&host.host_id).is_none()) {
            warn!("event=host_not_live host={} identity={}", host.host_id, host.identity);
        }
        for host in view.hosts.iter() {
            if current.live(&host.host_id) != Some(host) {
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
        let age = state.newest_read.map(|read| now.saturating_duration_since(read).as_millis());
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

    fn check_silence(&self, slept: Duration, repeat: bool) {
        let now = Instant::now();
        let mut state = self.state.lock();
        if slept > self.suspect / 2 {
            // this process was paused, so the silence may be its own
            state.table.restart_silence(now);
        }
        let mut suspicions = state.table.check_silence(now);
        self.publish(&mut state);
        self.suspicions.inc_by(suspicions.len() as u64);
        let mut dead = Vec::new();
        if repeat {
            suspicions.extend(state.table.standing_suspicions());
            dead = state.table.dead_hosts();
        }
        drop(state);
        for suspicion in dead {
            let host = suspicion.host_id.clone();
            self.net.send(&host, suspicion.into());
        }
        for suspicion in suspicions {
            self.broadcast(&suspicion.into());
        }
    }
}

/// Address that other hosts reach this one at.
fn advertised_address(settings: &Settings, net: &PeerNet) -> anyhow::Result<SocketAddr> {
    let configured: SocketAddr =
        settings.peer_address.parse().with_context(|| settings.peer_address.clone())?;
    // port 0 stands for the port that the listener got
    Ok(SocketAddr::new(configured.ip(), net.local_address().port()))
}

fn run_ticks(membership: &Weak<Membership>, stopped: &Receiver<()>, tick: Duration) {
    let mut last_check = Instant::now();
    let mut next_heartbeat = last_check;
    let mut next_repeat = last_check + REPEAT_SUSPICIONS;
    while let Err(RecvTimeoutError::Timeout) = stopped.recv_timeout(tick) {
        let Some(membership) = membership.upgrade() else {
            return;
        };
        let now = Instant::now();
        let repeat = now >= next_repeat;
        if repeat {
            next_repeat = now + REPEAT_SUSPICIONS;
        }
        membership.check_silence(now - last_check, repeat);
        last_check = now;
        if now >= next_heartbeat {
            // the schedule is kept, unless the thread fell behind
            next_heartbeat = (next_heartbeat + membership.heartbeat).max(now);
            membership.send_heartbeats();
        }
    }
}
