use {
    super::changes_codec::{self, MAX_CHANGES_BYTES},
    crate::{
        http1::ClientConnection,
        records::{FeedError, FeedKind, Offset},
    },
    mango_wire::gossip::RelayedChanges,
    std::{io, net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest time for one read of changes from a relay, including a new connection.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a read of all records, which all hosts of a zone make when they start together.
const FULL_READ_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Reads records of one log from the relay of the zone instead of the store.
pub(crate) struct RelayClient {
    kind: FeedKind,
    connection: Option<(SocketAddr, ClientConnection)>,
}

impl RelayClient {
    pub(crate) fn new(kind: FeedKind) -> RelayClient {
        RelayClient { kind, connection: None }
    }

    /// Returns the newest record of each key that changed since an offset.
    pub(crate) async fn changes(
        &mut self,
        address: SocketAddr,
        from: Offset,
    ) -> Result<RelayedChanges, FeedError> {
        let time_limit = if from == 0 { FULL_READ_TIMEOUT } else { READ_TIMEOUT };
        match timeout(time_limit, self.exchange(address, from)).await {
            Ok(Ok(body)) => changes_codec::decode(&body)
                .map_err(|e| FeedError::Unavailable(e.to_string().into())),
            Ok(Err(error)) => Err(FeedError::Unavailable(error.to_string().into())),
            Err(_) => Err(FeedError::Unavailable("the relay did not respond in time".into())),
        }
    }

    /// Sends the request on the kept connection, and on a new one if that fails.
    async fn exchange(&mut self, address: SocketAddr, from: Offset) -> io::Result<Vec<u8>> {
        let request =
            format!("GET /relay/{}?from={from} HTTP/1.1\r\nHost: {address}\r\n\r\n", self.kind);
        // taken out of the field, so that a connection is dropped if its call fails or is
        // cancelled
        if let Some((known, connection)) = self.connection.take()
            && known == address
            && let Ok(body) = self.call(address, connection, &request).await
        {
            return Ok(body);
        }
        // the relay may have closed the idle connection
        let connection = ClientConnection::open(address, CONNECT_TIMEOUT).await?;
        self.call(address, connection, &request).await
    }

    /// Sends the request and stores the connection for the next one if the relay keeps it open.
    async fn call(
        &mut self,
        address: SocketAddr,
        mut connection: ClientConnection,
        request: &str,
    ) -> io::Result<Vec<u8>> {
        let (head, body) = connection.call("GET", request.as_bytes(), MAX_CHANGES_BYTES).await?;
        if head.status != 200 {
            return Err(io::Error::other(format!(
                "the relay responded with status {}",
                head.status
            )));
        }
        if head.keep_alive {
            self.connection = Some((address, connection));
        }
        Ok(body)
    }
}
