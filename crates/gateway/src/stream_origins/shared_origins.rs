use {
    super::{
        origin_store::{OriginBatch, StreamOrigin},
        origin_table::OriginTable,
        refresh_rounds::RefreshRounds,
        stream_key::StreamKey,
        version_hash::{VersionHash, version_hash},
    },
    crate::{
        endpoints::{Directory, EndpointRecord},
        telemetry::{GatewayMetrics, event},
    },
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
        rc::Rc,
        time::{Duration, Instant, SystemTime},
    },
};

/// Added to the longest time for which callers wait, since hosts learn of endpoints late and
/// their clocks differ.
const LIFETIME_MARGIN: Duration = Duration::from_secs(10);
/// Longest time for which a caller is expected to wait for a stream and to take it up again.
const MAX_CALLER_WAIT: Duration = Duration::from_secs(120);
/// Most origins in one batch.
const MAX_BATCH_ORIGINS: usize = 2_000;
/// Longest time for which a request waits until its origin is found.
const MAX_FIND_TIME: Duration = Duration::from_secs(1);
/// Part of the time left of a request for which it waits until its origin is found.
const MAX_FIND_FRACTION: f64 = 0.25;

/// What this host knows of the origins of streams, which all its connections share.
pub(crate) struct SharedOrigins {
    directory: Rc<Directory>,
    metrics: Rc<GatewayMetrics>,
    table: RefCell<OriginTable>,
    /// The longest time that a caller was ready to wait for its stream.
    longest_wait: Cell<Duration>,
    pub(super) refreshes: RefreshRounds,
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
    pub(crate) fn new(directory: Rc<Directory>, metrics: Rc<GatewayMetrics>) -> SharedOrigins {
        SharedOrigins {
            directory,
            metrics,
            table: RefCell::default(),
            longest_wait: Cell::default(),
            refreshes: RefreshRounds::default(),
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
    pub(crate) fn record(&self, service: &Rc<str>, stream: StreamKey, version: VersionHash) {
        let expires_at = Instant::now() + self.lifetime();
        self.table.borrow_mut().add_own(service, stream, version, expires_at);
    }

    /// Records that the caller has the whole stream.
    pub(crate) fn record_complete(&self, stream: StreamKey) {
        self.table.borrow_mut().set_complete(stream);
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
                let versions = self.possible_versions(service).len();
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
        if let Some(version) = self.only_version(take_up.service) {
            return Some((version, OriginSource::OnlyVersion));
        }
        take_up.stream?;
        let time_limit = take_up.time_left.mul_f64(MAX_FIND_FRACTION).min(MAX_FIND_TIME);
        self.refreshes.wait(time_limit).await;
        known().map(|version| (version, OriginSource::Log))
    }

    /// The software versions of a service at which streams may have begun.
    fn possible_versions(&self, service: &str) -> BTreeSet<VersionHash> {
        let endpoints = self.directory.of_service(service);
        let version_of = |record: &EndpointRecord| version_hash(&record.software_version);
        endpoints.iter().map(|endpoint| version_of(&endpoint.record.borrow())).collect()
    }

    fn only_version(&self, service: &str) -> Option<VersionHash> {
        let versions = self.possible_versions(service);
        (versions.len() == 1).then(|| versions.first().copied()).flatten()
    }

    /// Origins that are to be appended to the log: of services with several software versions, and
    /// of streams that callers may still take up.
    pub(super) fn unlogged(&self) -> Vec<StreamOrigin> {
        let mut table = self.table.borrow_mut();
        table.expire(Instant::now());
        table.unlogged(|service| self.possible_versions(service).len() > 1, MAX_BATCH_ORIGINS)
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

    /// Number of streams whose origin is known.
    pub(crate) fn len(&self) -> usize {
        self.table.borrow().len()
    }
}
