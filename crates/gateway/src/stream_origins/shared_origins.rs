use {
    super::{
        allowed_versions::AllowedVersions,
        open_stream::OpenStream,
        origin_store::{OriginBatch, StreamOrigin},
        origin_table::OriginTable,
        refresh_rounds::RefreshRounds,
        stream_key::StreamKey,
        version_hash::VersionHash,
        version_ledger::VersionLedger,
        version_record::{VersionListing, VersionRecord},
    },
    crate::{
        clock::BootInstant,
        config::ConfigState,
        endpoints::{Directory, RENEWAL_TIME},
        peers::PeerState,
        records::{Continuity, FeedKind},
        telemetry::{GatewayMetrics, event},
    },
    serde_json::{Map, Value, json},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::{Duration, Instant, SystemTime},
    },
    tokio::{sync::Notify, time::sleep},
};

/// Added to the longest time for which callers wait, since hosts learn of endpoints late and
/// their clocks differ.
const LIFETIME_MARGIN: Duration = Duration::from_secs(10);
/// Longest time for which a caller is expected to wait for a stream and to take it up again.
const MAX_CALLER_WAIT: Duration = Duration::from_secs(120);
/// Time after the start within which the record of the versions in service is read if the store can
/// be reached.
const MAX_SETTLING_TIME: Duration = Duration::from_secs(5);
/// Most origins in one batch.
const MAX_BATCH_ORIGINS: usize = 2_000;
/// Longest time for which a request waits until its origin is found.
const MAX_FIND_TIME: Duration = Duration::from_secs(1);
/// Part of the time left of a request for which it waits until its origin is found.
const MAX_FIND_FRACTION: f64 = 0.25;

/// Time within which a host appends the origin of a stream whose connection has broken.
const LATE_APPEND_TIME: Duration = Duration::from_millis(150);

/// What this host knows of the origins of streams, which all its connections share.
pub(crate) struct SharedOrigins {
    config: Rc<ConfigState>,
    directory: Rc<Directory>,
    peers: Rc<PeerState>,
    metrics: Rc<GatewayMetrics>,
    /// Largest age of the directory at which it shows that a version has no endpoints.
    max_directory_age: Duration,
    table: RefCell<OriginTable>,
    ledger: RefCell<VersionLedger>,
    started_at: Instant,
    /// The longest time that a caller was ready to wait for its stream.
    longest_wait: Cell<Duration>,
    pub(super) refreshes: RefreshRounds,
    /// Signals that a stream began whose origin is to be appended to the log.
    pub(super) stream_began: Notify,
    /// Signals that such a stream broke, so that its origin may be asked for.
    pub(super) stream_broke: Notify,
}

/// A request that goes on with a stream of an earlier one.
pub(crate) struct TakeUp<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) service: &'a Rc<str>,
    /// `None` if the caller does not say which request brought the first event.
    pub(crate) stream: Option<StreamKey>,
    pub(crate) time_left: Duration,
}

/// The software version at which a stream began is not known, and several are possible.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OriginUnknown;

/// How the origin of a stream was found.
#[derive(Clone, Copy, Debug, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum OriginSource {
    Memory,
    Log,
    /// No other software version is possible.
    OnlyVersion,
}

impl SharedOrigins {
    pub(crate) fn new(
        config: Rc<ConfigState>,
        directory: Rc<Directory>,
        peers: Rc<PeerState>,
        metrics: Rc<GatewayMetrics>,
        max_directory_age: Duration,
    ) -> SharedOrigins {
        SharedOrigins {
            config,
            directory,
            peers,
            metrics,
            max_directory_age,
            table: RefCell::default(),
            ledger: RefCell::default(),
            started_at: Instant::now(),
            longest_wait: Cell::default(),
            refreshes: RefreshRounds::default(),
            stream_began: Notify::new(),
            stream_broke: Notify::new(),
        }
    }

    /// Records that a caller is ready to wait this long for a stream.
    pub(crate) fn record_wait(&self, time: Duration) {
        self.longest_wait.set(self.longest_wait.get().max(time.min(MAX_CALLER_WAIT)));
    }

    /// Time after its last event within which a stream may be taken up.
    pub(super) fn lifetime(&self) -> Duration {
        self.longest_wait.get() + LIFETIME_MARGIN
    }

    /// Records the version that brought the first event, or goes on with the stream.
    pub(crate) fn open(
        self: &Rc<Self>,
        service: &Rc<str>,
        stream: StreamKey,
        version: VersionHash,
    ) -> OpenStream {
        let expires_at = Instant::now() + self.lifetime();
        self.table.borrow_mut().add_own(service, stream, version, expires_at);
        if self.ledger.borrow().has_several(service) {
            self.stream_began.notify_one();
        }
        OpenStream::new(self.clone(), service.clone(), stream)
    }

    pub(super) fn record_complete(&self, stream: StreamKey) {
        self.table.borrow_mut().set_complete(stream);
    }

    /// Records that the caller of a stream may take it up, through any host.
    pub(super) fn record_broken(&self, service: &str) {
        if self.ledger.borrow().has_several(service) {
            self.stream_broke.notify_one();
        }
    }

    /// Finds the software version at which the stream of a request began.
    pub(crate) async fn find(&self, take_up: &TakeUp<'_>) -> Result<VersionHash, OriginUnknown> {
        let found = self.find_with_source(take_up).await;
        let TakeUp { request_id, service, .. } = take_up;
        match found {
            Some((version, source)) => {
                self.metrics.count_take_up(source.into());
                event!("stream_taken_up", "id={request_id} origin={version:016x} source={source}");
                Ok(version)
            }
            None => {
                self.metrics.count_take_up("unknown");
                let versions = self.ledger.borrow().possible(service).join(",");
                event!("stream_origin_unknown", "id={request_id} versions={versions}");
                Err(OriginUnknown)
            }
        }
    }

    async fn find_with_source(&self, take_up: &TakeUp<'_>) -> Option<(VersionHash, OriginSource)> {
        let known = || take_up.stream.and_then(|stream| self.table.borrow().get(stream));
        if let Some(version) = known() {
            return Some((version, OriginSource::Memory));
        }
        self.observe_versions();
        // without the name of its first request, a stream goes on only if one version is possible
        if take_up.stream.is_none() && self.ledger.borrow().has_several(take_up.service) {
            return None;
        }
        let time_limit = take_up.time_left.mul_f64(MAX_FIND_FRACTION).min(MAX_FIND_TIME);
        for is_second_look in [false, true] {
            // the host that had the stream may have noticed only now that it broke, and this one that
            // its directory is out of date
            if is_second_look {
                sleep(LATE_APPEND_TIME.min(time_limit)).await;
            }
            let is_refreshed = self.refreshes.wait(time_limit).await;
            if let Some(version) = known() {
                return Some((version, OriginSource::Log));
            }
            if !is_refreshed {
                return None;
            }
            self.observe_versions();
            if let Some(version) = self.ledger.borrow().only(take_up.service, Instant::now()) {
                return Some((version, OriginSource::OnlyVersion));
            }
        }
        None
    }

    /// The software versions at which a stream that may be taken up can begin.
    pub(crate) fn versions_to_begin(&self, service: &str) -> AllowedVersions {
        self.ledger.borrow().versions_to_begin(service, Instant::now())
    }

    /// Whether streams can begin: the record of the versions in service was read, or cannot be read by
    /// this host.
    pub(crate) fn is_settled(&self) -> bool {
        self.ledger.borrow().is_listed() || self.started_at.elapsed() >= MAX_SETTLING_TIME
    }

    /// Takes over which versions the directory has.
    pub(super) fn observe_versions(&self) {
        if let Some(config) = self.config.current() {
            self.record_wait(config.longest_stream());
        }
        let is_up_to_date = self.is_directory_up_to_date();
        let present = self.directory.versions_by_service();
        let mut ledger = self.ledger.borrow_mut();
        ledger.observe(&present, is_up_to_date, self.lifetime(), Instant::now());
    }

    /// Whether the directory had all endpoints a moment ago. After an outage of the store it may lack those
    /// whose records have expired.
    fn is_directory_up_to_date(&self) -> bool {
        let feed = self.peers.published_feed(FeedKind::Endpoints).borrow();
        let age = feed.confirmation_age(BootInstant::now());
        let is_recent = age.is_some_and(|age| age <= self.max_directory_age);
        let Continuity { span, follows_outage } = feed.continuity();
        is_recent && (!follows_outage || span >= RENEWAL_TIME)
    }

    pub(super) fn version_proposals(&self) -> Vec<VersionRecord> {
        self.ledger.borrow().proposals(self.lifetime(), Instant::now(), SystemTime::now())
    }

    pub(super) fn apply_version_listing(&self, listing: &VersionListing) {
        let is_first = !self.ledger.borrow().is_listed();
        self.ledger.borrow_mut().apply_listing(listing, SystemTime::now());
        self.observe_versions();
        if is_first {
            event!("versions_listed", "services={}", listing.records.len());
        }
    }

    pub(super) fn apply_appended_versions(&self, records: &[VersionRecord]) {
        for VersionRecord { service, versions } in records {
            let versions: Vec<&str> = versions.iter().map(|named| &*named.version).collect();
            event!("versions_recorded", "service={service} versions={}", versions.join(","));
        }
        self.ledger.borrow_mut().apply_appended(records, SystemTime::now());
    }

    pub(super) fn any_has_several_versions(&self) -> bool {
        self.ledger.borrow().any_has_several()
    }

    /// Origins that are to be appended to the log: of services with several software versions, and
    /// of streams that callers may still take up.
    pub(super) fn unlogged(&self) -> Vec<StreamOrigin> {
        let mut table = self.table.borrow_mut();
        table.expire(Instant::now());
        let ledger = self.ledger.borrow();
        table.unlogged(|service| ledger.has_several(service), MAX_BATCH_ORIGINS)
    }

    pub(super) fn set_logged(&self, origins: &[StreamOrigin]) {
        self.table.borrow_mut().set_logged(origins);
    }

    /// Adds origins from the log, unless their streams have ended for their callers.
    pub(super) fn add_logged(&self, batch: &OriginBatch) {
        let age = SystemTime::now().duration_since(batch.written_at).unwrap_or_default();
        let Some(time_left) = self.lifetime().checked_sub(age) else { return };
        let expires_at = Instant::now() + time_left;
        let mut table = self.table.borrow_mut();
        for origin in &batch.origins {
            table.add(origin.stream, origin.version, expires_at);
        }
    }

    /// What this host knows, as JSON for the state dump.
    pub(crate) fn state(&self) -> Value {
        let ledger = self.ledger.borrow();
        let versions: Map<String, Value> = ledger
            .all_possible()
            .into_iter()
            .map(|(service, versions)| (service.to_string(), versions.join(",").into()))
            .collect();
        json!({
            "known": self.table.borrow().len(),
            "versions_listed": ledger.is_listed(),
            "possible_versions": versions,
            "lifetime_ms": self.lifetime().as_millis(),
        })
    }
}
