use std::{
    io,
    net::{SocketAddr, TcpStream},
};

/// Client connection of a request, used to detect that the caller disconnected.
pub struct CallerConnection {
    stream: TcpStream,
    peer: SocketAddr,
}

impl CallerConnection {
    pub(crate) fn new(stream: TcpStream, peer: SocketAddr) -> Self {
        Self { stream, peer }
    }

    /// Address of the caller.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether the caller has closed the connection. Never blocks, because the
    /// socket is in non-blocking mode.
    pub fn is_closed(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(bytes) => bytes == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}
