use {
    super::{body_decoder::BodyDecoder, connection::Connection, response_head::ResponseHead},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout},
};

/// TCP user timeout of connections to endpoints, peers and the store: the kernel closes a
/// connection whose sent data stays unacknowledged for this long.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// HTTP/1 client connection that sends one request at a time and buffers the whole response.
pub struct ClientConnection {
    connection: Connection,
}

impl ClientConnection {
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> io::Result<ClientConnection> {
        Ok(ClientConnection { connection: connect(address, connect_timeout).await? })
    }

    /// Sends a request and reads its whole response. The connection must not be used again
    /// after an error, after a response without `keep_alive`, or if the future is dropped before
    /// completion.
    pub async fn call(
        &mut self,
        method: &str,
        request: &[u8],
        max_body_bytes: usize,
    ) -> io::Result<(ResponseHead, Vec<u8>)> {
        self.connection.writer.write_all(request).await?;
        let head = loop {
            match ResponseHead::decode(&mut self.connection.input, method) {
                Ok(Some(head)) => break head,
                Ok(None) => self.read_more_or_eof().await?,
                Err(e) => return Err(invalid_data(e.into())),
            }
        };
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = Vec::new();
        loop {
            let input = &mut self.connection.input;
            decoder
                .decode(input, &mut body)
                .map_err(|_| invalid_data("malformed chunked encoding in the response body"))?;
            if decoder.is_done() {
                return Ok((head, body));
            }
            if body.len() > max_body_bytes {
                return Err(invalid_data("response body exceeds the size limit"));
            }
            if self.connection.read_more().await? == 0 {
                return match decoder.finish() {
                    true => Ok((head, body)),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Receives more bytes; fails with `UnexpectedEof` if the peer closed the connection.
    async fn read_more_or_eof(&mut self) -> io::Result<()> {
        match self.connection.read_more().await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}

/// Opens a TCP connection with a user timeout and keepalive probes, so that the loss of the
/// peer is detected.
pub(crate) async fn connect(
    address: SocketAddr,
    connect_timeout: Duration,
) -> io::Result<Connection> {
    let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(stream) => stream?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    Connection::open_watched(stream, USER_TIMEOUT)
}

fn invalid_data(message: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}
