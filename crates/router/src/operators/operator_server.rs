use {
    super::{hooks::OperatorHooks, request_handler::RequestHandler},
    crate::platform::RecordLog,
    anyhow::{Context, Result},
    mango_http::{HttpServer, ServerLimits},
    mango_wire::settings::Settings,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

// Each connection occupies a thread.
const MAX_CONNECTIONS: usize = 32;
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
// Ratio of the body limit to the limit of a log record. A change that does not fit into a
// record gets an error response that says so, while a body above the server's own limit
// may end in a connection reset.
const BODY_TO_RECORD_RATIO: usize = 4;

/// HTTP server for operators. It stops when it is dropped.
pub(crate) struct OperatorServer {
    server: HttpServer,
}

impl OperatorServer {
    /// Binds the operators' address and starts to serve.
    pub(crate) fn spawn<L: RecordLog>(
        settings: &Settings,
        hooks: OperatorHooks<L>,
    ) -> Result<Self> {
        let address: SocketAddr = settings.operator_address.parse().context("operator_address")?;
        let limits = ServerLimits {
            max_connections: MAX_CONNECTIONS,
            max_body_bytes: settings.platform.max_record_bytes as usize * BODY_TO_RECORD_RATIO,
            read_timeout: READ_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
            ..ServerLimits::default()
        };
        let handler = Arc::new(RequestHandler::new(&settings.operator_token, hooks));
        let server = HttpServer::bind(address, limits, handler)
            .with_context(|| format!("operator_address {address}"))?;
        Ok(Self { server })
    }

    /// Address on which the server listens, with the port that was assigned.
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops accepting connections and waits for requests in progress. Returns whether all
    /// of them ended by the deadline.
    pub(crate) fn stop(&self, deadline: Instant) -> bool {
        self.server.drain(deadline)
    }
}
