use {
    mango_http::{Handler, HttpServer, ServerLimits},
    parking_lot::Mutex,
    socket2::{Domain, Socket, Type},
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

// A bench holds thousands of streams on one engine's queue.
const MAX_CONNECTIONS: usize = 16 * 1024;
// An idle connection that the server closes looks like a failure to a pool.
const IDLE_WAIT: Duration = Duration::from_secs(120);
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
// A crashed listener closes on a thread of its own.
const REBIND_WAIT: Duration = Duration::from_secs(2);
const REBIND_PAUSE: Duration = Duration::from_millis(2);

/// HTTP server of an endpoint that can crash and restart on its address.
pub(crate) struct EndpointServer {
    address: SocketAddr,
    // Bound but never listening: keeps the system from giving the port to
    // another socket between a crash and a restart.
    _reserved: Socket,
    server: Mutex<Option<HttpServer>>,
}

impl EndpointServer {
    pub(crate) fn reserve() -> io::Result<Self> {
        let reserved = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        reserved.set_reuse_address(true)?;
        reserved.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let address = reserved.local_addr()?.as_socket().expect("IPv4 socket");
        Ok(Self { address, _reserved: reserved, server: Mutex::new(None) })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on the address.
    pub(crate) fn start<H: Handler>(&self, handler: &Arc<H>) -> io::Result<()> {
        let limits = ServerLimits {
            max_connections: MAX_CONNECTIONS,
            max_body_bytes: MAX_BODY_BYTES,
            read_timeout: IDLE_WAIT,
            ..ServerLimits::default()
        };
        let deadline = Instant::now() + REBIND_WAIT;
        loop {
            match HttpServer::bind(self.address, limits, handler.clone()) {
                Ok(server) => {
                    *self.server.lock() = Some(server);
                    return Ok(());
                }
                Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                    thread::sleep(REBIND_PAUSE);
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Cuts all connections and closes the listener.
    pub(crate) fn crash(&self) {
        if let Some(server) = self.server.lock().take() {
            server.abort();
        }
    }
}
