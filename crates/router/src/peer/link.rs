use {
    super::{
        byte_counting_stream::ByteCountingStream,
        frame_stream::{FrameReader, FrameWriter},
        handshake::{Credentials, Peer},
        link_error::LinkError,
        outbox::Outbox,
        peer_handler::PeerHandler,
        peer_metrics::PeerMetrics,
        replier::Replier,
    },
    bytes::Bytes,
    h2::{SendStream, client, server},
    http::{Request, Response},
    log::{info, warn},
    mango_wire::HostId,
    prometheus_client::metrics::gauge::Gauge,
    socket2::{SockRef, TcpKeepalive},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpStream, time::timeout},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2000);
// Detects a host that is gone without having closed its connections: data that
// stays unacknowledged for this long breaks the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
// Time to handle the messages that are buffered when a connection ends. Handling
// them needs no more data; the timeout ends only a session that waits to send.
const BUFFERED_MESSAGES_TIMEOUT: Duration = Duration::from_millis(100);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
// HTTP/2 flow-control window: four messages of the largest size. Bounds the data
// that a peer can make this host buffer.
const WINDOW_BYTES: u32 = 256 * 1024;
const MAX_HEADER_LIST_BYTES: u32 = 4096;
// Queued messages are joined into one write until it reaches this size.
const WRITE_BATCH_BYTES: usize = 16 * 1024;

/// Credentials, metrics and message handler shared by all links of this host.
pub(crate) struct LinkContext<H> {
    pub(crate) credentials: Arc<Credentials>,
    pub(crate) metrics: PeerMetrics,
    pub(crate) handler: Arc<H>,
    /// Number of accepted links whose peer has not proved the shared secret yet.
    pub(crate) unauthenticated_links: AtomicUsize,
}

impl<H: PeerHandler> LinkContext<H> {
    /// Connects to an address, authenticates the peer there and closes the link.
    pub(crate) async fn identify(&self, address: SocketAddr) -> Result<Peer, LinkError> {
        let (sender, connection) = self.connect(address).await?;
        tokio::select! {
            result = connection => Err(connection_close_reason(result)),
            result = self.authenticate_dialled(sender, None) => result.map(|(_, _, peer)| peer),
        }
    }

    /// Connects to a host and sends the messages of its outbox until the link
    /// closes. Returns whether the link was authenticated, and why it closed.
    pub(crate) async fn run_dialled_link(
        &self,
        address: SocketAddr,
        host: &HostId,
        outbox: &Arc<Outbox>,
    ) -> (bool, LinkError) {
        let (sender, connection) = match self.connect(address).await {
            Ok(parts) => parts,
            Err(error) => return (false, error),
        };
        let mut authenticated = false;
        let session = async {
            let (reader, writer, peer) = self.authenticate_dialled(sender, Some(host)).await?;
            authenticated = true;
            let _link_guard = LinkGuard::new(&self.metrics.links);
            info!("event=peer_link_up host={host} identity={} dialled=true", peer.identity);
            tokio::select! {
                result = self.read_replies(reader, &peer, outbox) => result,
                result = self.write_queued(writer, outbox) => result,
            }
        };
        let drive_connection = async { connection_close_reason(connection.await) };
        let error = run_session(session, drive_connection).await;
        (authenticated, error)
    }

    /// Serves a connection that a peer opened, until it closes.
    pub(crate) async fn run_accepted_link(&self, tcp: TcpStream, remote: SocketAddr) {
        let result = self.serve_accepted_link(tcp).await;
        let (peer, error) = match result {
            Ok((peer, error)) => (Some(peer), error),
            Err(error) => (None, error),
        };
        self.metrics.count_closed(error.kind());
        match peer {
            Some(peer) => {
                info!(
                    "event=peer_link_closed host={} identity={} dialled=false reason=\"{error}\"",
                    peer.host_id, peer.identity
                );
                self.handler.link_down(&peer.host_id);
            }
            None => warn!("event=peer_connection_refused remote={remote} reason=\"{error}\""),
        }
    }

    /// Serves an accepted connection until it closes. Returns the peer and why the
    /// link closed; fails if the peer was not authenticated.
    async fn serve_accepted_link(&self, tcp: TcpStream) -> Result<(Peer, LinkError), LinkError> {
        self.unauthenticated_links.fetch_add(1, Ordering::Relaxed);
        let unauthenticated_guard = CountGuard(&self.unauthenticated_links);
        set_socket_options(&tcp)?;
        let http2_handshake = async {
            let mut connection = server::Builder::new()
                .initial_window_size(WINDOW_BYTES)
                .initial_connection_window_size(WINDOW_BYTES)
                .max_header_list_size(MAX_HEADER_LIST_BYTES)
                .max_concurrent_streams(1)
                .handshake::<_, Bytes>(self.count_bytes(tcp))
                .await?;
            let first_request = connection.accept().await.ok_or(LinkError::Closed)??;
            Ok::<_, LinkError>((connection, first_request))
        };
        let (mut connection, (request, mut respond)) = timeout(HANDSHAKE_TIMEOUT, http2_handshake)
            .await
            .map_err(|_| LinkError::HandshakeTimeout)??;
        let stream = respond.send_response(Response::new(()), false)?;
        let mut reader = FrameReader::new(request.into_body(), self.metrics.clone());
        let mut writer = FrameWriter::new(stream);
        let mut authenticated_peer = None;
        let session = async {
            let handshake =
                self.credentials.authenticate_as_acceptor(&mut reader, &mut writer, &self.metrics);
            let peer = timeout(HANDSHAKE_TIMEOUT, handshake)
                .await
                .map_err(|_| LinkError::HandshakeTimeout)??;
            if !self.handler.accepts(&peer.host_id, &peer.identity) {
                return Err(LinkError::Refused("the peer's identity has left the fleet"));
            }
            drop(unauthenticated_guard);
            authenticated_peer = Some(peer.clone());
            let _link_guard = LinkGuard::new(&self.metrics.links);
            info!(
                "event=peer_link_up host={} identity={} dialled=false",
                peer.host_id, peer.identity
            );
            let outbox = Outbox::new(self.metrics.clone());
            let error = tokio::select! {
                result = self.read_requests(reader, &peer, &outbox) => result,
                result = self.write_queued(writer, &outbox) => result,
            };
            outbox.close();
            error
        };
        // a link has one stream; polling `accept` also sends and receives its data
        let refuse_further_streams = async {
            while let Some(stream) = connection.accept().await {
                stream?.1.send_reset(h2::Reason::REFUSED_STREAM);
            }
            Ok::<(), LinkError>(())
        };
        let drive_connection =
            async { refuse_further_streams.await.err().unwrap_or(LinkError::Closed) };
        let error = run_session(session, drive_connection).await;
        match authenticated_peer {
            Some(peer) => Ok((peer, error)),
            None => Err(error),
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<
        (client::SendRequest<Bytes>, client::Connection<ByteCountingStream, Bytes>),
        LinkError,
    > {
        let tcp = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| LinkError::Transport("connection attempt timed out".to_owned()))??;
        set_socket_options(&tcp)?;
        let mut builder = client::Builder::new();
        builder
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .max_header_list_size(MAX_HEADER_LIST_BYTES)
            .enable_push(false);
        timeout(HANDSHAKE_TIMEOUT, builder.handshake(self.count_bytes(tcp)))
            .await
            .map_err(|_| LinkError::HandshakeTimeout)?
            .map_err(LinkError::from)
    }

    /// Opens the stream of a connection that this host dialled and authenticates
    /// both sides. Fails if the peer is not the expected host.
    async fn authenticate_dialled(
        &self,
        sender: client::SendRequest<Bytes>,
        expected: Option<&HostId>,
    ) -> Result<(FrameReader, FrameWriter, Peer), LinkError> {
        let handshake = async {
            let (response, stream) = self.open_stream(sender).await?;
            let mut writer = FrameWriter::new(stream);
            let body = response.await?.into_body();
            let mut reader = FrameReader::new(body, self.metrics.clone());
            let peer = self
                .credentials
                .authenticate_as_dialler(&mut reader, &mut writer, &self.metrics)
                .await?;
            Ok::<_, LinkError>((reader, writer, peer))
        };
        let (reader, writer, peer) = timeout(HANDSHAKE_TIMEOUT, handshake)
            .await
            .map_err(|_| LinkError::HandshakeTimeout)??;
        if expected.is_some_and(|host| *host != peer.host_id) {
            return Err(LinkError::Refused("another host answered at this address"));
        }
        if !self.handler.accepts(&peer.host_id, &peer.identity) {
            return Err(LinkError::Refused("the peer's identity has left the fleet"));
        }
        Ok((reader, writer, peer))
    }

    /// Sends the request whose body and response body carry the messages of the link.
    async fn open_stream(
        &self,
        sender: client::SendRequest<Bytes>,
    ) -> Result<(client::ResponseFuture, SendStream<Bytes>), LinkError> {
        let request = Request::post("http://peer/messages")
            .body(())
            .map_err(|e| LinkError::Transport(e.to_string()))?;
        Ok(sender.ready().await?.send_request(request, false)?)
    }

    /// Passes replies to the calls of the outbox until the link fails.
    async fn read_replies(
        &self,
        mut reader: FrameReader,
        peer: &Peer,
        outbox: &Outbox,
    ) -> Result<(), LinkError> {
        loop {
            let frame = reader.next().await?;
            if !frame.reply {
                return Err(LinkError::Unexpected("a request on a link that this host dialled"));
            }
            outbox.complete_call(frame.call, Ok((peer.identity.clone(), frame.message)));
        }
    }

    /// Passes messages to the handler until the link fails.
    async fn read_requests(
        &self,
        mut reader: FrameReader,
        peer: &Peer,
        outbox: &Arc<Outbox>,
    ) -> Result<(), LinkError> {
        loop {
            let frame = reader.next().await?;
            if frame.reply {
                return Err(LinkError::Unexpected("a reply on a link that the peer dialled"));
            }
            let replier = Replier::new(outbox.clone(), frame.call, peer.identity.clone());
            self.handler.handle(&peer.host_id, frame.message, replier);
        }
    }

    /// Writes the messages of the outbox until the link fails.
    async fn write_queued(
        &self,
        mut writer: FrameWriter,
        outbox: &Outbox,
    ) -> Result<(), LinkError> {
        loop {
            let Some(first) = outbox.pop() else {
                outbox.wait().await;
                continue;
            };
            self.metrics.count_sent(first.kind, first.bytes.len());
            let mut bytes = first.bytes;
            while bytes.len() < WRITE_BATCH_BYTES
                && let Some(next) = outbox.pop()
            {
                self.metrics.count_sent(next.kind, next.bytes.len());
                bytes.extend_from_slice(&next.bytes);
            }
            writer.write(bytes.into()).await?;
        }
    }

    fn count_bytes(&self, tcp: TcpStream) -> ByteCountingStream {
        ByteCountingStream::new(
            tcp,
            self.metrics.sent_bytes.clone(),
            self.metrics.received_bytes.clone(),
        )
    }
}

/// Runs a session while `drive_connection` sends and receives the connection's
/// data. When the connection ends, the session still handles the messages that
/// were received before. Returns why the link closed.
async fn run_session(
    session: impl Future<Output = Result<(), LinkError>>,
    drive_connection: impl Future<Output = LinkError>,
) -> LinkError {
    tokio::pin!(session);
    let connection_error = tokio::select! {
        result = &mut session => return result.err().unwrap_or(LinkError::Closed),
        error = drive_connection => error,
    };
    match timeout(BUFFERED_MESSAGES_TIMEOUT, session).await {
        Ok(Err(error)) => error,
        Ok(Ok(())) | Err(_) => connection_error,
    }
}

/// Counts an authenticated link while it exists, also when its task is cancelled.
struct LinkGuard(Gauge);

impl LinkGuard {
    fn new(links: &Gauge) -> Self {
        links.inc();
        Self(links.clone())
    }
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Decrements a counter when it is dropped.
struct CountGuard<'a>(&'a AtomicUsize);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn set_socket_options(tcp: &TcpStream) -> Result<(), LinkError> {
    tcp.set_nodelay(true)?;
    let socket = SockRef::from(tcp);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(())
}

fn connection_close_reason(result: Result<(), h2::Error>) -> LinkError {
    result.map_or_else(LinkError::from, |()| LinkError::Closed)
}
