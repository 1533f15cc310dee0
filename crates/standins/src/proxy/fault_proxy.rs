use {
    crate::proxy::{Direction, ProxyFaults, ProxyLink},
    parking_lot::Mutex,
    socket2::SockRef,
    std::{
        io,
        net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

// A target on loopback accepts or refuses at once, unless its backlog is full.
const CONNECT_WAIT: Duration = Duration::from_secs(1);

struct Shared {
    target: SocketAddr,
    faults: Arc<ProxyFaults>,
    // callers' and targets' sockets, to close them on a cut
    open: Mutex<Vec<TcpStream>>,
    stopped: AtomicBool,
}

/// TCP proxy that can freeze, delay and cut the connections through it.
/// Dropping it cuts them and closes the listener.
pub struct FaultProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl FaultProxy {
    /// Starts a proxy to a target on a port chosen by the system.
    pub fn spawn(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback port");
        let address = listener.local_addr().expect("bound listener has an address");
        let faults = Arc::new(ProxyFaults::new());
        let stopped = AtomicBool::new(false);
        let shared = Arc::new(Shared { target, faults, open: Mutex::default(), stopped });
        let accepting = shared.clone();
        let builder = thread::Builder::new().name("proxy-accept".to_owned());
        builder.spawn(move || accepting.accept(&listener)).expect("thread for the proxy");
        Self { address, shared }
    }

    /// Address to connect to instead of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds all data back in both directions; connections stay open and new
    /// ones are accepted.
    pub fn freeze(&self) {
        self.freeze_direction(Direction::ToTarget);
        self.freeze_direction(Direction::ToCaller);
    }

    /// Holds all data back in one direction.
    pub fn freeze_direction(&self, direction: Direction) {
        self.shared.faults.set_frozen(direction, true);
    }

    /// Lets data pass again in both directions, that held back first.
    pub fn resume(&self) {
        self.shared.faults.set_frozen(Direction::ToTarget, false);
        self.shared.faults.set_frozen(Direction::ToCaller, false);
    }

    /// Closes all connections and drops data in transit; new connections are
    /// accepted.
    pub fn close_connections(&self) {
        self.shared.cut(Shutdown::Both);
    }

    /// Resets all connections and drops data in transit; new connections are
    /// accepted.
    pub fn reset_connections(&self) {
        for stream in self.shared.open.lock().iter() {
            // a socket that is closed already needs no reset
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
        self.shared.cut(Shutdown::Read);
    }

    /// Closes new connections at once, or accepts them again.
    pub fn set_refusing(&self, refusing: bool) {
        self.shared.faults.set_refusing(refusing);
    }

    /// Delays data in each direction by this time from now on; initially 0.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.faults.set_delay(delay);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // wakes the accept loop, which then ends and closes the listener
        let _ = TcpStream::connect(self.address);
        self.shared.cut(Shutdown::Both);
    }
}

impl Shared {
    fn cut(&self, shutdown: Shutdown) {
        let mut open = self.open.lock();
        self.faults.cut(shutdown);
        for stream in open.drain(..) {
            // an error means that the connection is closed already
            let _ = stream.shutdown(shutdown);
        }
    }

    fn accept(&self, listener: &TcpListener) {
        for caller in listener.incoming() {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let connected = caller.and_then(|caller| self.connect(caller));
            if let Err(e) = connected {
                log::debug!("event=proxy_connect_failed error={e:?}");
            }
        }
    }

    fn connect(&self, caller: TcpStream) -> io::Result<()> {
        if self.faults.is_refusing() {
            return Ok(());
        }
        let target = TcpStream::connect_timeout(&self.target, CONNECT_WAIT)?;
        caller.set_nodelay(true)?;
        target.set_nodelay(true)?;
        // the lock keeps a cut from missing the new connection
        let mut open = self.open.lock();
        open.retain(|stream| stream.peer_addr().is_ok());
        let cuts = self.faults.cuts();
        ProxyLink::start(&caller, &target, &self.faults, cuts)?;
        open.push(caller);
        open.push(target);
        Ok(())
    }
}
