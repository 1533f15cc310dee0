use {
    super::{
        origin_store::OriginStore, shared_origins::SharedOrigins, version_record::ConditionalAppend,
    },
    crate::{
        peers::PeerState,
        records::FeedError,
        telemetry::{GatewayMetrics, event},
    },
    rand::RngExt,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Time between two looks at the directory.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Range of the random delay before a call for each host of the fleet, so that the first host writes
/// and the others find its record.
const DELAY_PER_HOST: Duration = Duration::from_millis(10);
/// Longest range of that delay.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Keeps the record of the software versions in service up to date.
pub(crate) struct VersionPublisher<S> {
    store: S,
    origins: Rc<SharedOrigins>,
    peers: Rc<PeerState>,
    metrics: Rc<GatewayMetrics>,
}

impl<S: OriginStore> VersionPublisher<S> {
    pub(crate) fn new(
        store: S,
        origins: Rc<SharedOrigins>,
        peers: Rc<PeerState>,
        metrics: Rc<GatewayMetrics>,
    ) -> VersionPublisher<S> {
        VersionPublisher { store, origins, peers, metrics }
    }

    pub(crate) async fn run(mut self) {
        while let Err(error) = self.list_and_append().await {
            self.pause_after(&error).await;
        }
        loop {
            sleep(CHECK_INTERVAL).await;
            self.origins.observe_versions();
            if self.origins.version_proposals().is_empty() {
                continue;
            }
            let range = (DELAY_PER_HOST * self.peers.fleet_hosts()).min(MAX_DELAY);
            sleep(range.mul_f64(rand::rng().random_range(0.0..1.0))).await;
            self.origins.observe_versions();
            if let Err(error) = self.list_and_append().await {
                self.pause_after(&error).await;
            }
        }
    }

    /// Reads the records, and replaces them if they are out of date. Another host may be faster; then
    /// the next check finds its record.
    async fn list_and_append(&mut self) -> Result<(), FeedError> {
        let listing = self.store.list_versions().await;
        self.metrics.count_store_result("versions", &listing);
        let listing = listing?;
        self.origins.apply_version_listing(&listing);
        let records = self.origins.version_proposals();
        if records.is_empty() {
            return Ok(());
        }
        let appended = self.store.append_versions(&records, listing.end).await;
        self.metrics.count_store_result("versions", &appended);
        if appended? == ConditionalAppend::Appended {
            self.origins.apply_appended_versions(&records);
        }
        Ok(())
    }

    async fn pause_after(&self, error: &FeedError) {
        event!("versions_unknown", "reason={:?}", error.to_string());
        sleep(RETRY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))).await;
    }
}
