use {
    super::{
        doubtful_records::DoubtfulRecords,
        known_records::{KnownRecords, RecordNews},
        record_sink::{Applied, RecordDecoder, RecordSink},
        unreadable_records::UnreadableRecords,
    },
    crate::{
        clock::Now,
        endpoints::{Directory, EndpointId, EndpointRecord, RENEWAL_TIME},
        records::{Era, FeedKind, RawRecord},
        telemetry::{GatewayMetrics, event},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::{Duration, Instant, SystemTime},
    },
};

/// Shortest outage of the store in which endpoint records may expire, in heartbeats.
const MIN_OUTAGE_HEARTBEATS: u32 = 2;
/// Time for which a doubtful record has to stand, in heartbeats: longer than the store keeps the record of
/// an endpoint that is silent.
const ACCEPTANCE_HEARTBEATS: f64 = 3.5;
/// The same for a record in an older copy of the store whose endpoint may have left: longer than the
/// record lasts and the hosts take to learn of its removal.
const OLDER_COPY_HEARTBEATS: f64 = 7.0;
/// Longest time in which the store executes a call whose answer was lost.
const LATE_EXECUTION_TIME: Duration = Duration::from_secs(7);

/// Applies endpoint records to the directory of endpoints.
pub(crate) struct EndpointSink {
    directory: Rc<Directory>,
    decode: RecordDecoder<EndpointRecord>,
    /// Interval at which each endpoint writes its record.
    heartbeat: Duration,
    poll_pause: Duration,
    metrics: Rc<GatewayMetrics>,
    known: KnownRecords,
    doubtful: DoubtfulRecords,
    /// Endpoints whose record was accepted after it was held back, of which peers are told with the next one.
    untold_acceptances: BTreeSet<EndpointId>,
    unreadable: UnreadableRecords,
    /// Endpoints whose record is removed before this time stay in use until then: the record
    /// may have expired in an outage of the store.
    keep_removed_until: Option<Instant>,
    /// Whether the store came back from an older copy that was not listed yet.
    has_new_era: bool,
    /// Until then, heartbeats are news to peers: they show which records of an older copy are those of
    /// endpoints that run.
    heartbeats_are_news_until: Option<Instant>,
    /// Up to when all records are known.
    confirmed_at: Option<Instant>,
    /// Time by which doubtful records were postponed since then.
    postponed: Duration,
}

impl EndpointSink {
    pub(crate) fn new(
        directory: Rc<Directory>,
        decode: RecordDecoder<EndpointRecord>,
        heartbeat: Duration,
        poll_pause: Duration,
        metrics: Rc<GatewayMetrics>,
    ) -> EndpointSink {
        EndpointSink {
            directory,
            decode,
            heartbeat,
            poll_pause,
            metrics,
            known: KnownRecords::default(),
            doubtful: DoubtfulRecords::default(),
            untold_acceptances: BTreeSet::new(),
            unreadable: UnreadableRecords::default(),
            keep_removed_until: None,
            has_new_era: false,
            heartbeats_are_news_until: None,
            confirmed_at: None,
            postponed: Duration::ZERO,
        }
    }

    fn removal_grace_end(&self, now: Instant) -> Option<Instant> {
        self.keep_removed_until.filter(|until| now < *until)
    }

    /// Passes heartbeats on for as long as other hosts may hold back what an older copy has.
    fn pass_heartbeats_on(&mut self, now: Instant) {
        self.heartbeats_are_news_until = Some(now + self.heartbeat.mul_f64(OLDER_COPY_HEARTBEATS));
    }

    /// Whether the log was confirmed a moment ago, or is not followed yet.
    fn is_in_touch(&self, now: Instant) -> bool {
        let max_age = (self.heartbeat * MIN_OUTAGE_HEARTBEATS).max(self.poll_pause * 2);
        self.confirmed_at.is_none_or(|at| now.saturating_duration_since(at) < max_age)
    }

    /// How many records half of the known endpoints have written at least, since their last removal.
    /// The first one after a removal does not count: it says only that its endpoint is back.
    fn median_heartbeats(&self, changes: &[RawRecord]) -> u32 {
        let mut heartbeats: BTreeMap<&str, u32> =
            self.known.all().map(|known| (&*known.id, 0)).collect();
        let mut removed: BTreeSet<&str> = BTreeSet::new();
        for record in changes {
            let Some(heartbeats) = heartbeats.get_mut(&*record.key) else { continue };
            if record.value.is_empty() {
                *heartbeats = 0;
                removed.insert(&record.key);
            } else if !removed.remove(&*record.key) {
                *heartbeats += 1;
            }
        }
        let mut counts: Vec<u32> = heartbeats.into_values().collect();
        counts.sort_unstable();
        counts.get(counts.len().saturating_sub(1) / 2).copied().unwrap_or(0)
    }

    /// Decodes and checks a record. Counts and logs one that cannot come from an endpoint, unless
    /// the last one with its key was such a record too.
    fn decode(&mut self, record: &RawRecord) -> Option<EndpointRecord> {
        let decoded = (self.decode)(&record.key, &record.value).and_then(|endpoint| match endpoint
            .check(SystemTime::now())
        {
            Ok(()) => Ok(endpoint),
            Err(implausible) => Err(implausible.to_string().into()),
        });
        match decoded {
            Ok(endpoint) => {
                self.unreadable.forget(&record.key);
                Some(endpoint)
            }
            Err(reason) => {
                if self.unreadable.record(record, &reason) {
                    self.metrics.unreadable_endpoint_records.inc();
                }
                None
            }
        }
    }

    /// Applies a removal. Peers need each one, also of an endpoint that this host does not know.
    fn apply_removal(&mut self, id: &str, now: Instant) -> Applied {
        let keep_until = self.removal_grace_end(now);
        match keep_until {
            Some(_) => self.known.remove_expired(id, now),
            None => self.known.remove_departed(id, now),
        }
        self.doubtful.forget(id);
        self.untold_acceptances.remove(id);
        self.directory.remove(id, keep_until);
        match self.last_needed_until(id) {
            Some(last_needed_until) => Applied::Departed { last_needed_until },
            None => Applied::InForce,
        }
    }

    fn apply_record(&mut self, record: &RawRecord, now: Instant) -> Applied {
        let was_unreadable = self.unreadable.contains(&record.key);
        let Some(endpoint) = self.decode(record) else { return Applied::Unused };
        let news = self.known.update(&endpoint, now);
        if news == RecordNews::Doubtful {
            self.hold_doubtful(endpoint, now);
            return Applied::HeldBack;
        }
        let settles_doubt = self.settle_doubt(&endpoint);
        let was_accepted = self.untold_acceptances.remove(&endpoint.id);
        self.directory.upsert(endpoint);
        // hosts that listed the unreadable record do not know the endpoint, and those that hold the
        // doubtful one back would accept it
        let is_renewal = self.heartbeats_are_news_until.is_some_and(|until| now < until);
        let is_needed = was_unreadable || settles_doubt || was_accepted || is_renewal;
        match news == RecordNews::Heartbeat && !is_needed {
            true => Applied::Repeated,
            false => Applied::InForce,
        }
    }

    /// Holds back a record that another writer may have written, or that may have been sent before its
    /// endpoint left.
    fn hold_doubtful(&mut self, record: EndpointRecord, now: Instant) {
        let standing = self.heartbeat.mul_f64(ACCEPTANCE_HEARTBEATS);
        let is_in_force = self.known.get(&record.id).is_some();
        let time = if is_in_force { standing } else { LATE_EXECUTION_TIME + standing };
        self.hold(record, time, now);
    }

    /// Holds back a record that may be another writer's, until it has stood for some time.
    fn hold(&mut self, record: EndpointRecord, time: Duration, now: Instant) {
        self.metrics.doubtful_endpoint_records.inc();
        event!(
            "endpoint_record_doubtful",
            "endpoint={} service={} address={} state={} sequence={}",
            record.id,
            record.service,
            record.address,
            record.state,
            record.sequence
        );
        self.doubtful.hold(record, now + time);
    }

    /// Forgets the record of an endpoint that is held back, since the endpoint has written its own again.
    /// Returns whether there was one.
    fn settle_doubt(&mut self, record: &EndpointRecord) -> bool {
        let was_held = self.doubtful.forget(&record.id);
        if was_held {
            event!(
                "endpoint_record_settled",
                "endpoint={} state={} sequence={}",
                record.id,
                record.state,
                record.sequence
            );
        }
        was_held
    }
}

impl RecordSink for EndpointSink {
    const KIND: FeedKind = FeedKind::Endpoints;

    fn poll_pause(&self) -> Duration {
        self.poll_pause
    }

    /// Zero: all endpoints together write several records a second, so a wait would end at
    /// once.
    fn poll_wait(&self) -> Duration {
        Duration::ZERO
    }

    /// The store may have come back from an older copy just before this host started.
    fn era_known(&mut self, era: Era, now: Instant) {
        if era > 0 {
            self.pass_heartbeats_on(now);
        }
    }

    /// Endpoints that are missing in the older copy write their records again; they are kept meanwhile.
    fn era_changed(&mut self, _era: Era, now: Instant) {
        let renewed_at = now + self.heartbeat.mul_f64(ACCEPTANCE_HEARTBEATS);
        self.keep_removed_until = self.keep_removed_until.max(Some(renewed_at));
        self.pass_heartbeats_on(now);
        self.doubtful = DoubtfulRecords::default();
        self.has_new_era = true;
    }

    fn is_ahead_of_store(&self) -> bool {
        false
    }

    /// An endpoint whose record in the listing cannot be read keeps its last one.
    fn replace_all(&mut self, records: &[RawRecord], now: Instant) -> Vec<Box<str>> {
        let listed = records.iter().filter(|record| !record.value.is_empty());
        let mut endpoints: Vec<EndpointRecord> = listed
            .filter_map(|record| match self.decode(record) {
                Some(endpoint) => Some(endpoint),
                None => self.known.get(&record.key).cloned(),
            })
            .collect();
        self.doubtful.retain(|id| endpoints.iter().any(|record| *record.id == *id));
        // an older copy may have records of endpoints that have left since
        let has_new_era = std::mem::take(&mut self.has_new_era);
        let may_have_left = |record: &mut EndpointRecord| {
            let is_unknown = self.known.get(&record.id).is_none();
            is_unknown && (has_new_era || self.doubtful.holds(record))
        };
        let unknown: Vec<_> = endpoints.extract_if(.., may_have_left).collect();
        let mut held_back: Vec<Box<str>> =
            unknown.iter().map(|record| Box::from(&*record.id)).collect();
        for record in unknown {
            self.hold(record, self.heartbeat.mul_f64(OLDER_COPY_HEARTBEATS), now);
        }
        let keep_until = self.removal_grace_end(now);
        let older = self.known.replace_all(endpoints, keep_until.is_some(), now);
        held_back.extend(older.iter().map(|record| Box::from(&*record.id)));
        for record in older {
            self.hold_doubtful(record, now);
        }
        let endpoints = self.known.all().cloned().collect();
        self.directory.replace_all(endpoints, keep_until);
        self.metrics.endpoints.set(self.directory.len() as i64);
        held_back
    }

    fn apply(&mut self, record: &RawRecord, now: Instant) -> Applied {
        let applied = match record.value.is_empty() {
            true => self.apply_removal(&record.key, now),
            false => self.apply_record(record, now),
        };
        self.metrics.endpoints.set(self.directory.len() as i64);
        applied
    }

    fn apply_last(&mut self, record: &RawRecord, now: Instant) {
        if let Some(endpoint) = self.decode(record) {
            self.known.update(&endpoint, now);
        }
    }

    /// If the one that the relay has in force is held back here, it stays so.
    fn apply_held_back(&mut self, record: &RawRecord, now: Instant) -> Applied {
        let has_record = self.known.get(&record.key).is_some();
        match !has_record && self.doubtful.holds_any(&record.key) {
            true => Applied::HeldBack,
            false => self.apply(record, now),
        }
    }

    fn records_skipped(&mut self) {
        self.known.record_skipped();
    }

    fn last_needed_until(&self, key: &str) -> Option<Instant> {
        self.known.last_record_needed_until(key)
    }

    fn holds_back(&self, key: &str) -> bool {
        self.doubtful.holds_any(key)
    }

    fn digest(&self) -> u64 {
        self.known.digest()
    }

    fn confirmed(&mut self, at: Now) {
        self.confirmed_at = self.confirmed_at.max(Some(at.instant));
        self.postponed = Duration::ZERO;
    }

    fn return_time(&self, outage: Duration, changes: &[RawRecord], now: Instant) -> Instant {
        // each endpoint writes one record per heartbeat: the number of records shows for how
        // long the endpoints could reach the store while this host could not
        let store_present = self.heartbeat.saturating_mul(self.median_heartbeats(changes));
        now.checked_sub(store_present.min(outage)).unwrap_or(now)
    }

    fn store_returned(&mut self, outage: Duration, at: Instant) {
        if outage < self.heartbeat * MIN_OUTAGE_HEARTBEATS {
            return;
        }
        event!(
            "endpoint_records_after_absence",
            "away_ms={} store_present_ms={}",
            outage.as_millis(),
            at.elapsed().as_millis()
        );
        let renewed_at = at + RENEWAL_TIME;
        self.keep_removed_until = self.keep_removed_until.max(Some(renewed_at));
        self.directory.postpone_removals(renewed_at);
        // endpoints could not write, and records did not lapse
        self.doubtful.postpone(outage.saturating_sub(self.postponed));
        self.postponed = self.postponed.max(outage);
    }

    fn expire(&mut self, now: Instant) -> Option<Instant> {
        // a record that was replaced or removed meanwhile does not stand any more
        let confirmed_at = self.confirmed_at.unwrap_or(now).min(now);
        for record in self.doubtful.take_accepted(confirmed_at) {
            event!("endpoint_record_accepted", "endpoint={}", record.id);
            self.untold_acceptances.insert(record.id.clone());
            self.known.accept(record.clone());
            self.directory.upsert(record);
        }
        // endpoints cannot write their records again while the store is away
        let due = match self.is_in_touch(now) {
            true => self.directory.expire(now),
            false => {
                self.directory.prune_idle_connections(now);
                None
            }
        };
        self.metrics.endpoints.set(self.directory.len() as i64);
        [due, self.doubtful.next_due(now)].into_iter().flatten().min()
    }
}
