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

// Benchmarks keep thousands of streams open in one engine's queue.
const MAX_CONNECTIONS: usize = 16 * 1024;
// Used as the read timeout, which also closes idle connections. Long, because such a
// close looks like a failure to the connection pool of a client.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
// After a crash, the address stays in use until a background thread has closed
// the listener.
const REBIND_TIMEOUT: Duration = Duration::from_secs(2);
const REBIND_RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// HTTP server of an endpoint that can crash and restart on its address.
pub(crate) struct EndpointServer {
    address: SocketAddr,
    // bound but never listening, so that the system does not assign the port to
    // another socket between a crash and a restart
    _reserved: Socket,
    server: Mutex<Option<HttpServer>>,
}

impl EndpointServer {
    /// Reserves a loopback port without listening on it.
    pub(crate) fn reserve() -> io::Result<Self> {
        let reserved = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        reserved.set_reuse_address(true)?;
        reserved.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let address = reserved.local_addr()?.as_socket().expect("an IPv4 socket has an IP address");
        Ok(Self { address, _reserved: reserved, server: Mutex::new(None) })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to listen on the reserved address.
    pub(crate) fn start<H: Handler>(&self, handler: &Arc<H>) -> io::Result<()> {
        let limits = ServerLimits {
            max_connections: MAX_CONNECTIONS,
            max_body_bytes: MAX_BODY_BYTES,
            read_timeout: IDLE_TIMEOUT,
            ..ServerLimits::default()
        };
        let deadline = Instant::now() + REBIND_TIMEOUT;
        loop {
            match HttpServer::bind(self.address, limits, handler.clone()) {
                Ok(server) => {
                    *self.server.lock() = Some(server);
                    return Ok(());
                }
                Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < deadline => {
                    thread::sleep(REBIND_RETRY_INTERVAL);
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Closes all connections and the listener at once.
    pub(crate) fn crash(&self) {
        if let Some(server) = self.server.lock().take() {
            server.abort();
        }
    }
}
