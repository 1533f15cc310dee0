use {
    super::{hooks::OperatorHooks, request_handler::RequestHandler},
    crate::{logging::quoted, platform::RecordLog},
    anyhow::{Context, Result, anyhow},
    astra::Server,
    log::error,
    mango_wire::settings::Settings,
    std::{
        net::{SocketAddr, TcpListener},
        panic::catch_unwind,
        sync::Arc,
        thread,
        time::Duration,
    },
};

// Requests served at once; each takes a thread.
const MAX_WORKERS: usize = 16;
const REBIND_PAUSE: Duration = Duration::from_millis(200);

/// HTTP server for operators. It serves until the process ends.
pub(crate) struct OperatorServer {
    address: SocketAddr,
}

impl OperatorServer {
    /// Binds the operators' address and starts to serve.
    pub(crate) fn spawn<L: RecordLog>(
        settings: &Settings,
        hooks: OperatorHooks<L>,
    ) -> Result<Self> {
        let wanted: SocketAddr = settings.operator_address.parse().context("operator_address")?;
        let server = bind(wanted)?;
        let address = server.local_addr().context("operator_address")?;
        let handler = Arc::new(RequestHandler::new(&settings.operator_token, hooks));
        thread::Builder::new()
            .name("operators".to_owned())
            .spawn(move || serve(server, address, handler))?;
        Ok(Self { address })
    }

    /// Address that is served; the port is the actual one.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

fn serve<L: RecordLog>(mut server: Server, address: SocketAddr, handler: Arc<RequestHandler<L>>) {
    loop {
        let handler = handler.clone();
        let result = server
            .max_workers(MAX_WORKERS)
            .http1_keep_alive(false)
            .http1_only()
            .serve(move |request, _| handler.handle(request));
        // the library ends its loop on a failed accept, for example when file
        // descriptors ran out
        if let Err(e) = result {
            error!("event=operator_server_failed detail={}", quoted(e));
        }
        server = loop {
            thread::sleep(REBIND_PAUSE);
            match bind(address) {
                Ok(server) => break server,
                Err(e) => error!("event=operator_bind_failed detail={}", quoted(e)),
            }
        };
    }
}

// The library panics if it can't bind, so binding is tried beforehand.
fn bind(address: SocketAddr) -> Result<Server> {
    drop(TcpListener::bind(address).with_context(|| format!("operator_address {address}"))?);
    catch_unwind(|| Server::bind(address)).map_err(|_| anyhow!("operator_address {address}"))
}
