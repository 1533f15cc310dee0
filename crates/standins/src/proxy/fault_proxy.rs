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
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

struct Shared {
    target: SocketAddr,
    faults: Arc<ProxyFaults>,
    // sockets to callers and to the target, which are closed on demand
    open: Mutex<Vec<TcpStream>>,
    stopped: AtomicBool,
}

/// TCP proxy that can delay, hold back and close the connections through it.
/// Dropping it closes them and the listener.
pub struct FaultProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl FaultProxy {
    /// Starts a proxy to `target` on a port that the system assigns.
    pub fn spawn(target: SocketAddr) -> Self {
        let listener =
            TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("listen on a loopback port");
        let address = listener.local_addr().expect("bound listener has an address");
        let faults = Arc::new(ProxyFaults::new());
        let stopped = AtomicBool::new(false);
        let shared = Arc::new(Shared { target, faults, open: Mutex::default(), stopped });
        let accepting = shared.clone();
        let builder = thread::Builder::new().name("proxy-accept".to_owned());
        builder.spawn(move || accepting.accept(&listener)).expect("start the accept thread");
        Self { address, shared }
    }

    /// Listening address; callers connect to it instead of to the target.
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

    /// Forwards data in both directions again, starting with the data held back.
    pub fn resume(&self) {
        self.shared.faults.set_frozen(Direction::ToTarget, false);
        self.shared.faults.set_frozen(Direction::ToCaller, false);
    }

    /// Closes all connections and discards data in transit; new connections are
    /// still accepted.
    pub fn close_connections(&self) {
        self.shared.close_all(Shutdown::Both);
    }

    /// Resets all connections and discards data in transit; new connections are
    /// still accepted.
    pub fn reset_connections(&self) {
        for stream in self.shared.open.lock().iter() {
            // fails only if the socket is already closed
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
        self.shared.close_all(Shutdown::Read);
    }

    /// Lets the open connections go silent for good, without closing them; new ones work.
    pub fn silence_connections(&self) {
        self.shared.faults.silence_all();
    }

    /// Sets whether new connections are closed at once.
    pub fn set_refusing(&self, refusing: bool) {
        self.shared.faults.set_refusing(refusing);
    }

    /// Delays data that arrives from now on, in each direction; initially 0.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.faults.set_delay(delay);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // unblocks the accept loop, which then ends and closes the listener
        let _ = TcpStream::connect(self.address);
        self.shared.close_all(Shutdown::Both);
    }
}

impl Shared {
    fn close_all(&self, shutdown: Shutdown) {
        let mut open = self.open.lock();
        self.faults.close_all(shutdown);
        for stream in open.drain(..) {
            // fails only if the connection is already closed
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
        let target = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT)?;
        caller.set_nodelay(true)?;
        target.set_nodelay(true)?;
        // the lock ensures that `close_all` does not miss the new connection
        let mut open = self.open.lock();
        open.retain(|stream| stream.peer_addr().is_ok());
        let start = self.faults.link_start();
        ProxyLink::start(&caller, &target, &self.faults, start)?;
        open.push(caller);
        open.push(target);
        Ok(())
    }
}
