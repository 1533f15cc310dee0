use {
    crate::{
        body::{BodyError, ChunkSource, Response, ResponseBody, read_body},
        caller_connection::CallerConnection,
    },
    bytes::Bytes,
    hyper::{body::Incoming, http, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    parking_lot::{Condvar, Mutex},
    std::{
        collections::HashMap,
        convert::Infallible,
        io,
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Request with its complete body, or the error of reading the body.
pub type Request = http::Request<Result<Bytes, BodyError>>;

/// Request handler. Called on the thread of the connection and may block.
pub trait Handler: Send + Sync + 'static {
    /// Source of streamed response bodies.
    type Source: ChunkSource + Unpin + 'static;

    /// Returns the response to a request; `caller` shows whether the client is
    /// still connected.
    fn handle(&self, request: Request, caller: &CallerConnection) -> Response<Self::Source>;

    /// Raw HTTP response to a connection above `max_connections`. The server
    /// sends it without reading a request and then closes the connection.
    fn refuse_connection(&self) -> String {
        "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
            .to_owned()
    }
}

/// Resource limits and timeouts of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    pub max_connections: usize,
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    /// Timeout for reading the headers of a request, and again for its body. The wait
    /// for the headers includes the time that a connection is idle before a request.
    pub read_timeout: Duration,
    /// Longest time that sent data may stay unacknowledged by the client.
    pub write_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 1024,
            max_header_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            read_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;
/// Time for a connection to read a request that arrived before the drain started.
const DRAIN_READ_TIMEOUT: Duration = Duration::from_millis(5);
/// Delay after a failed accept, for example when file descriptors run out, and
/// the write timeout for the response to a refused connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

struct Connections {
    open: Mutex<OpenConnections>,
    /// Notified when the accept loop ends and when the last connection closes.
    all_closed: Condvar,
    /// Whether the server is stopping, by `drain` or by `abort`.
    draining: AtomicBool,
}

struct OpenConnections {
    /// Socket of each connection and the signal to close it after the current request.
    by_id: HashMap<u64, (TcpStream, Arc<tokio::sync::Notify>)>,
    /// Whether the accept loop may still add connections.
    is_accepting: bool,
}

impl OpenConnections {
    fn are_all_closed(&self) -> bool {
        self.by_id.is_empty() && !self.is_accepting
    }
}

/// A running HTTP server. Dropping it aborts all connections.
pub struct HttpServer {
    address: SocketAddr,
    connections: Arc<Connections>,
}

impl HttpServer {
    /// Listens on `address` and serves on background threads.
    pub fn bind<H: Handler>(
        address: SocketAddr,
        limits: ServerLimits,
        handler: Arc<H>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let connections = Arc::new(Connections {
            open: Mutex::new(OpenConnections { by_id: HashMap::new(), is_accepting: true }),
            all_closed: Condvar::new(),
            draining: AtomicBool::new(false),
        });
        let accept_connections = connections.clone();
        thread::Builder::new().name("http-accept".to_owned()).spawn(move || {
            accept_loop(&listener, limits, &handler, &accept_connections);
            // closing the listener resets the connections that it has not accepted
            drop(listener);
            mark_accepting_ended(&accept_connections);
        })?;
        Ok(Self { address, connections })
    }

    /// Listening address, with the port that the system assigned if 0 was given.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.open.lock().by_id.len()
    }

    /// Stops accepting connections, completes requests in progress and closes idle
    /// connections. Returns whether all connections were closed by the deadline.
    pub fn drain(&self, deadline: Instant) -> bool {
        self.stop_accepting();
        let mut open = self.connections.open.lock();
        for (_, shutdown_signal) in open.by_id.values() {
            shutdown_signal.notify_one();
        }
        while !open.are_all_closed() {
            if self.connections.all_closed.wait_until(&mut open, deadline).timed_out() {
                return open.are_all_closed();
            }
        }
        true
    }

    /// Stops accepting connections and closes the open ones at once, even in the
    /// middle of a response, as a crash would.
    pub fn abort(&self) {
        self.stop_accepting();
        for (stream, _) in self.connections.open.lock().by_id.values() {
            // shutdown fails only if the connection is already closed
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn stop_accepting(&self) {
        if !self.connections.draining.swap(true, Ordering::SeqCst) {
            // unblocks the accept loop, which then ends and closes the listener
            let _ = TcpStream::connect(self.address);
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.abort();
    }
}

fn accept_loop<H: Handler>(
    listener: &TcpListener,
    limits: ServerLimits,
    handler: &Arc<H>,
    connections: &Arc<Connections>,
) {
    let mut next_id = 0;
    for stream in listener.incoming() {
        let is_draining = connections.draining.load(Ordering::SeqCst);
        match stream {
            Ok(stream) => {
                next_id += 1;
                if let Err(e) = start_connection(next_id, stream, limits, handler, connections) {
                    log::warn!("event=connection_start_failed error={e:?}");
                }
            }
            // the accept queue of the listener is empty
            Err(e) if is_draining && e.kind() == io::ErrorKind::WouldBlock => return,
            Err(e) => {
                log::warn!("event=accept_failed error={e:?}");
                thread::sleep(ACCEPT_PAUSE);
            }
        }
        // from now on, only connections that are already in the accept queue are accepted
        if is_draining && let Err(e) = listener.set_nonblocking(true) {
            log::warn!("event=listener_failed error={e:?}");
            return;
        }
    }
}

fn mark_accepting_ended(connections: &Connections) {
    connections.open.lock().is_accepting = false;
    connections.all_closed.notify_all();
}

fn start_connection<H: Handler>(
    id: u64,
    stream: TcpStream,
    limits: ServerLimits,
    handler: &Arc<H>,
    connections: &Arc<Connections>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let shutdown_signal = Arc::new(tokio::sync::Notify::new());
    {
        let mut open = connections.open.lock();
        if open.by_id.len() >= limits.max_connections {
            drop(open);
            return send_refusal(stream, &handler.refuse_connection());
        }
        if connections.draining.load(Ordering::SeqCst) {
            // it was in the accept queue when the drain started: serve its request, then close it
            shutdown_signal.notify_one();
        }
        open.by_id.insert(id, (stream.try_clone()?, shutdown_signal.clone()));
    }
    let handler = handler.clone();
    let thread_connections = connections.clone();
    let spawned = thread::Builder::new().name("http-connection".to_owned()).spawn(move || {
        if let Err(e) =
            serve_connection(stream, limits, &*handler, &shutdown_signal, &thread_connections)
        {
            log::debug!("event=connection_failed error={e:?}");
        }
        remove_connection(id, &thread_connections);
    });
    if spawned.is_err() {
        remove_connection(id, connections);
    }
    spawned.map(|_| ())
}

fn remove_connection(id: u64, connections: &Connections) {
    let mut open = connections.open.lock();
    open.by_id.remove(&id);
    if open.are_all_closed() {
        connections.all_closed.notify_all();
    }
}

fn send_refusal(mut stream: TcpStream, response: &str) -> io::Result<()> {
    use io::Write;
    stream.set_write_timeout(Some(ACCEPT_PAUSE))?;
    stream.write_all(response.as_bytes())?;
    stream.shutdown(Shutdown::Write)
}

fn serve_connection<H: Handler>(
    stream: TcpStream,
    limits: ServerLimits,
    handler: &H,
    shutdown_signal: &tokio::sync::Notify,
    connections: &Connections,
) -> io::Result<()> {
    let peer = stream.peer_addr()?;
    let caller = CallerConnection::new(stream.try_clone()?, peer);
    stream.set_nonblocking(true)?;
    set_write_timeout(&stream, limits.write_timeout)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let io = TokioIo::new(tokio::net::TcpStream::from_std(stream)?);
        let service = service_fn(|request: http::Request<Incoming>| {
            let caller = &caller;
            async move {
                let (parts, body) = request.into_parts();
                let body = read_body(body, limits.max_body_bytes, limits.read_timeout).await;
                let body_failed = body.is_err();
                let mut response = handler.handle(http::Request::from_parts(parts, body), caller);
                if body_failed || connections.draining.load(Ordering::SeqCst) {
                    let close = http::HeaderValue::from_static("close");
                    response.headers_mut().insert(http::header::CONNECTION, close);
                }
                Ok::<http::Response<ResponseBody<H::Source>>, Infallible>(response)
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(limits.read_timeout)
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
        let mut connection = std::pin::pin!(builder.serve_connection(io, service));
        tokio::select! {
            result = connection.as_mut() => result.map_err(io::Error::other),
            () = shutdown_signal.notified() => {
                // a graceful shutdown closes a connection on which no request was read,
                // so a request that has already arrived is read first
                if let Ok(result) = timeout(DRAIN_READ_TIMEOUT, connection.as_mut()).await {
                    return result.map_err(io::Error::other);
                }
                connection.as_mut().graceful_shutdown();
                connection.await.map_err(io::Error::other)
            }
        }
    })
}

/// Makes the kernel close a connection whose sent data stays unacknowledged for
/// longer than `timeout`.
fn set_write_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timeout))
}
