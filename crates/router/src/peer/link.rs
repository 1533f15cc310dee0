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

const CONNECT: Duration = Duration::from_millis(1000);
const HANDSHAKE: Duration = Duration::from_millis(2000);
// Data that stays unacknowledged for this long means that the host is gone
// without having closed its connections.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);
// Messages that are buffered when a connection ends need no more data; the limit
// only covers a session that waits to send.
const LAST_MESSAGES: Duration = Duration::from_millis(100);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
// Four of the largest messages; bounds what a peer can make this host buffer.
const WINDOW_BYTES: u32 = 256 * 1024;
const MAX_HEADER_BYTES: u32 = 4096;
// Several queued messages are joined into one write of at most about this size.
const WRITE_BYTES: usize = 16 * 1024;

/// What all links of a host share.
pub(crate) struct LinkContext<H> {
    pub(crate) credentials: Arc<Credentials>,
    pub(crate) metrics: PeerMetrics,
    pub(crate) handler: Arc<H>,
    /// Accepted links whose peer has not proved the secret yet.
    pub(crate) unauthenticated: AtomicUsize,
}

impl<H: PeerHandler> LinkContext<H> {
    /// Connects to an address and proves the secret, without keeping the link.
    pub(crate) async fn identify(&self, address: SocketAddr) -> Result<Peer, LinkError> {
        let (sender, connection) = self.connect(address).await?;
        tokio::select! {
            result = connection => Err(connection_end(result)),
            result = self.greet_dialled(sender, None) => result.map(|(_, _, peer)| peer),
        }
    }

    /// Connects to a host and serves its outbox until the link closes. Returns
    /// whether the link was authenticated, and why it closed.
    pub(crate) async fn run_dialled(
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
            let (reader, writer, peer) = self.greet_dialled(sender, Some(host)).await?;
            authenticated = true;
            let _up = LinkGuard::new(&self.metrics.links);
            info!("event=peer_link_up host={host} identity={} dialled=true", peer.identity);
            tokio::select! {
                result = self.read_replies(reader, &peer, outbox) => result,
                result = self.write_queued(writer, outbox) => result,
            }
        };
        let drive = async { connection_end(connection.await) };
        let error = run_session(session, drive).await;
        (authenticated, error)
    }

    /// Serves a connection that a peer opened, until it closes.
    pub(crate) async fn run_accepted(&self, tcp: TcpStream, remote: SocketAddr) {
        let result = self.try_accepted(tcp).await;
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

    /// Fails when the peer is not authenticated.
    async fn try_accepted(&self, tcp: TcpStream) -> Result<(Peer, LinkError), LinkError> {
        self.unauthenticated.fetch_add(1, Ordering::Relaxed);
        let waiting = CountGuard(&self.unauthenticated);
        prepare(&tcp)?;
        let open = async {
            let mut connection = server::Builder::new()
                .initial_window_size(WINDOW_BYTES)
                .initial_connection_window_size(WINDOW_BYTES)
                .max_header_list_size(MAX_HEADER_BYTES)
                .max_concurrent_streams(1)
                .handshake::<_, Bytes>(self.count_bytes(tcp))
                .await?;
            let first = connection.accept().await.ok_or(LinkError::Closed)??;
            Ok::<_, LinkError>((connection, first))
        };
        let (mut connection, (request, mut respond)) =
            timeout(HANDSHAKE, open).await.map_err(|_| LinkError::HandshakeTimeout)??;
        let stream = respond.send_response(Response::new(()), false)?;
        let mut reader = FrameReader::new(request.into_body(), self.metrics.clone());
        let mut writer = FrameWriter::new(stream);
        let mut known = None;
        let session = async {
            let greeting =
                self.credentials.greet_as_acceptor(&mut reader, &mut writer, &self.metrics);
            let peer =
                timeout(HANDSHAKE, greeting).await.map_err(|_| LinkError::HandshakeTimeout)??;
            if !self.handler.accepts(&peer.host_id, &peer.identity) {
                return Err(LinkError::Refused("identity has left"));
            }
            drop(waiting);
            known = Some(peer.clone());
            let _up = LinkGuard::new(&self.metrics.links);
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
        let drive = async {
            while let Some(extra) = connection.accept().await {
                extra?.1.send_reset(h2::Reason::REFUSED_STREAM);
            }
            Ok::<(), LinkError>(())
        };
        let drive = async { drive.await.err().unwrap_or(LinkError::Closed) };
        let error = run_session(session, drive).await;
        match known {
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
        let tcp = timeout(CONNECT, TcpStream::connect(address))
            .await
            .map_err(|_| LinkError::Transport("connect timed out".to_owned()))??;
        prepare(&tcp)?;
        let mut builder = client::Builder::new();
        builder
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .max_header_list_size(MAX_HEADER_BYTES)
            .enable_push(false);
        timeout(HANDSHAKE, builder.handshake(self.count_bytes(tcp)))
            .await
            .map_err(|_| LinkError::HandshakeTimeout)?
            .map_err(LinkError::from)
    }

    async fn greet_dialled(
        &self,
        sender: client::SendRequest<Bytes>,
        expected: Option<&HostId>,
    ) -> Result<(FrameReader, FrameWriter, Peer), LinkError> {
        let greeting = async {
            let (response, stream) = self.open_stream(sender).await?;
            let mut writer = FrameWriter::new(stream);
            let body = response.await?.into_body();
            let mut reader = FrameReader::new(body, self.metrics.clone());
            let peer =
                self.credentials.greet_as_dialler(&mut reader, &mut writer, &self.metrics).await?;
            Ok::<_, LinkError>((reader, writer, peer))
        };
        let (reader, writer, peer) =
            timeout(HANDSHAKE, greeting).await.map_err(|_| LinkError::HandshakeTimeout)??;
        if expected.is_some_and(|host| *host != peer.host_id) {
            return Err(LinkError::Refused("another host answers at the address"));
        }
        if !self.handler.accepts(&peer.host_id, &peer.identity) {
            return Err(LinkError::Refused("identity has left"));
        }
        Ok((reader, writer, peer))
    }

    async fn open_stream(
        &self,
        sender: client::SendRequest<Bytes>,
    ) -> Result<(client::ResponseFuture, SendStream<Bytes>), LinkError> {
        let request = Request::post("http://peer/messages")
            .body(())
            .map_err(|e| LinkError::Transport(e.to_string()))?;
        Ok(sender.ready().await?.send_request(request, false)?)
    }

    async fn read_replies(
        &self,
        mut reader: FrameReader,
        peer: &Peer,
        outbox: &Outbox,
    ) -> Result<(), LinkError> {
        loop {
            let frame = reader.next().await?;
            if !frame.reply {
                return Err(LinkError::Unexpected("a request on the dialler's link"));
            }
            outbox.complete(frame.call, Ok((peer.identity.clone(), frame.message)));
        }
    }

    async fn read_requests(
        &self,
        mut reader: FrameReader,
        peer: &Peer,
        outbox: &Arc<Outbox>,
    ) -> Result<(), LinkError> {
        loop {
            let frame = reader.next().await?;
            if frame.reply {
                return Err(LinkError::Unexpected("a reply without a call"));
            }
            let replier = Replier::new(outbox.clone(), frame.call, peer.identity.clone());
            self.handler.handle(&peer.host_id, frame.message, replier);
        }
    }

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
            while bytes.len() < WRITE_BYTES
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

/// Runs a session while `drive` moves the connection's data. When the connection
/// ends, the session still handles the messages that were received before.
async fn run_session(
    session: impl Future<Output = Result<(), LinkError>>,
    drive: impl Future<Output = LinkError>,
) -> LinkError {
    tokio::pin!(session);
    let ended = tokio::select! {
        result = &mut session => return result.err().unwrap_or(LinkError::Closed),
        ended = drive => ended,
    };
    match timeout(LAST_MESSAGES, session).await {
        Ok(Err(error)) => error,
        Ok(Ok(())) | Err(_) => ended,
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

struct CountGuard<'a>(&'a AtomicUsize);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn prepare(tcp: &TcpStream) -> Result<(), LinkError> {
    tcp.set_nodelay(true)?;
    let socket = SockRef::from(tcp);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    Ok(())
}

fn connection_end(result: Result<(), h2::Error>) -> LinkError {
    result.map_or_else(LinkError::from, |()| LinkError::Closed)
}
