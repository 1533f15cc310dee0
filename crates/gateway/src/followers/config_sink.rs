use {
    super::{
        record_sink::{Applied, RecordDecoder, RecordSink},
        unsettled_evacuations::UnsettledEvacuations,
    },
    crate::{
        clock::Now,
        config::{ConfigState, Evacuations, OperatorKey, RoutingConfig},
        records::{Era, FeedKind, RawRecord},
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
    /// Whether the store came back from an older copy that was not listed yet.
    has_new_era: bool,
    /// Whether the store has no configuration, or only an older one than that in force, since it came
    /// back from an older copy: the operators are about to write it again.
    is_ahead_of_store: bool,
    /// Evacuations that are missing in the older copy, and may be written again.
    unsettled: Option<UnsettledEvacuations>,
}

impl ConfigSink {
    pub(crate) fn new(
        state: Rc<ConfigState>,
        evacuations: Rc<Evacuations>,
        records: OperatorRecords,
        poll_wait: Duration,
        metrics: Rc<GatewayMetrics>,
    ) -> ConfigSink {
        ConfigSink {
            state,
            evacuations,
            records,
            metrics,
            poll_wait,
            is_readable: false,
            has_new_era: false,
            is_ahead_of_store: false,
            unsettled: None,
        }
    }

    /// Applies a configuration unless a newer one is in force.
    fn apply_config(&self, config: Rc<RoutingConfig>, offset: u64) {
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
    }

    /// Ends the evacuations that have not been written again since the store came back from an older
    /// copy.
    fn settle_evacuations(&mut self, now: Instant) {
        if let Some(unsettled) = self.unsettled.take() {
            self.evacuations.replace_all(unsettled.zones(), now);
        }
    }

    /// Applies a record of the configuration. Returns whether peers need it: it is not older than the
    /// configuration in force, which may have been missing in the store or in peers; it cannot be read,
    /// so that nothing is confirmed any more; or it replaces one that could not.
    fn apply_config_record(&mut self, record: &RawRecord) -> bool {
        let (key, offset) = (&record.key, record.offset);
        if record.value.is_empty() {
            event!("config_record_removed", "key={key:?} offset={offset}");
            return false;
        }
        match (self.records.decode_config)(key, &record.value) {
            Ok(config) => {
                let was_readable = std::mem::replace(&mut self.is_readable, true);
                let is_older = config.version < self.state.version();
                let was_ahead = self.is_ahead_of_store;
                self.is_ahead_of_store = is_older && was_ahead;
                self.apply_config(config, offset);
                !is_older || !was_readable
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

    fn era_known(&mut self, era: Era, _now: Instant) {
        self.metrics.store_era.set(era as i64);
    }

    fn era_changed(&mut self, era: Era, _now: Instant) {
        self.metrics.store_era.set(era as i64);
        self.has_new_era = true;
    }

    fn is_ahead_of_store(&self) -> bool {
        self.is_ahead_of_store
    }

    /// Evacuations that are missing in an older copy stay in force until they may have been written
    /// again.
    fn replace_all(&mut self, records: &[RawRecord], now: Instant) -> Vec<Box<str>> {
        let has_new_era = std::mem::take(&mut self.has_new_era);
        if has_new_era {
            self.is_ahead_of_store = self.state.current().is_some();
        }
        let mut evacuated = BTreeSet::new();
        let mut newer = Vec::new();
        for record in records {
            match (self.records.key)(&record.key) {
                Some(OperatorKey::Config) => {
                    self.apply_config_record(record);
                    newer.extend(self.is_ahead_of_store.then(|| record.key.clone()));
                }
                Some(OperatorKey::Evacuation { zone }) if !record.value.is_empty() => {
                    evacuated.insert(zone);
                }
                Some(OperatorKey::Evacuation { .. }) | None => {}
            }
        }
        if has_new_era {
            self.unsettled = Some(UnsettledEvacuations::new(now));
        }
        match &mut self.unsettled {
            Some(unsettled) => {
                for zone in &evacuated {
                    self.evacuations.begin(zone);
                }
                unsettled.replace_all(evacuated);
            }
            None => self.evacuations.replace_all(&evacuated, now),
        }
        newer
    }

    fn apply(&mut self, record: &RawRecord, now: Instant) -> Applied {
        let is_news = match (self.records.key)(&record.key) {
            Some(OperatorKey::Config) => {
                let is_news = self.apply_config_record(record);
                if !self.is_ahead_of_store {
                    self.settle_evacuations(now);
                }
                is_news
            }
            Some(OperatorKey::Evacuation { zone }) if record.value.is_empty() => {
                if let Some(unsettled) = &mut self.unsettled {
                    unsettled.end(&zone);
                }
                self.evacuations.end(&zone, now)
            }
            Some(OperatorKey::Evacuation { zone }) => {
                if let Some(unsettled) = &mut self.unsettled {
                    unsettled.begin(&zone);
                }
                self.evacuations.begin(&zone)
            }
            None => false,
        };
        Applied::from_news(is_news)
    }

    fn digest(&self) -> u64 {
        let zones = self.evacuations.zones();
        let zones = zones.iter().map(|zone| xxh3_64(zone.as_bytes()));
        zones.fold(self.state.version(), |digest, zone| digest ^ zone)
    }

    fn confirmed(&mut self, at: Now) {
        if self.is_readable {
            self.state.confirm(at.boot);
        }
    }

    fn return_time(&self, _outage: Duration, _changes: &[RawRecord], now: Instant) -> Instant {
        now
    }

    fn store_returned(&mut self, _outage: Duration, _at: Instant) {}

    fn expire(&mut self, now: Instant) -> Option<Instant> {
        if self.unsettled.as_ref().is_some_and(|unsettled| unsettled.settled_at() <= now) {
            self.settle_evacuations(now);
        }
        self.unsettled.as_ref().map(UnsettledEvacuations::settled_at)
    }
}
