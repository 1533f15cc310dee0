use {
    super::{
        record_feed::RawRecord,
        record_sink::{Decode, RecordSink},
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
/// How long lapsed records may take to come back after the store's return.
const RETURN_TIME: Duration = Duration::from_millis(2_100);
/// With more than this share of the heartbeats in the log, the store was there and
/// only this host did not reach it.
const PRESENT_SHARE: f64 = 0.5;

/// Keeps the directory of endpoints.
pub(crate) struct EndpointSink {
    directory: Rc<Directory>,
    decode: Decode<EndpointRecord>,
    heartbeat: Duration,
    metrics: Rc<GatewayMetrics>,
    /// Records that vanish before this time may come back.
    lapses_until: Option<Instant>,
}

impl EndpointSink {
    pub(crate) fn new(
        directory: Rc<Directory>,
        decode: Decode<EndpointRecord>,
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
        let heartbeats = away.as_secs_f64() / self.heartbeat.as_secs_f64().max(0.001);
        let expected = heartbeats * self.directory.len() as f64;
        let was_present = records as f64 > expected * PRESENT_SHARE;
        event!(
            "endpoint_records_after_absence",
            "away_ms={} records={records} expected={expected:.0} store_was_present={was_present}",
            away.as_millis()
        );
        if !was_present {
            self.lapses_until = Some(Instant::now() + RETURN_TIME);
        }
    }

    fn expire(&mut self, now: Instant) -> Option<Instant> {
        self.directory.expire(now)
    }
}
