use {
    super::peer_watch::PeerWatch,
    socket2::{SockRef, TcpKeepalive},
    std::{cell::RefCell, io, time::Duration},
    tokio::net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Size of the read buffer that all connections of the thread share, in bytes.
const READ_BUFFER_BYTES: usize = 16_384;
/// Idle time of a connection before the kernel sends the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 2;

thread_local! {
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BUFFER_BYTES]);
}

/// A TCP connection and its received bytes that are not yet parsed.
pub(crate) struct Connection {
    pub(crate) reader: OwnedReadHalf,
    pub(crate) writer: OwnedWriteHalf,
    pub(crate) input: Vec<u8>,
    pub(crate) watch: PeerWatch,
    /// Whether the connection is reset when it is dropped. The end of a connection reaches the peer
    /// after all bytes sent before, a reset at once.
    pub(crate) resets_on_drop: bool,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Connection {
        Connection::with_watch(stream, PeerWatch::new(None))
    }

    /// Sets the options of the socket. The loss of the peer is detected if the connection's `watch`
    /// is told of what is sent.
    pub(crate) fn open_watched(
        stream: TcpStream,
        user_timeout: Duration,
    ) -> io::Result<Connection> {
        set_socket_options(&stream, user_timeout)?;
        Ok(Connection::with_watch(stream, PeerWatch::new(Some(user_timeout))))
    }

    fn with_watch(stream: TcpStream, watch: PeerWatch) -> Connection {
        let (reader, writer) = stream.into_split();
        Connection { reader, writer, input: Vec::new(), watch, resets_on_drop: false }
    }

    /// Appends received bytes to `input` and returns their number; 0 means that the peer
    /// closed its side. Fails if the peer is lost.
    pub(crate) async fn read_more(&mut self) -> io::Result<usize> {
        let Connection { reader, input, watch, .. } = self;
        tokio::select! {
            biased;
            received = read_into(reader, input) => received,
            error = watch.lost(reader.as_ref()) => Err(error),
        }
    }

    /// To be called before the connection is closed while the peer may still read.
    pub(crate) fn prepare_close(&self) {
        self.watch.prepare_close(self.reader.as_ref());
    }

    /// Whether an idle connection is still open and has no unread bytes.
    pub(crate) fn is_reusable(&self) -> bool {
        let mut byte = [0];
        self.input.is_empty()
            && matches!(
                self.reader.try_read(&mut byte),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock
            )
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.resets_on_drop {
            // a socket that refuses the option is closed in an orderly way
            let _ = self.reader.as_ref().set_zero_linger();
        }
    }
}

/// Waits for bytes and appends them to `input`; returns their number, 0 at the end of the
/// stream. All connections share one read buffer, so that idle connections use no buffer
/// memory.
pub(crate) async fn read_into(reader: &OwnedReadHalf, input: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        reader.readable().await?;
        let result = READ_BUFFER.with_borrow_mut(|buffer| {
            let length = reader.try_read(buffer)?;
            input.extend_from_slice(&buffer[..length]);
            Ok(length)
        });
        match result {
            Err(e) if io::Error::kind(&e) == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Disables Nagle's algorithm and enables TCP keepalive and the TCP user timeout. The user
/// timeout closes a connection whose sent data stays unacknowledged (see `PeerWatch`), and keepalive probes
/// detect the loss of a peer that sends nothing.
fn set_socket_options(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(user_timeout))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES),
    )
}
