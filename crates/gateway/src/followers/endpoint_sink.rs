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

/// An absence of the store shorter than this makes no record lapse, in heartbeats.
const LAPSE_HEARTBEATS: u32 = 2;
/// How long records that lapsed may take to come back after the store's return.
const RETURN_TIME: Duration = Duration::from_millis(2_100);

/// Keeps the directory of endpoints.
pub(crate) struct EndpointSink {
    directory: Rc<Directory>,
    decode: RecordDecoder<EndpointRecord>,
    heartbeat: Duration,
    metrics: Rc<GatewayMetrics>,
    /// Records that vanish before this time may come back.
    lapses_until: Option<Instant>,
}

impl EndpointSink {
    pub(crate) fn new(
        directory: Rc<Directory>,
        decode: RecordDecoder<EndpointRecord>,
        heartbeat: Duration,
        metrics: Rc<GatewayMetrics>,
    ) -> EndpointSink {
        EndpointSink { directory, decode, heartbeat, metrics, lapses_until: None }
    }

    fn keep_until(&self) -> Option<Instant> {
        self.lapses_until.filter(|until| Instant::now() < *until)
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

    /// Endpoints write several times a second together, so a wait would end at once.
    fn poll_wait(&self) -> Duration {
        Duration::ZERO
    }

    fn replace_all(&mut self, records: &[RawRecord]) {
        let endpoints = records
            .iter()
            .filter(|record| !record.value.is_empty())
            .filter_map(|record| self.decode(record))
            .collect();
        self.directory.replace_all(endpoints, self.keep_until());
        self.metrics.endpoints.set(self.directory.len() as i64);
    }

    fn apply(&mut self, record: &RawRecord) -> bool {
        let is_changed = if record.value.is_empty() {
            self.directory.remove(&record.key, self.keep_until())
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

    fn store_returned(&mut self, away: Duration, records: usize) {
        if away < self.heartbeat * LAPSE_HEARTBEATS {
            return;
        }
        let endpoints = self.directory.len().max(1) as f64;
        // the heartbeats in the log tell for how long endpoints have reached the store,
        // when only this host did not
        let present = self.heartbeat.mul_f64(records as f64 / endpoints).min(away);
        let grace = RETURN_TIME.saturating_sub(present);
        event!(
            "endpoint_records_after_absence",
            "away_ms={} records={records} store_present_ms={} grace_ms={}",
            away.as_millis(),
            present.as_millis(),
            grace.as_millis()
        );
        self.lapses_until = Some(Instant::now() + grace);
    }

    fn expire(&mut self, now: Instant) -> Option<Instant> {
        self.directory.expire(now)
    }
}
