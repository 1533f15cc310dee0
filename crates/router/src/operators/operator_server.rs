use {
    super::{hooks::OperatorHooks, request_handler::RequestHandler},
    crate::platform::RecordLog,
    anyhow::{Context, Result},
    mango_http::{HttpServer, ServerLimits},
    mango_wire::settings::Settings,
    std::{net::SocketAddr, sync::Arc},
};

// Connections served at once; each takes a thread.
const MAX_CONNECTIONS: usize = 64;
// A change can't be larger than a log record, whose limit is checked later.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// HTTP server for operators.
///
/// It is served by `mango-http`: of 800 new connections to an `astra` 0.4 server, 2
/// to 4 never got an answer, and such a server can't be stopped.
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
        let handler = Arc::new(RequestHandler::new(&settings.operator_token, hooks));
        let limits = ServerLimits {
            max_connections: MAX_CONNECTIONS,
            max_body_bytes: MAX_BODY_BYTES,
            ..ServerLimits::default()
        };
        let server = HttpServer::bind(address, limits, handler)
            .with_context(|| format!("operator_address {address}"))?;
        Ok(Self { server })
    }

    /// Address that is served; the port is the actual one.
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops serving and cuts all connections off.
    pub(crate) fn stop(&self) {
        self.server.abort();
    }
}
