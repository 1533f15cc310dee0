use {
    crate::{
        body::{Answer, AnswerBody, BodyError, ChunkSource, read_body},
        caller_link::CallerLink,
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

/// Request with its whole body, or why the body could not be read.
pub type Request = http::Request<Result<Bytes, BodyError>>;

/// Answers requests. Called on the connection's own thread and may block.
pub trait Handler: Send + Sync + 'static {
    type Source: ChunkSource + Unpin + 'static;

    fn handle(&self, request: Request, link: &CallerLink) -> Answer<Self::Source>;

    /// Answer to a connection above the limit; the request is not read.
    fn refuse_connection(&self) -> String {
        "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
            .to_owned()
    }
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    pub max_connections: usize,
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    /// Longest wait for the headers of a request, and for its body.
    pub read_wait: Duration,
    /// Longest wait until the caller takes a part of the answer.
    pub write_wait: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 1024,
            max_header_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            read_wait: Duration::from_secs(10),
            write_wait: Duration::from_secs(30),
        }
    }
}

// hyper accepts no smaller read buffer
const MIN_BUFFER_BYTES: usize = 8192;
// time in which a connection sees bytes that arrived before a stop
const ARRIVED_WAIT: Duration = Duration::from_millis(5);
// pause after a failed accept, such as when file descriptors run out
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

struct Connections {
    open: Mutex<OpenConnections>,
    all_closed: Condvar,
    draining: AtomicBool,
}

struct OpenConnections {
    by_id: HashMap<u64, (TcpStream, Arc<tokio::sync::Notify>)>,
    /// The accept loop may still add connections.
    is_accepting: bool,
}

impl OpenConnections {
    fn is_over(&self) -> bool {
        self.by_id.is_empty() && !self.is_accepting
    }
}

/// A running server.
pub struct HttpServer {
    address: SocketAddr,
    connections: Arc<Connections>,
}

impl HttpServer {
    /// Binds to the address and serves on threads of its own.
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
        let accepting = connections.clone();
        thread::Builder::new().name("http-accept".to_owned()).spawn(move || {
            accept_loop(&listener, limits, &handler, &accepting);
            // connections that are not accepted by now are reset
            drop(listener);
            end_accepting(&accepting);
        })?;
        Ok(Self { address, connections })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.open.lock().by_id.len()
    }

    /// Stops accepting, lets requests in progress end, closes idle connections.
    /// Returns whether all connections were closed by the deadline.
    pub fn drain(&self, deadline: Instant) -> bool {
        self.stop_accepting();
        let mut open = self.connections.open.lock();
        for (_, graceful) in open.by_id.values() {
            graceful.notify_one();
        }
        while !open.is_over() {
            if self.connections.all_closed.wait_until(&mut open, deadline).timed_out() {
                return open.is_over();
            }
        }
        true
    }

    /// Stops accepting and cuts all connections off, as a crash would.
    pub fn abort(&self) {
        self.stop_accepting();
        for (stream, _) in self.connections.open.lock().by_id.values() {
            // an error means that the connection is closed already
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn stop_accepting(&self) {
        if !self.connections.draining.swap(true, Ordering::SeqCst) {
            // wakes the accept loop, which then ends and closes the listener
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
            // the queue of the listener is empty
            Err(e) if is_draining && e.kind() == io::ErrorKind::WouldBlock => return,
            Err(e) => {
                log::warn!("event=accept_failed error={e:?}");
                thread::sleep(ACCEPT_PAUSE);
            }
        }
        if is_draining && let Err(e) = listener.set_nonblocking(true) {
            log::warn!("event=listener_failed error={e:?}");
            return;
        }
    }
}

fn end_accepting(connections: &Connections) {
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
    let graceful = Arc::new(tokio::sync::Notify::new());
    {
        let mut open = connections.open.lock();
        if open.by_id.len() >= limits.max_connections {
            drop(open);
            return refuse(stream, &handler.refuse_connection());
        }
        if connections.draining.load(Ordering::SeqCst) {
            // it came before the stop and ends after the request that it brought
            graceful.notify_one();
        }
        open.by_id.insert(id, (stream.try_clone()?, graceful.clone()));
    }
    let handler = handler.clone();
    let owned = connections.clone();
    let spawned = thread::Builder::new().name("http-connection".to_owned()).spawn(move || {
        if let Err(e) = serve_connection(stream, limits, &*handler, &graceful, &owned) {
            log::debug!("event=connection_failed error={e:?}");
        }
        close(id, &owned);
    });
    if spawned.is_err() {
        close(id, connections);
    }
    spawned.map(|_| ())
}

fn close(id: u64, connections: &Connections) {
    let mut open = connections.open.lock();
    open.by_id.remove(&id);
    if open.is_over() {
        connections.all_closed.notify_all();
    }
}

fn refuse(mut stream: TcpStream, answer: &str) -> io::Result<()> {
    use io::Write;
    stream.set_write_timeout(Some(ACCEPT_PAUSE))?;
    stream.write_all(answer.as_bytes())?;
    stream.shutdown(Shutdown::Write)
}

fn serve_connection<H: Handler>(
    stream: TcpStream,
    limits: ServerLimits,
    handler: &H,
    graceful: &tokio::sync::Notify,
    connections: &Connections,
) -> io::Result<()> {
    let peer = stream.peer_addr()?;
    let link = CallerLink::new(stream.try_clone()?, peer);
    stream.set_nonblocking(true)?;
    set_write_wait(&stream, limits.write_wait)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let io = TokioIo::new(tokio::net::TcpStream::from_std(stream)?);
        let service = service_fn(|request: http::Request<Incoming>| {
            let link = &link;
            async move {
                let (parts, body) = request.into_parts();
                let body = read_body(body, limits.max_body_bytes, limits.read_wait).await;
                let broken = body.is_err();
                let mut answer = handler.handle(http::Request::from_parts(parts, body), link);
                if broken || connections.draining.load(Ordering::SeqCst) {
                    let close = http::HeaderValue::from_static("close");
                    answer.headers_mut().insert(http::header::CONNECTION, close);
                }
                Ok::<http::Response<AnswerBody<H::Source>>, Infallible>(answer)
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(limits.read_wait)
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
        let mut connection = std::pin::pin!(builder.serve_connection(io, service));
        tokio::select! {
            result = connection.as_mut() => result.map_err(io::Error::other),
            () = graceful.notified() => {
                // a request that has arrived is read first: a connection without one is closed
                if let Ok(result) = timeout(ARRIVED_WAIT, connection.as_mut()).await {
                    return result.map_err(io::Error::other);
                }
                connection.as_mut().graceful_shutdown();
                connection.await.map_err(io::Error::other)
            }
        }
    })
}

/// Lets the kernel break connections whose data stays unacknowledged.
fn set_write_wait(stream: &TcpStream, wait: Duration) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(wait))
}
