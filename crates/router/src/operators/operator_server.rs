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

// Each connection takes a thread.
const MAX_CONNECTIONS: usize = 32;
const READ_WAIT: Duration = Duration::from_secs(5);
const WRITE_WAIT: Duration = Duration::from_secs(10);
// The limit of a log record, which a change must fit into, is checked with a
// proper answer; a body above the limit of the server may end in a reset.
const BODY_PER_RECORD: usize = 4;

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
            max_body_bytes: settings.platform.max_record_bytes as usize * BODY_PER_RECORD,
            read_timeout: READ_WAIT,
            write_timeout: WRITE_WAIT,
            ..ServerLimits::default()
        };
        let handler = Arc::new(RequestHandler::new(&settings.operator_token, hooks));
        let server = HttpServer::bind(address, limits, handler)
            .with_context(|| format!("operator_address {address}"))?;
        Ok(Self { server })
    }

    /// Address that is served; the port is the actual one.
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops accepting and lets requests in progress end. Returns whether all
    /// ended by the deadline.
    pub(crate) fn stop(&self, deadline: Instant) -> bool {
        self.server.drain(deadline)
    }
}
