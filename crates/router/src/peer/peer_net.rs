use {
    super::{
        call_error::CallError, handshake::Credentials, link::LinkContext, outbox::Outbox,
        peer_handler::PeerHandler, peer_metrics::PeerMetrics, pending_call::PendingCall,
    },
    crate::{metrics::Metrics, platform::Backoff},
    anyhow::Context,
    crossbeam::channel::{Receiver, Sender, bounded},
    log::{error, info, warn},
    mango_wire::{HostId, peer::PeerMessage, settings::Settings},
    parking_lot::{Mutex, RwLock},
    std::{
        collections::HashMap,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    tokio::{
        runtime::{Builder, Runtime},
        sync::{Notify, mpsc},
        time::sleep,
    },
};

const FIRST_PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_millis(500);
// A link that lasted this long did not fail for a reason that a pause helps with.
const STABLE: Duration = Duration::from_secs(1);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
// Bounds the memory that processes without the secret can take up.
const MAX_UNAUTHENTICATED: usize = 256;
const MAX_SEEDS: usize = 64;

/// Links to the other routers. All links of a process run on one thread, which
/// ends on `stop`.
///
/// Messages and calls go out on a link that this host dialled; replies go back
/// on the link that the call came on. Two hosts that talk to each other in both
/// directions thus have two links, and crossing dials need no arbitration.
#[derive(Clone)]
pub(crate) struct PeerNet {
    shared: Arc<Shared>,
}

struct Shared {
    credentials: Arc<Credentials>,
    metrics: PeerMetrics,
    local_address: SocketAddr,
    dialled: RwLock<HashMap<HostId, Arc<Dialled>>>,
    commands: mpsc::UnboundedSender<Command>,
    /// Taken by `start`.
    not_started: Mutex<Option<NotStarted>>,
    thread: Mutex<Option<JoinHandle<()>>>,
    seeds: AtomicUsize,
    stopped: AtomicBool,
    stop: Notify,
}

struct NotStarted {
    task: Sender<Task>,
    listener: TcpListener,
    commands: mpsc::UnboundedReceiver<Command>,
}

/// Work of the network thread.
type Task = Box<dyn FnOnce(Runtime) + Send>;

/// A host that this one can dial.
struct Dialled {
    host: HostId,
    address: Mutex<SocketAddr>,
    outbox: Arc<Outbox>,
    /// Signals a new address, or that the host is forgotten.
    changed: Notify,
    forgotten: AtomicBool,
}

enum Command {
    Dial(Arc<Dialled>),
    Seed(SocketAddr),
}

impl PeerNet {
    /// Listens at the settings' peer address. Connections are served after `start`.
    pub(crate) fn bind(
        settings: &Settings,
        identity: &str,
        metrics: &Metrics,
    ) -> anyhow::Result<Self> {
        let address = &settings.peer_address;
        let listener =
            TcpListener::bind(address).with_context(|| format!("peer_address {address}"))?;
        listener.set_nonblocking(true).context("peer listener")?;
        let local_address = listener.local_addr().context("peer listener")?;
        let runtime = Builder::new_current_thread().enable_all().build().context("peer runtime")?;
        let (task_sender, task) = bounded::<Task>(1);
        let thread = thread::Builder::new()
            .name("peer".to_owned())
            .spawn(move || run_task(runtime, &task))
            .context("peer thread")?;
        let (commands, received_commands) = mpsc::unbounded_channel();
        let shared = Shared {
            credentials: Arc::new(Credentials {
                host_id: settings.host_id.clone(),
                identity: identity.to_owned(),
                zone: settings.zone.clone(),
                secret: settings.peer_secret.clone(),
            }),
            metrics: PeerMetrics::register(metrics),
            local_address,
            dialled: RwLock::new(HashMap::new()),
            commands,
            not_started: Mutex::new(Some(NotStarted {
                task: task_sender,
                listener,
                commands: received_commands,
            })),
            thread: Mutex::new(Some(thread)),
            seeds: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
            stop: Notify::new(),
        };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Serves connections and delivers messages to the handler. A second call
    /// has no effect.
    pub(crate) fn start<H: PeerHandler>(&self, handler: Arc<H>) {
        let Some(NotStarted { task, listener, commands }) = self.shared.not_started.lock().take()
        else {
            return;
        };
        let context = Arc::new(LinkContext {
            credentials: self.shared.credentials.clone(),
            metrics: self.shared.metrics.clone(),
            handler,
            unauthenticated: AtomicUsize::new(0),
        });
        let net = self.clone();
        let run: Task = Box::new(move |runtime| {
            runtime.block_on(net.serve(context, listener, commands));
        });
        // the thread has ended when `stop` came first
        let _ = task.send(run);
    }

    /// Address that the listener is bound to.
    pub(crate) fn local_address(&self) -> SocketAddr {
        self.shared.local_address
    }

    /// Sets the address that a host is dialled at. The own host is ignored.
    pub(crate) fn set_address(&self, host: &HostId, address: SocketAddr) {
        if *host == self.shared.credentials.host_id {
            return;
        }
        let mut dialled = self.shared.dialled.write();
        // under the lock, so that `stop` sees every entry
        if self.shared.stopped.load(Ordering::Acquire) {
            return;
        }
        if let Some(known) = dialled.get(host) {
            let mut current = known.address.lock();
            if *current != address {
                *current = address;
                known.changed.notify_one();
            }
            return;
        }
        let entry = Arc::new(Dialled {
            host: host.clone(),
            address: Mutex::new(address),
            outbox: Outbox::new(self.shared.metrics.clone()),
            changed: Notify::new(),
            forgotten: AtomicBool::new(false),
        });
        dialled.insert(host.clone(), entry.clone());
        // fails only after `stop`
        let _ = self.shared.commands.send(Command::Dial(entry));
    }

    /// Dials an address until a peer answers there, and sets the address of the
    /// host that it names. At most 64 addresses are taken.
    pub(crate) fn add_seed(&self, address: SocketAddr) {
        if address == self.shared.local_address
            || self.shared.seeds.fetch_add(1, Ordering::Relaxed) >= MAX_SEEDS
        {
            return;
        }
        let _ = self.shared.commands.send(Command::Seed(address));
    }

    /// Closes the link to a host that has left and drops its address.
    pub(crate) fn remove_host(&self, host: &HostId) {
        let removed = self.shared.dialled.write().remove(host);
        if let Some(entry) = removed {
            entry.forgotten.store(true, Ordering::Release);
            entry.outbox.close();
            entry.changed.notify_one();
        }
    }

    /// Hosts whose address is known.
    pub(crate) fn known_hosts(&self) -> Vec<HostId> {
        self.shared.dialled.read().keys().cloned().collect()
    }

    /// Queues a one-way message and connects when needed. Returns whether it was
    /// queued; a queued message is lost when the link fails.
    pub(crate) fn send(&self, host: &HostId, message: PeerMessage) -> bool {
        match self.outbox(host) {
            Some(outbox) => outbox.push(0, false, message).is_ok(),
            None => {
                self.shared.metrics.dropped_messages.inc();
                false
            }
        }
    }

    /// Sends a message and waits for the reply until the deadline.
    pub(crate) fn call(
        &self,
        host: &HostId,
        message: PeerMessage,
        deadline: Instant,
    ) -> Result<PeerMessage, CallError> {
        self.start_call(host, message).wait(deadline)
    }

    /// Sends a message whose reply is waited for later.
    pub(crate) fn start_call(&self, host: &HostId, message: PeerMessage) -> PendingCall {
        let Some(outbox) = self.outbox(host) else {
            return PendingCall::failed(CallError::Unreachable);
        };
        let (sender, reply) = bounded(1);
        match outbox.push_call(message, sender) {
            Ok(call) => PendingCall::waiting(outbox, call, reply),
            Err(error) => PendingCall::failed(error),
        }
    }

    /// Closes the listener and all links at once and fails the calls in
    /// progress. Returns when the sockets are closed, unless it is called on the
    /// network thread.
    pub(crate) fn stop(&self) {
        let entries: Vec<_> = {
            let mut dialled = self.shared.dialled.write();
            self.shared.stopped.store(true, Ordering::Release);
            dialled.drain().map(|(_, entry)| entry).collect()
        };
        // a net that was never started has only a listener
        drop(self.shared.not_started.lock().take());
        self.shared.stop.notify_one();
        let thread = self.shared.thread.lock().take();
        if let Some(thread) = thread
            && thread.thread().id() != thread::current().id()
            && thread.join().is_err()
        {
            error!("event=peer_thread_panicked");
        }
        for entry in entries {
            entry.outbox.close();
        }
    }

    fn outbox(&self, host: &HostId) -> Option<Arc<Outbox>> {
        self.shared.dialled.read().get(host).map(|entry| entry.outbox.clone())
    }

    async fn serve<H: PeerHandler>(
        &self,
        context: Arc<LinkContext<H>>,
        listener: TcpListener,
        mut commands: mpsc::UnboundedReceiver<Command>,
    ) {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                error!("event=peer_listener_failed error=\"{error}\"");
                return;
            }
        };
        tokio::spawn(accept(context.clone(), listener));
        loop {
            let command = tokio::select! {
                () = self.shared.stop.notified() => return,
                Some(command) = commands.recv() => command,
            };
            match command {
                Command::Dial(entry) => {
                    tokio::spawn(dial_on_demand(context.clone(), entry));
                }
                Command::Seed(address) => {
                    tokio::spawn(self.clone().find_seed(context.clone(), address));
                }
            }
        }
    }

    async fn find_seed<H: PeerHandler>(self, context: Arc<LinkContext<H>>, address: SocketAddr) {
        let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE * 10);
        loop {
            match context.identify(address).await {
                Ok(peer) => {
                    info!("event=seed_found address={address} host={}", peer.host_id);
                    if !self.shared.dialled.read().contains_key(&peer.host_id) {
                        self.set_address(&peer.host_id, address);
                    }
                    return;
                }
                Err(_) => sleep(backoff.next_pause()).await,
            }
        }
    }
}

fn run_task(runtime: Runtime, task: &Receiver<Task>) {
    if let Ok(run) = task.recv() {
        run(runtime);
    }
}

async fn accept<H: PeerHandler>(context: Arc<LinkContext<H>>, listener: tokio::net::TcpListener) {
    loop {
        let (tcp, remote) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                // for example out of file descriptors; the listener stays usable
                warn!("event=peer_accept_failed error=\"{error}\"");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if context.unauthenticated.load(Ordering::Relaxed) >= MAX_UNAUTHENTICATED {
            context.metrics.refused_connections.inc();
            continue;
        }
        let context = context.clone();
        tokio::spawn(async move { context.run_accepted(tcp, remote).await });
    }
}

/// Connects to a host when there are messages for it, until it is forgotten.
async fn dial_on_demand<H: PeerHandler>(context: Arc<LinkContext<H>>, entry: Arc<Dialled>) {
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    while !entry.forgotten.load(Ordering::Acquire) {
        tokio::select! {
            () = entry.outbox.wait() => {}
            () = entry.changed.notified() => continue,
        }
        if entry.outbox.is_empty() {
            continue;
        }
        let started = Instant::now();
        let address = *entry.address.lock();
        let run = context.run_dialled(address, &entry.host, &entry.outbox);
        let ended = tokio::select! {
            ended = run => Some(ended),
            () = entry.changed.notified() => None,
        };
        entry.outbox.close();
        let host = &entry.host;
        let cancelled = ended.is_none();
        match ended {
            Some((true, error)) => {
                context.metrics.count_closed(error.kind());
                info!("event=peer_link_closed host={host} dialled=true reason=\"{error}\"");
                context.handler.link_down(host);
            }
            Some((false, error)) => {
                context.metrics.failed_dials.inc();
                info!("event=peer_dial_failed host={host} address={address} reason=\"{error}\"");
            }
            None => context.handler.link_down(host),
        }
        if started.elapsed() >= STABLE {
            backoff.reset();
        }
        if !cancelled {
            tokio::select! {
                () = sleep(backoff.next_pause()) => {}
                () = entry.changed.notified() => backoff.reset(),
            }
        }
        if !entry.forgotten.load(Ordering::Acquire) {
            entry.outbox.open();
        }
    }
}
