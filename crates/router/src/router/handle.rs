use {
    super::router_parts::RouterParts,
    crate::operators::OperatorServer,
    crossbeam::channel::Sender,
    mango_http::HttpServer,
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
};

/// Time for the load balancer and the peers to see that a stopping host is not ready.
const UNREADY_NOTICE_TIME: Duration = Duration::from_millis(200);
/// Longest wait for claims to be recorded in the log, and also for the reports of their
/// outcomes to be delivered.
const CLAIM_FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// A running router.
pub struct RouterHandle {
    parts: Arc<RouterParts>,
    callers: HttpServer,
    operators: OperatorServer,
    stop_maintenance: Mutex<Option<Sender<()>>>,
    drain_requests: crossbeam::channel::Receiver<()>,
}

impl RouterHandle {
    pub(crate) fn new(
        parts: Arc<RouterParts>,
        callers: HttpServer,
        operators: OperatorServer,
        stop_maintenance: Sender<()>,
        drain_requests: crossbeam::channel::Receiver<()>,
    ) -> Self {
        let stop_maintenance = Mutex::new(Some(stop_maintenance));
        Self { parts, callers, operators, stop_maintenance, drain_requests }
    }

    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Address for other routers.
    pub fn peer_address(&self) -> SocketAddr {
        self.parts.peers.local_address()
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.parts.config.current().version()
    }

    /// Receives a message when an operator requests a planned stop.
    pub fn drain_requests(&self) -> &crossbeam::channel::Receiver<()> {
        &self.drain_requests
    }

    /// Performs a planned stop: refuses new requests, releases the ownership of all
    /// resources and waits for requests in progress. Returns whether all of them ended by
    /// the deadline; the remaining ones are cut off.
    pub fn drain(&self, deadline: Instant) -> bool {
        self.parts.draining.store(true, Ordering::SeqCst);
        log::info!("event=drain_started requests={}", self.parts.in_flight.total());
        // requests are refused only after the load balancer has had time to see that this
        // host is not ready and to send no more of them
        std::thread::sleep(
            UNREADY_NOTICE_TIME.min(deadline.saturating_duration_since(Instant::now())),
        );
        self.parts.callers.set_draining();
        self.parts.claims.wait_until_recorded(deadline.min(Instant::now() + CLAIM_FLUSH_TIMEOUT));
        self.parts.ownership.release_all();
        let ended = self.callers.drain(deadline) && self.wait_until_idle(deadline);
        // the owners of the key ranges need the outcomes to answer repeated requests
        self.parts
            .claim_client
            .wait_for_delivery(deadline.min(Instant::now() + CLAIM_FLUSH_TIMEOUT));
        self.parts.membership.leave();
        log::info!("event=drain_ended complete={ended} left={}", self.parts.in_flight.total());
        self.stop();
        ended
    }

    /// Waits until no request is in flight. A request may still run after its caller has
    /// disconnected.
    fn wait_until_idle(&self, deadline: Instant) -> bool {
        while self.parts.in_flight.total() > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        true
    }

    /// Stops at once, like a crash: no ownership is released and requests are cut off.
    pub fn stop(&self) {
        self.callers.abort();
        // a deadline in the past closes all connections
        self.operators.stop(Instant::now());
        self.parts.claim_client.stop();
        self.parts.claims.stop();
        self.parts.config.stop();
        self.parts.membership.stop();
        self.parts.ownership.stop();
        self.parts.peers.stop();
        // closing the channel ends the maintenance and order threads
        self.stop_maintenance.lock().take();
    }
}

impl Drop for RouterHandle {
    fn drop(&mut self) {
        self.stop();
    }
}
