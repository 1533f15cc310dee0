use {
    super::{
        compiled::Config,
        config_metrics::ConfigMetrics,
        config_state::{ConfigEvent, ConfigState},
        follower::Follower,
        peer_snapshot::SerializedConfig,
        publish_error::PublishError,
        snapshot_source::SnapshotSource,
        snapshot_writer::SnapshotWriter,
    },
    crate::{
        logging::quoted,
        metrics::Metrics,
        platform::{LogClient, LogError, RecordLog},
    },
    arc_swap::ArcSwap,
    log::{error, info, warn},
    mango_config::{HistoryEntry, HistoryOutcome},
    mango_wire::{
        Offset,
        config::{Change, ConfigRecord, Snapshot},
        peer::{ConfigReply, ConfigRequest},
        platform::LogRecord,
        settings::PlatformSettings,
    },
    parking_lot::{Condvar, Mutex},
    serde::Serialize,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Instant,
    },
};

/// Log stream that holds the configuration records.
pub(super) const STREAM: &str = "config";

/// State of the configuration for `/readyz` and `/state`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ConfigStatus {
    /// Version of the configuration in force; 0 if there is none.
    pub(crate) version: u64,
    /// Number of objects.
    pub(crate) objects: usize,
    /// Offset from which the log is read next.
    pub(crate) position: Offset,
    /// Whether the configuration reflects all records below `position`.
    pub(crate) following: bool,
    /// Reason why the configuration is missing or out of date.
    pub(crate) trouble: Option<String>,
}

/// Holds the configuration in force, which is derived from the log stream
/// `config`, and publishes changes to that stream.
pub(crate) struct ConfigStore<L = LogClient> {
    log: L,
    max_record_bytes: usize,
    state: Mutex<ConfigState>,
    state_updated: Condvar,
    current: ArcSwap<Config>,
    serialized: Mutex<Option<Arc<SerializedConfig>>>,
    trouble: Mutex<Option<String>>,
    snapshot_seen_at_ms: Mutex<Option<u64>>,
    metrics: ConfigMetrics,
    stopped: AtomicBool,
}

impl<L: RecordLog> ConfigStore<L> {
    /// Creates a store without the thread that reads the log; see `spawn`.
    pub(crate) fn new(log: L, settings: &PlatformSettings, metrics: &Metrics) -> Self {
        Self {
            log,
            max_record_bytes: settings.max_record_bytes as usize,
            state: Mutex::new(ConfigState::new()),
            state_updated: Condvar::new(),
            current: ArcSwap::default(),
            serialized: Mutex::default(),
            trouble: Mutex::new(Some("the log was not read yet".to_owned())),
            snapshot_seen_at_ms: Mutex::default(),
            metrics: ConfigMetrics::register(metrics),
            stopped: AtomicBool::new(false),
        }
    }

    /// Starts a store and its thread, which follows the stream and, while
    /// `owns_config` returns true, writes snapshots.
    pub(crate) fn spawn<S, O>(
        log: L,
        peers: S,
        owns_config: O,
        settings: &PlatformSettings,
        metrics: &Metrics,
    ) -> anyhow::Result<Arc<Self>>
    where
        S: SnapshotSource,
        O: Fn() -> bool + Send + 'static,
    {
        let store = Arc::new(Self::new(log, settings, metrics));
        let writer = SnapshotWriter::new(owns_config, settings);
        let follower = Follower::new(store.clone(), peers, writer, settings);
        thread::Builder::new().name("config".to_owned()).spawn(move || follower.run())?;
        Ok(store)
    }

    /// Stops the thread, which ends after at most one poll of the log.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    pub(super) fn log(&self) -> &L {
        &self.log
    }

    pub(super) fn max_record_bytes(&self) -> usize {
        self.max_record_bytes
    }

    pub(super) fn metrics(&self) -> &ConfigMetrics {
        &self.metrics
    }

    /// Configuration in force; version 0 until there is one.
    pub(crate) fn current(&self) -> Arc<Config> {
        self.current.load_full()
    }

    /// Offset from which the log is to be read next.
    pub(crate) fn next(&self) -> Offset {
        self.state.lock().next()
    }

    /// Whether the configuration reflects all records below `next`.
    pub(crate) fn is_following(&self) -> bool {
        self.state.lock().is_following()
    }

    /// Consistent pair of position and configuration, or `None` while records
    /// are missing.
    pub(super) fn position(&self) -> Option<(Offset, Arc<Config>)> {
        let state = self.state.lock();
        state.is_following().then(|| (state.next(), state.config().clone()))
    }

    /// Append time of the last snapshot record read, in milliseconds since the
    /// Unix epoch.
    pub(super) fn snapshot_seen_at_ms(&self) -> Option<u64> {
        *self.snapshot_seen_at_ms.lock()
    }

    /// Buffers a record, which takes effect when a read that covers it is confirmed.
    pub(crate) fn apply(&self, record: LogRecord) {
        self.state.lock().apply(record);
    }

    /// Confirms that all retained records from `from` (inclusive) to `through`
    /// (exclusive) were delivered, and applies them in log order. `first_kept`
    /// is the oldest offset that the log still retains.
    pub(crate) fn confirm(&self, from: Offset, through: Offset, first_kept: Offset) {
        let mut state = self.state.lock();
        let events = state.confirm(from, through, first_kept);
        self.publish_state(&state);
        drop(state);
        for event in events {
            self.report_event(event);
        }
    }

    /// Adopts a peer's configuration while the log can't be read. Returns
    /// whether it is now in force.
    pub(crate) fn adopt_from_peer(&self, snapshot: Snapshot) -> Result<bool, String> {
        let mut state = self.state.lock();
        let adopted = state.adopt_from_peer(snapshot)?;
        self.publish_state(&state);
        Ok(adopted)
    }

    /// Makes the configuration of `state` visible to readers, updates the metrics and
    /// wakes the threads that wait for a change of the state.
    fn publish_state(&self, state: &ConfigState) {
        let config = state.config();
        if config.version() > self.current.load().version() {
            self.current.store(config.clone());
            self.metrics.version.set(config.version() as i64);
            self.metrics.objects.set(config.len() as i64);
        }
        self.metrics.following.set(i64::from(state.is_following()));
        self.state_updated.notify_all();
    }

    fn report_event(&self, event: ConfigEvent) {
        match event {
            ConfigEvent::Decided(entry) => self.report_decision(&entry),
            ConfigEvent::Malformed { offset, detail } => {
                self.metrics.malformed.inc();
                error!("event=config_record_malformed offset={offset} detail={}", quoted(detail));
            }
            ConfigEvent::SnapshotSeen { at_ms } => {
                *self.snapshot_seen_at_ms.lock() = Some(at_ms);
            }
            ConfigEvent::SnapshotAdopted { version } => {
                info!("event=config_snapshot_adopted version={version}");
            }
            ConfigEvent::RecordsLost { position, first_kept } => {
                warn!("event=config_records_expired position={position} first_kept={first_kept}");
            }
            ConfigEvent::ReadSkipped { position } => {
                warn!("event=config_read_skipped position={position}");
            }
        }
    }

    fn report_decision(&self, entry: &HistoryEntry) {
        let (change, author) = (quoted(&entry.change_id), quoted(&entry.author));
        let offset = entry.offset;
        match &entry.outcome {
            HistoryOutcome::Accepted => {
                self.metrics.accepted.inc();
                info!("event=config_accepted version={offset} change={change} author={author}");
            }
            HistoryOutcome::Rejected(rejection) => {
                self.metrics.rejected.inc();
                warn!(
                    "event=config_rejected offset={offset} change={change} author={author} \
                     detail={}",
                    quoted(rejection)
                );
            }
        }
    }

    /// Appends a change to the log and waits until it is read back and accepted
    /// or rejected. Returns the version of the accepted change.
    pub(crate) fn publish(&self, change: Change, deadline: Instant) -> Result<u64, PublishError> {
        self.check_before_append(&change, deadline)?;
        let change_id = change.change_id.clone();
        let body = serde_json::to_string(&ConfigRecord::Change(change))
            .map_err(|e| PublishError::NotApplied(e.to_string()))?;
        if body.len() > self.max_record_bytes {
            let (bytes, limit) = (body.len(), self.max_record_bytes);
            return Err(PublishError::TooLarge { bytes, limit });
        }
        match self.log.append(STREAM, &body, deadline) {
            Ok(offset) => self.wait_for_decision(deadline, |entry| entry.offset == offset),
            Err(LogError::NotApplied(detail)) => Err(PublishError::NotApplied(detail)),
            // if the append took effect, the record is recognised by its change id
            Err(LogError::Unknown(_)) => {
                self.wait_for_decision(deadline, |entry| entry.change_id == change_id)
            }
        }
    }

    /// Rejects, without appending it, a change that is certain to be rejected
    /// once it is in the log.
    fn check_before_append(&self, change: &Change, deadline: Instant) -> Result<(), PublishError> {
        let mut state = self.state.lock();
        while !state.is_following() || state.config().version() < change.based_on {
            if self.state_updated.wait_until(&mut state, deadline).timed_out() {
                let detail = format!(
                    "version {} is in force here and version {} is needed",
                    state.config().version(),
                    change.based_on
                );
                return Err(PublishError::NotReady(detail));
            }
        }
        // the log assigns the offset later; the greatest one passes the version check
        let decision = state.config().decide(change, u64::MAX);
        match decision {
            Ok(_) => Ok(()),
            Err(rejection) => Err(PublishError::Rejected(Box::new(state.with_author(rejection)))),
        }
    }

    /// Waits until a change that matches was accepted or rejected. Returns the version
    /// of an accepted one.
    fn wait_for_decision(
        &self,
        deadline: Instant,
        is_match: impl Fn(&HistoryEntry) -> bool,
    ) -> Result<u64, PublishError> {
        let mut state = self.state.lock();
        loop {
            if let Some(entry) = state.history().iter().rev().find(|entry| is_match(entry)) {
                return match &entry.outcome {
                    HistoryOutcome::Accepted => Ok(entry.offset),
                    HistoryOutcome::Rejected(rejection) => {
                        Err(PublishError::Rejected(Box::new(rejection.clone())))
                    }
                };
            }
            if self.state_updated.wait_until(&mut state, deadline).timed_out() {
                let detail = "the change was sent, but not read back in time".to_owned();
                return Err(PublishError::Unknown(detail));
            }
        }
    }

    /// Accepted and rejected changes, newest first.
    pub(crate) fn history(&self, limit: usize) -> Vec<HistoryEntry> {
        self.state.lock().history().iter().rev().take(limit).cloned().collect()
    }

    /// Returns the requested part of the serialised configuration to a starting
    /// peer.
    pub(crate) fn handle_request(&self, request: &ConfigRequest) -> ConfigReply {
        let config = self.current();
        let mut serialized = self.serialized.lock();
        if let Some(cached) = &*serialized
            && cached.version == config.version()
        {
            return cached.reply(request);
        }
        match SerializedConfig::new(&config) {
            Ok(new) => serialized.insert(Arc::new(new)).reply(request),
            Err(detail) => {
                error!("event=config_not_serialised detail={}", quoted(detail));
                let (version, part) = (0, Vec::new());
                ConfigReply { digest: 0, from_byte: 0, part, total_bytes: 0, version }
            }
        }
    }

    /// State for `/readyz` and `/state`.
    pub(crate) fn status(&self) -> ConfigStatus {
        let state = self.state.lock();
        ConfigStatus {
            version: state.config().version(),
            objects: state.config().len(),
            position: state.next(),
            following: state.is_following(),
            trouble: self.trouble.lock().clone(),
        }
    }

    /// Sets the reason why the configuration is missing or out of date, `None`
    /// if it is current. Logs only a change of the reason.
    pub(super) fn set_trouble(&self, trouble: Option<String>) {
        let mut current = self.trouble.lock();
        if *current == trouble {
            return;
        }
        match &trouble {
            Some(detail) => warn!("event=config_trouble detail={}", quoted(detail)),
            None => info!("event=config_current"),
        }
        *current = trouble;
    }
}
