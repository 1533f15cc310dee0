use {
    super::record_sink::{RecordDecoder, RecordSink},
    crate::{
        clock::BootInstant,
        config::{ConfigState, Evacuations, OperatorKey, RoutingConfig},
        records::{FeedKind, RawRecord},
        telemetry::{GatewayMetrics, event},
    },
    std::{
        collections::BTreeSet,
        rc::Rc,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// How the records of the operators are read.
#[derive(Clone, Copy, Debug)]
pub struct OperatorRecords {
    /// What a key is about; `None` if the router does not use it.
    pub key: fn(&str) -> Option<OperatorKey>,
    pub decode_config: RecordDecoder<Rc<RoutingConfig>>,
}

/// Applies the operators' records: to the configuration in force and to the evacuated zones.
pub(crate) struct ConfigSink {
    state: Rc<ConfigState>,
    evacuations: Rc<Evacuations>,
    records: OperatorRecords,
    metrics: Rc<GatewayMetrics>,
    /// Longest wait of a read for new records. Each empty answer confirms the configuration,
    /// also for peers, so the wait stays well below the time within which a change must be
    /// in force.
    poll_wait: Duration,
    /// Whether the newest record could be decoded; otherwise the configuration in force is
    /// not confirmed.
    is_readable: bool,
}

impl ConfigSink {
    pub(crate) fn new(
        state: Rc<ConfigState>,
        evacuations: Rc<Evacuations>,
        records: OperatorRecords,
        poll_wait: Duration,
        metrics: Rc<GatewayMetrics>,
    ) -> ConfigSink {
        ConfigSink { state, evacuations, records, metrics, poll_wait, is_readable: false }
    }

    /// Applies a configuration unless a newer one is in force. Returns whether it was applied.
    fn apply_config(&self, config: Rc<RoutingConfig>, offset: u64) -> bool {
        let (version, routes, in_force) =
            (config.version, config.route_count(), self.state.version());
        let is_applied = self.state.replace_if_newer(config);
        if is_applied {
            event!(
                "config_applied",
                "version={version} routes={routes} previous={in_force} offset={offset}"
            );
            self.metrics.config_version.set(version as i64);
        } else if version < in_force {
            event!("config_ignored", "version={version} in_force={in_force} offset={offset}");
        }
        is_applied
    }

    /// Applies a record of the configuration. Returns whether peers need it: it changed the
    /// configuration in force, or cannot be read, so that nothing is confirmed any more.
    fn apply_config_record(&mut self, record: &RawRecord) -> bool {
        let (key, offset) = (&record.key, record.offset);
        if record.value.is_empty() {
            event!("config_record_removed", "key={key:?} offset={offset}");
            return false;
        }
        match (self.records.decode_config)(key, &record.value) {
            Ok(config) => {
                self.is_readable = true;
                self.apply_config(config, offset)
            }
            Err(reason) => {
                self.is_readable = false;
                event!("config_record_unreadable", "key={key:?} offset={offset} reason={reason:?}");
                true
            }
        }
    }
}

impl RecordSink for ConfigSink {
    const KIND: FeedKind = FeedKind::Config;

    fn poll_pause(&self) -> Duration {
        Duration::ZERO
    }

    fn poll_wait(&self) -> Duration {
        self.poll_wait
    }

    fn replace_all(&mut self, records: &[RawRecord], now: Instant) {
        let mut evacuated = BTreeSet::new();
        for record in records {
            match (self.records.key)(&record.key) {
                Some(OperatorKey::Config) => drop(self.apply_config_record(record)),
                Some(OperatorKey::Evacuation { zone }) if !record.value.is_empty() => {
                    evacuated.insert(zone);
                }
                Some(OperatorKey::Evacuation { .. }) | None => {}
            }
        }
        self.evacuations.replace_all(&evacuated, now);
    }

    fn apply(&mut self, record: &RawRecord, now: Instant) -> bool {
        match (self.records.key)(&record.key) {
            Some(OperatorKey::Config) => self.apply_config_record(record),
            Some(OperatorKey::Evacuation { zone }) if record.value.is_empty() => {
                self.evacuations.end(&zone, now)
            }
            Some(OperatorKey::Evacuation { zone }) => self.evacuations.begin(&zone),
            None => false,
        }
    }

    fn digest(&self) -> u64 {
        let zones = self.evacuations.zones();
        let zones = zones.iter().map(|zone| xxh3_64(zone.as_bytes()));
        zones.fold(self.state.version(), |digest, zone| digest ^ zone)
    }

    fn confirmed(&mut self, at: BootInstant) {
        if self.is_readable {
            self.state.confirm(at);
        }
    }

    fn return_time(&self, _outage: Duration, _changes: &[RawRecord], now: Instant) -> Instant {
        now
    }

    fn store_returned(&mut self, _outage: Duration, _at: Instant) {}

    fn expire(&mut self, _now: Instant) -> Option<Instant> {
        None
    }
}
