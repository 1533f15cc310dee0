use {
    super::{
        record_feed::RawRecord,
        record_sink::{RecordDecoder, RecordSink},
    },
    crate::{
        clock::BootInstant,
        endpoints::{Directory, EndpointRecord},
        peers::FeedKind,
        telemetry::{GatewayMetrics, event},
    },
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Shortest outage of the store in which endpoint records may expire, in heartbeats.
const MIN_OUTAGE_HEARTBEATS: u32 = 2;
/// Time within which endpoints write expired records again after the store's recovery.
const RENEWAL_TIME: Duration = Duration::from_millis(2_100);

/// Applies endpoint records to the directory of endpoints.
pub(crate) struct EndpointSink {
    directory: Rc<Directory>,
    decode: RecordDecoder<EndpointRecord>,
    /// Interval at which each endpoint writes its record.
    heartbeat: Duration,
    metrics: Rc<GatewayMetrics>,
    /// Endpoints whose record is removed before this time stay in use until then: the record
    /// may have expired in an outage of the store.
    keep_removed_until: Option<Instant>,
}

impl EndpointSink {
    pub(crate) fn new(
        directory: Rc<Directory>,
        decode: RecordDecoder<EndpointRecord>,
        heartbeat: Duration,
        metrics: Rc<GatewayMetrics>,
    ) -> EndpointSink {
        EndpointSink { directory, decode, heartbeat, metrics, keep_removed_until: None }
    }

    fn removal_grace_end(&self) -> Option<Instant> {
        self.keep_removed_until.filter(|until| Instant::now() < *until)
    }

    fn decode(&self, record: &RawRecord) -> Option<EndpointRecord> {
        match (self.decode)(&record.key, &record.value) {
            Ok(endpoint) => Some(endpoint),
            Err(reason) => {
                event!(
                    "endpoint_record_unreadable",
                    "key={:?} offset={} reason={reason:?}",
                    record.key,
                    record.offset
                );
                None
            }
        }
    }
}

impl RecordSink for EndpointSink {
    const KIND: FeedKind = FeedKind::Endpoints;

    const POLL_PAUSE: Duration = Duration::from_millis(750);

    /// Zero: all endpoints together write several records a second, so a wait would end at
    /// once.
    fn poll_wait(&self) -> Duration {
        Duration::ZERO
    }

    fn replace_all(&mut self, records: &[RawRecord]) {
        let endpoints = records
            .iter()
            .filter(|record| !record.value.is_empty())
            .filter_map(|record| self.decode(record))
            .collect();
        self.directory.replace_all(endpoints, self.removal_grace_end());
        self.metrics.endpoints.set(self.directory.len() as i64);
    }

    fn apply(&mut self, record: &RawRecord) -> bool {
        let is_changed = if record.value.is_empty() {
            self.directory.remove(&record.key, self.removal_grace_end())
        } else {
            match self.decode(record) {
                Some(endpoint) => self.directory.upsert(endpoint),
                None => return false,
            }
        };
        self.metrics.endpoints.set(self.directory.len() as i64);
        is_changed
    }

    fn confirmed(&mut self, _at: BootInstant) {}

    fn store_recovered(&mut self, outage: Duration, records: usize) {
        if outage < self.heartbeat * MIN_OUTAGE_HEARTBEATS {
            return;
        }
        let endpoints = self.directory.len().max(1) as f64;
        // each endpoint writes one record per heartbeat: the number of records shows for how
        // long the endpoints could reach the store while this host could not
        let store_present = self.heartbeat.mul_f64(records as f64 / endpoints).min(outage);
        let grace = RENEWAL_TIME.saturating_sub(store_present);
        event!(
            "endpoint_records_after_absence",
            "away_ms={} records={records} store_present_ms={} grace_ms={}",
            outage.as_millis(),
            store_present.as_millis(),
            grace.as_millis()
        );
        self.keep_removed_until = Some(Instant::now() + grace);
    }

    fn expire(&mut self, now: Instant) -> Option<Instant> {
        self.directory.expire(now)
    }
}
