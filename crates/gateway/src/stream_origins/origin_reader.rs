use {
    super::{origin_store::OriginStore, shared_origins::SharedOrigins},
    crate::{
        peers::PeerState,
        records::{FeedError, Offset},
        telemetry::{GatewayMetrics, event},
    },
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// Shortest time between two rounds of one host.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two rounds of one host for each host of the fleet.
const PAUSE_PER_HOST: Duration = Duration::from_millis(2);

/// Reads the origins of streams from the store when requests ask for them.
pub(crate) struct OriginReader<S> {
    store: S,
    origins: Rc<SharedOrigins>,
    peers: Rc<PeerState>,
    metrics: Rc<GatewayMetrics>,
    /// Offset after the last batch read.
    position: Offset,
}

impl<S: OriginStore> OriginReader<S> {
    pub(crate) fn new(
        store: S,
        origins: Rc<SharedOrigins>,
        peers: Rc<PeerState>,
        metrics: Rc<GatewayMetrics>,
    ) -> OriginReader<S> {
        OriginReader { store, origins, peers, metrics, position: 0 }
    }

    pub(crate) async fn run(mut self) {
        loop {
            self.origins.refreshes.begin().await;
            let started_at = Instant::now();
            let result = self.refresh().await;
            self.metrics.count_store_result("origins", &result);
            if let Err(error) = &result {
                event!("origins_unread", "reason={:?}", error.to_string());
            }
            self.origins.refreshes.end(result.is_ok());
            let pause = (PAUSE_PER_HOST * self.peers.fleet_hosts()).max(MIN_PAUSE);
            sleep_until(started_at + pause).await;
        }
    }

    /// Reads which versions are possible and, if a service has several, where streams began.
    async fn refresh(&mut self) -> Result<(), FeedError> {
        let listing = self.store.list_versions().await?;
        self.origins.apply_version_listing(&listing);
        match self.origins.any_has_several_versions() {
            true => self.read_to_end().await,
            false => Ok(()),
        }
    }

    /// Reads the log up to its end.
    async fn read_to_end(&mut self) -> Result<(), FeedError> {
        loop {
            let changes = self.store.read_origins(self.position).await?;
            if changes.end < self.position {
                event!("origins_rewound", "position={} end={}", self.position, changes.end);
                self.position = 0;
                continue;
            }
            if changes.next <= self.position && changes.end > self.position {
                return Err(FeedError::Unavailable("the log did not return its records".into()));
            }
            for batch in &changes.batches {
                self.origins.add_logged(batch);
            }
            self.position = changes.next;
            if self.position >= changes.end {
                return Ok(());
            }
        }
    }
}
