use {
    super::{
        kv_mover::KvMover,
        types::{RouterAdmission, RouterOrders},
    },
    crate::{
        endpoint::{Engine, HttpEngine},
        placement::Planner,
    },
    crossbeam::channel::{Receiver, RecvTimeoutError},
    mango_wire::EndpointKey,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Interval between reads of an engine's load report.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The cache events are read once in this many reads of the load report.
const REPORTS_PER_CACHE_READ: u32 = 4;
/// Time without an answer after which an engine gets no new work until it answers again.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(1);

/// Polls one engine for its load report and cache events, and drains it in admission
/// while it is leaving or unreachable.
pub(crate) struct EngineWatch {
    pub(crate) endpoint: EndpointKey,
    pub(crate) id: String,
    pub(crate) engine: Arc<HttpEngine>,
    pub(crate) admission: Arc<RouterAdmission>,
    pub(crate) planner: Arc<Planner>,
    pub(crate) orders: Arc<RouterOrders>,
    pub(crate) kv_mover: Arc<KvMover>,
    /// Ends the watch when its sender is dropped.
    pub(crate) stop: Receiver<()>,
    /// Whether this host owns the engine. Only the owner reads its cache events.
    pub(crate) owned: bool,
}

impl EngineWatch {
    pub(crate) fn run(self) {
        let mut last_answer_at = Instant::now();
        let mut is_draining = false;
        let mut is_leaving = false;
        let mut has_requested_moves = false;
        let mut round = 0;
        loop {
            let should_drain = match self.engine.load_report() {
                Ok(report) => {
                    last_answer_at = Instant::now();
                    self.planner.set_reported_load(self.endpoint, report.running + report.waiting);
                    if self.owned {
                        self.orders.set_identity(self.endpoint, &report.identity);
                    }
                    is_leaving = report.leaving;
                    report.leaving
                }
                Err(_) => last_answer_at.elapsed() >= UNREACHABLE_AFTER,
            };
            if should_drain != is_draining {
                is_draining = should_drain;
                if self.owned && !should_drain {
                    // the engine may have restarted and lost the chats that are recorded as warm
                    self.read_cache();
                }
                log::info!("event=engine_draining endpoint={} draining={should_drain}", self.id);
                self.admission.set_draining(self.endpoint, should_drain);
            }
            if self.owned {
                // the request is repeated until this host may act on the engine
                let request_moves = || self.kv_mover.request_moves(self.endpoint, &self.engine);
                has_requested_moves = is_leaving && (has_requested_moves || request_moves());
            }
            if self.owned && round % REPORTS_PER_CACHE_READ == 0 {
                self.read_cache();
            }
            round += 1;
            if self.stop.recv_timeout(REPORT_INTERVAL) != Err(RecvTimeoutError::Timeout) {
                return;
            }
        }
    }

    fn read_cache(&self) {
        let since = self.admission.next_cache_sequence(self.endpoint);
        let Ok(events) = self.engine.cache_events(since) else { return };
        if !self.admission.cache_events(self.endpoint, &events) {
            return;
        }
        // events were lost or the engine has restarted
        match self.engine.cache_listing() {
            Ok(listing) => self.admission.cache_listing(self.endpoint, &listing),
            Err(failure) => {
                log::info!("event=cache_listing_failed endpoint={} error=\"{failure}\"", self.id);
            }
        }
    }
}
