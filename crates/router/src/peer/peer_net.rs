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

const INITIAL_DIAL_PAUSE: Duration = Duration::from_millis(20);
const MAX_DIAL_PAUSE: Duration = Duration::from_millis(500);
// A link that lasted this long, counted from the dial, resets the backoff: a longer
// pause helps only against links that fail right away.
const MIN_STABLE_LINK_TIME: Duration = Duration::from_secs(1);
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
// Bounds the memory that processes without the shared secret can make this host use.
const MAX_UNAUTHENTICATED_LINKS: usize = 256;
const MAX_SEEDS: usize = 64;

/// Links to the other routers. All links of a process run on one thread, named
/// `peer`, which ends on `stop`.
///
/// One-way messages and calls are sent on a link that this host dialled; a reply
/// is sent on the link of its call. Two hosts that send messages to each other
/// thus have two links, and simultaneous dials need no tie-break.
#[derive(Clone)]
pub(crate) struct PeerNet {
    shared: Arc<Shared>,
}

struct Shared {
    credentials: Arc<Credentials>,
    metrics: PeerMetrics,
    local_address: SocketAddr,
    dial_targets: RwLock<HashMap<HostId, Arc<DialTarget>>>,
    command_sender: mpsc::UnboundedSender<Command>,
    /// Present until `start` or `stop` is called.
    start_inputs: Mutex<Option<StartInputs>>,
    thread: Mutex<Option<JoinHandle<()>>>,
    seed_count: AtomicUsize,
    stopped: AtomicBool,
    stop_signal: Notify,
}

/// Channel to the peer thread, and what `start` passes to it.
struct StartInputs {
    task_sender: Sender<Task>,
    listener: TcpListener,
    command_receiver: mpsc::UnboundedReceiver<Command>,
}

/// The function that the peer thread runs on its runtime.
type Task = Box<dyn FnOnce(Runtime) + Send>;

/// Another host with its address and the outbox of the link that is dialled to it.
struct DialTarget {
    host: HostId,
    address: Mutex<SocketAddr>,
    outbox: Arc<Outbox>,
    /// Notified when the address changes or the host is removed.
    changed: Notify,
    removed: AtomicBool,
}

/// Request to the peer thread.
enum Command {
    /// Dial a host whenever messages for it are queued.
    Dial(Arc<DialTarget>),
    /// Find out which host listens at an address from the settings.
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
        let listener = TcpListener::bind(address)
            .with_context(|| format!("cannot listen at peer_address {address}"))?;
        listener.set_nonblocking(true).context("cannot make the peer listener non-blocking")?;
        let local_address =
            listener.local_addr().context("cannot read the address of the peer listener")?;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context("cannot create the runtime of the peer thread")?;
        let (task_sender, task_receiver) = bounded::<Task>(1);
        let thread = thread::Builder::new()
            .name("peer".to_owned())
            .spawn(move || run_task(runtime, &task_receiver))
            .context("cannot start the peer thread")?;
        let (command_sender, command_receiver) = mpsc::unbounded_channel();
        let shared = Shared {
            credentials: Arc::new(Credentials {
                host_id: settings.host_id.clone(),
                identity: identity.to_owned(),
                zone: settings.zone.clone(),
                secret: settings.peer_secret.clone(),
            }),
            metrics: PeerMetrics::register(metrics),
            local_address,
            dial_targets: RwLock::new(HashMap::new()),
            command_sender,
            start_inputs: Mutex::new(Some(StartInputs { task_sender, listener, command_receiver })),
            thread: Mutex::new(Some(thread)),
            seed_count: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
            stop_signal: Notify::new(),
        };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Serves connections and delivers messages to the handler. A second call
    /// has no effect.
    pub(crate) fn start<H: PeerHandler>(&self, handler: Arc<H>) {
        let Some(StartInputs { task_sender, listener, command_receiver }) =
            self.shared.start_inputs.lock().take()
        else {
            return;
        };
        let context = Arc::new(LinkContext {
            credentials: self.shared.credentials.clone(),
            metrics: self.shared.metrics.clone(),
            handler,
            unauthenticated_links: AtomicUsize::new(0),
        });
        let net = self.clone();
        let task: Task = Box::new(move |runtime| {
            runtime.block_on(net.serve(context, listener, command_receiver));
        });
        // fails only if `stop` has already ended the thread
        let _ = task_sender.send(task);
    }

    /// Address to which the listener is bound.
    pub(crate) fn local_address(&self) -> SocketAddr {
        self.shared.local_address
    }

    /// Sets the address at which a host is dialled. Ignores this host's own id.
    pub(crate) fn set_address(&self, host: &HostId, address: SocketAddr) {
        if *host == self.shared.credentials.host_id {
            return;
        }
        let mut targets = self.shared.dial_targets.write();
        // checked under the lock, so that `stop` closes every target
        if self.shared.stopped.load(Ordering::Acquire) {
            return;
        }
        if let Some(target) = targets.get(host) {
            let mut current = target.address.lock();
            if *current != address {
                *current = address;
                target.changed.notify_one();
            }
            return;
        }
        let target = Arc::new(DialTarget {
            host: host.clone(),
            address: Mutex::new(address),
            outbox: Outbox::new(self.shared.metrics.clone()),
            changed: Notify::new(),
            removed: AtomicBool::new(false),
        });
        targets.insert(host.clone(), target.clone());
        // fails only after `stop`
        let _ = self.shared.command_sender.send(Command::Dial(target));
    }

    /// Dials an address until a peer authenticates there, and registers the
    /// address for the host id of the peer unless the host is known already.
    /// Only the first `MAX_SEEDS` addresses are dialled.
    pub(crate) fn add_seed(&self, address: SocketAddr) {
        if address == self.shared.local_address
            || self.shared.seed_count.fetch_add(1, Ordering::Relaxed) >= MAX_SEEDS
        {
            return;
        }
        let _ = self.shared.command_sender.send(Command::Seed(address));
    }

    /// Closes the link to a host that has left and drops its address.
    pub(crate) fn remove_host(&self, host: &HostId) {
        let target = self.shared.dial_targets.write().remove(host);
        if let Some(target) = target {
            target.removed.store(true, Ordering::Release);
            target.outbox.close();
            target.changed.notify_one();
        }
    }

    /// Hosts whose address is known.
    pub(crate) fn known_hosts(&self) -> Vec<HostId> {
        self.shared.dial_targets.read().keys().cloned().collect()
    }

    /// Queues a one-way message and connects if needed. Returns whether the message
    /// was queued; a queued message is lost if the link fails.
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

    /// Sends a message and returns without waiting for the reply.
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

    /// Closes the listener and all links immediately and fails the calls in
    /// progress. Blocks until the sockets are closed, unless it is called on the
    /// peer thread.
    pub(crate) fn stop(&self) {
        let targets: Vec<_> = {
            let mut targets = self.shared.dial_targets.write();
            self.shared.stopped.store(true, Ordering::Release);
            targets.drain().map(|(_, target)| target).collect()
        };
        // closes the listener and ends the thread if `start` was never called
        drop(self.shared.start_inputs.lock().take());
        self.shared.stop_signal.notify_one();
        let thread = self.shared.thread.lock().take();
        if let Some(thread) = thread
            && thread.thread().id() != thread::current().id()
            && thread.join().is_err()
        {
            error!("event=peer_thread_panicked");
        }
        for target in targets {
            target.outbox.close();
        }
    }

    fn outbox(&self, host: &HostId) -> Option<Arc<Outbox>> {
        self.shared.dial_targets.read().get(host).map(|target| target.outbox.clone())
    }

    async fn serve<H: PeerHandler>(
        &self,
        context: Arc<LinkContext<H>>,
        listener: TcpListener,
        mut command_receiver: mpsc::UnboundedReceiver<Command>,
    ) {
        let listener = match tokio::net::TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                error!("event=peer_listener_failed error=\"{error}\"");
                return;
            }
        };
        tokio::spawn(accept_connections(context.clone(), listener));
        loop {
            let command = tokio::select! {
                () = self.shared.stop_signal.notified() => return,
                Some(command) = command_receiver.recv() => command,
            };
            match command {
                Command::Dial(target) => {
                    tokio::spawn(dial_on_demand(context.clone(), target));
                }
                Command::Seed(address) => {
                    tokio::spawn(self.clone().resolve_seed(context.clone(), address));
                }
            }
        }
    }

    async fn resolve_seed<H: PeerHandler>(self, context: Arc<LinkContext<H>>, address: SocketAddr) {
        let mut backoff = Backoff::new(INITIAL_DIAL_PAUSE, MAX_DIAL_PAUSE * 10);
        loop {
            match context.identify(address).await {
                Ok(peer) => {
                    info!("event=seed_found address={address} host={}", peer.host_id);
                    if !self.shared.dial_targets.read().contains_key(&peer.host_id) {
                        self.set_address(&peer.host_id, address);
                    }
                    return;
                }
                Err(_) => sleep(backoff.next_pause()).await,
            }
        }
    }
}

/// Waits for the task of `start` and runs it; returns if `stop` is called first.
fn run_task(runtime: Runtime, task_receiver: &Receiver<Task>) {
    if let Ok(task) = task_receiver.recv() {
        task(runtime);
    }
}

async fn accept_connections<H: PeerHandler>(
    context: Arc<LinkContext<H>>,
    listener: tokio::net::TcpListener,
) {
    loop {
        let (tcp, remote) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                // for example, no file descriptor is free; the listener stays usable
                warn!("event=peer_accept_failed error=\"{error}\"");
                sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        if context.unauthenticated_links.load(Ordering::Relaxed) >= MAX_UNAUTHENTICATED_LINKS {
            context.metrics.refused_connections.inc();
            continue;
        }
        let context = context.clone();
        tokio::spawn(async move { context.run_accepted_link(tcp, remote).await });
    }
}

/// Connects to a host whenever messages for it are queued, until it is removed.
async fn dial_on_demand<H: PeerHandler>(context: Arc<LinkContext<H>>, target: Arc<DialTarget>) {
    let mut backoff = Backoff::new(INITIAL_DIAL_PAUSE, MAX_DIAL_PAUSE);
    while !target.removed.load(Ordering::Acquire) {
        tokio::select! {
            () = target.outbox.wait() => {}
            () = target.changed.notified() => continue,
        }
        if target.outbox.is_empty() {
            continue;
        }
        let started = Instant::now();
        let address = *target.address.lock();
        let run = context.run_dialled_link(address, &target.host, &target.outbox);
        let ended = tokio::select! {
            ended = run => Some(ended),
            () = target.changed.notified() => None,
        };
        target.outbox.close();
        let host = &target.host;
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
        if started.elapsed() >= MIN_STABLE_LINK_TIME {
            backoff.reset();
        }
        if !cancelled {
            tokio::select! {
                () = sleep(backoff.next_pause()) => {}
                () = target.changed.notified() => backoff.reset(),
            }
        }
        if !target.removed.load(Ordering::Acquire) {
            target.outbox.open();
        }
    }
}
