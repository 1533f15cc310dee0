use {
    crate::{
        callers::{Protocol, serve_caller},
        server::Gateway,
        settings::GatewaySettings,
        telemetry::event,
    },
    anyhow::{Context, Result},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        task::spawn_local,
        time::sleep,
    },
};

/// Pause after a failed accept, which fails for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// File descriptors reserved for connections to endpoints and the store, for files and for
/// connections to the other listeners.
const RESERVED_DESCRIPTORS: u32 = 400;

/// Sockets on which the process accepts connections or receives datagrams, named like the
/// address fields of `GatewaySettings`.
pub(super) struct Listeners {
    pub(super) callers: TcpListener,
    pub(super) ready: TcpListener,
    pub(super) side: TcpListener,
    pub(super) metrics: Option<TcpListener>,
    pub(super) gossip: Rc<UdpSocket>,
}

impl Listeners {
    /// Binds the addresses of the settings.
    pub(super) async fn bind(settings: &GatewaySettings) -> Result<Listeners> {
        Ok(Listeners {
            callers: bind("callers_address", settings.callers_address).await?,
            ready: bind("ready_address", settings.ready_address).await?,
            side: bind("side_address", settings.side_address).await?,
            gossip: Rc::new(bind_gossip(settings.gossip_address).await?),
            // after the others, which may have its port
            metrics: bind_metrics(settings.metrics_address).await,
        })
    }
}

/// Binds the address for metrics. Requests can be served without it; the side address serves the
/// metrics too.
async fn bind_metrics(address: Option<SocketAddr>) -> Option<TcpListener> {
    match bind("metrics_address", address?).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            event!("metrics_unavailable", "reason={:?}", format!("{error:#}"));
            None
        }
    }
}

async fn bind(field: &str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot bind {field} {address}"))
}

async fn bind_gossip(address: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(address).await.with_context(|| format!("cannot bind gossip_address {address}"))
}

/// Accepts callers' connections until the stop of the process closes idle connections.
/// Connections beyond the limit of file descriptors are closed at once.
pub(super) async fn accept_callers<P: Protocol>(gateway: Rc<Gateway<P>>, listener: TcpListener) {
    let max_connections =
        gateway.settings.max_open_files.saturating_sub(RESERVED_DESCRIPTORS).max(32);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            // closes the listener, so that new callers are refused while they still have time to
            // use another host
            _ = gateway.stop.wait_for_close_idle() => return,
        };
        match accepted {
            Ok((stream, _)) if gateway.connection_count() < max_connections => {
                spawn_local(serve_caller(gateway.clone(), stream));
            }
            Ok((stream, peer)) => {
                event!("connection_refused", "from={peer} open={}", gateway.connection_count());
                drop(stream);
            }
            Err(error) => {
                event!("accept_failed", "reason={:?}", error.to_string());
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
