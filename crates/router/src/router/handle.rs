use {
    super::parts::Parts,
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

/// Time that a stopping host gives the balancer and its peers to notice.
const NOTICE_TIME: Duration = Duration::from_millis(200);
/// Longest wait for claims to reach the log before the handover.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// A running router.
pub struct RouterHandle {
    parts: Arc<Parts>,
    callers: HttpServer,
    operators: OperatorServer,
    stop_maintenance: Mutex<Option<Sender<()>>>,
    drain_requests: crossbeam::channel::Receiver<()>,
}

impl RouterHandle {
    pub(crate) fn new(
        parts: Arc<Parts>,
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

    /// Signals that an operator asked for a planned stop.
    pub fn drain_requests(&self) -> &crossbeam::channel::Receiver<()> {
        &self.drain_requests
    }

    /// Stops as planned: refuses new requests, hands over what this host owns,
    /// and lets requests in progress end. Returns whether all of them ended by
    /// the deadline; the rest is cut off.
    pub fn drain(&self, deadline: Instant) -> bool {
        self.parts.draining.store(true, Ordering::SeqCst);
        log::info!("event=drain_started requests={}", self.parts.in_flight.total());
        // unready first, so that the balancer sends nothing new, then refuse
        std::thread::sleep(NOTICE_TIME.min(deadline.saturating_duration_since(Instant::now())));
        self.parts.callers.set_draining();
        self.parts.claims.wait_until_recorded(deadline.min(Instant::now() + SETTLE_TIME));
        self.parts.ownership.release_all();
        let ended = self.callers.drain(deadline) && self.await_idle(deadline);
        // repeats of what ended here are answered by the owners of the key ranges
        self.parts.claim_client.wait_for_delivery(deadline.min(Instant::now() + SETTLE_TIME));
        self.parts.membership.leave();
        log::info!("event=drain_ended complete={ended} left={}", self.parts.in_flight.total());
        self.stop();
        ended
    }

    /// Waits for requests whose callers have left, which may still run.
    fn await_idle(&self, deadline: Instant) -> bool {
        while self.parts.in_flight.total() > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        true
    }

    /// Stops at once, as a crash would: nothing is handed over.
    pub fn stop(&self) {
        self.callers.abort();
        // a deadline that has passed cuts all connections off
        self.operators.stop(Instant::now());
        self.parts.claim_client.stop();
        self.parts.claims.stop();
        self.parts.config.stop();
        self.parts.membership.stop();
        self.parts.ownership.stop();
        self.parts.peers.stop();
        // closing the channel ends the thread
        self.stop_maintenance.lock().take();
    }
}

impl Drop for RouterHandle {
    fn drop(&mut self) {
        self.stop();
    }
}
