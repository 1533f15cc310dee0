use {
    super::{
        body_decoder::BodyDecoder,
        connection::{Connection, set_socket_options},
        response_head::ResponseHead,
    },
    std::{io, net::SocketAddr, time::Duration},
    tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout},
};

/// Unacknowledged bytes break a connection to an endpoint or the store after this time.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Connection for calls whose answers are read whole, one at a time.
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

    /// Sends a request and reads its whole answer. After an error or a dropped
    /// call the connection must not be used again.
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
                Ok(None) => self.read_or_fail().await?,
                Err(e) => return Err(invalid(e.into())),
            }
        };
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = Vec::new();
        loop {
            let input = &mut self.connection.input;
            decoder.decode(input, &mut body).map_err(|_| invalid("chunks"))?;
            if decoder.is_done() {
                return Ok((head, body));
            }
            if body.len() > max_body_bytes {
                return Err(invalid("answer too large"));
            }
            if self.connection.read_more().await? == 0 {
                return match decoder.finish() {
                    true => Ok((head, body)),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    async fn read_or_fail(&mut self) -> io::Result<()> {
        match self.connection.read_more().await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}

/// Opens a connection with time limits for lost peers.
pub(crate) async fn connect(
    address: SocketAddr,
    connect_timeout: Duration,
) -> io::Result<Connection> {
    let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(stream) => stream?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    set_socket_options(&stream, USER_TIMEOUT)?;
    Ok(Connection::new(stream))
}

fn invalid(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
