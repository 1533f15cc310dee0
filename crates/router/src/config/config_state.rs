use {
    super::{
        compiled::Config,
        snapshot_parts::{PartCollector, compile_snapshot},
    },
    mango_config::{HistoryEntry, HistoryOutcome, ObjectName, Rejection, object_name},
    mango_wire::{
        Offset,
        config::{Change, ConfigRecord, Snapshot},
        platform::LogRecord,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

// Limits the records buffered until a read is confirmed or a snapshot is found.
// The router is designed for 3,700 changes a day, one record each.
const MAX_PENDING_RECORDS: usize = 65_536;
const MAX_HISTORY_ENTRIES: usize = 1_000;
// Offset of the first record of a new log. It is not 0, because offsets become
// versions and version 0 means that there is no configuration.
const FIRST_OFFSET: Offset = 1;

/// Result of confirming a range of the log.
#[derive(Clone, Debug)]
pub(crate) enum ConfigEvent {
    /// A change was accepted or rejected.
    Decided(HistoryEntry),
    /// A record was skipped because it is not valid.
    Malformed { offset: Offset, detail: String },
    /// A snapshot record was reached in log order. `at_ms` is its append time in
    /// milliseconds since the Unix epoch.
    SnapshotSeen { at_ms: u64 },
    /// A snapshot from the log was adopted as the configuration.
    SnapshotAdopted { version: u64 },
    /// Records from `position` up to `first_kept` expired before they were read,
    /// so a snapshot is needed.
    RecordsLost { position: Offset, first_kept: Offset },
    /// A read started after `position`; the records from there must be read first.
    ReadSkipped { position: Offset },
}

/// Whether records can be decided as they are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Each record is decided as it is confirmed.
    Following,
    /// Records from `from` on are buffered until a snapshot is found that covers
    /// all earlier ones.
    Collecting { from: Offset },
}

/// State machine that derives the configuration from the records of stream
/// `config`.
///
/// Records may be delivered in any order and repeatedly. They take effect, in
/// log order, when a read that covers them is confirmed.
pub(crate) struct ConfigState {
    config: Arc<Config>,
    phase: Phase,
    next: Offset,
    pending: BTreeMap<Offset, LogRecord>,
    // lowest offset that was not buffered because too many records were pending
    overflow: Option<Offset>,
    history: VecDeque<HistoryEntry>,
}

impl ConfigState {
    /// State before the first record, without a configuration.
    pub(crate) fn new() -> Self {
        Self {
            config: Arc::default(),
            phase: Phase::Collecting { from: 0 },
            next: 0,
            pending: BTreeMap::new(),
            overflow: None,
            history: VecDeque::new(),
        }
    }

    pub(crate) fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Offset from which the log is to be read next.
    pub(crate) fn next(&self) -> Offset {
        self.next
    }

    /// Whether the configuration reflects all records below `next`.
    pub(crate) fn is_following(&self) -> bool {
        self.phase == Phase::Following
    }

    /// Accepted and rejected changes, oldest first.
    pub(crate) fn history(&self) -> &VecDeque<HistoryEntry> {
        &self.history
    }

    /// Buffers a record until a read that covers it is confirmed. Records that
    /// were already confirmed or buffered are ignored.
    pub(crate) fn apply(&mut self, record: LogRecord) {
        if record.offset < self.next || self.pending.contains_key(&record.offset) {
            return;
        }
        if self.pending.len() >= MAX_PENDING_RECORDS {
            let overflow = self.overflow.get_or_insert(record.offset);
            *overflow = (*overflow).min(record.offset);
            return;
        }
        self.pending.insert(record.offset, record);
    }

    /// Confirms that all retained records of the stream from `from` (inclusive)
    /// to `through` (exclusive) were delivered. `first_kept` is the oldest
    /// offset that the log still retains.
    pub(crate) fn confirm(
        &mut self,
        from: Offset,
        through: Offset,
        first_kept: Offset,
    ) -> Vec<ConfigEvent> {
        let overflow = self.overflow.take();
        let through = overflow.map_or(through, |offset| offset.min(through));
        let mut events = Vec::new();
        if through <= self.next {
            return events;
        }
        if from > self.next {
            events.push(ConfigEvent::ReadSkipped { position: self.next });
            return events;
        }
        self.check_expiry(first_kept, &mut events);
        self.next = through;
        match self.phase {
            Phase::Following => self.decide_pending(&mut events),
            Phase::Collecting { from } => self.adopt_pending_snapshot(from, &mut events),
        }
        events
    }

    /// Starts to look for a snapshot if records expired before they were read. The
    /// first read needs none if the log still retains its first record.
    fn check_expiry(&mut self, first_kept: Offset, events: &mut Vec<ConfigEvent>) {
        if first_kept <= self.next {
            return;
        }
        let at_start = self.next == 0 && self.config.version() == 0;
        if at_start && first_kept <= FIRST_OFFSET {
            return;
        }
        events.push(ConfigEvent::RecordsLost { position: self.next, first_kept });
        self.pending.retain(|offset, _| *offset >= first_kept);
        self.phase = Phase::Collecting { from: first_kept };
    }

    /// Adopts the first buffered snapshot that covers all records before `from`.
    /// No snapshot is needed if `from` is 0.
    fn adopt_pending_snapshot(&mut self, from: Offset, events: &mut Vec<ConfigEvent>) {
        if from == 0 {
            self.phase = Phase::Following;
            self.decide_pending(events);
            return;
        }
        let mut collector = PartCollector::default();
        for (_, record) in self.pending.range(..self.next) {
            let Ok(ConfigRecord::Snapshot(part)) = serde_json::from_str(&record.body) else {
                continue;
            };
            let Some(snapshot) = collector.add(part) else { continue };
            // a gap between the snapshot and the oldest buffered record may hide changes
            let covers = snapshot.offset.saturating_add(1) >= from;
            if !covers || snapshot.version < self.config.version() {
                continue;
            }
            match compile_snapshot(snapshot) {
                Ok((config, offset)) => return self.adopt(config, offset, events),
                Err(detail) => {
                    events.push(ConfigEvent::Malformed { offset: record.offset, detail });
                }
            }
        }
        if self.pending.len() >= MAX_PENDING_RECORDS {
            self.drop_oldest_half();
        }
    }

    // Dropping records can't hide a change: a later snapshot is used only if it covers them.
    fn drop_oldest_half(&mut self) {
        let Some(middle) = self.pending.keys().nth(MAX_PENDING_RECORDS / 2).copied() else {
            return;
        };
        self.pending = self.pending.split_off(&middle);
        self.phase = Phase::Collecting { from: middle };
    }

    fn adopt(&mut self, config: Config, offset: Offset, events: &mut Vec<ConfigEvent>) {
        events.push(ConfigEvent::SnapshotAdopted { version: config.version() });
        self.config = Arc::new(config);
        self.pending.retain(|pending, _| *pending > offset);
        self.phase = Phase::Following;
        self.decide_pending(events);
    }

    /// Adopts a peer's configuration while the log can't be read. Ignored if
    /// the configuration reflects all records read from the log or the snapshot is
    /// not newer. Returns whether the peer's configuration is now in force.
    pub(crate) fn adopt_from_peer(&mut self, snapshot: Snapshot) -> Result<bool, String> {
        if snapshot.version <= self.config.version() || self.is_following() {
            return Ok(false);
        }
        let (config, offset) = compile_snapshot(snapshot)?;
        self.config = Arc::new(config);
        self.pending.clear();
        self.overflow = None;
        self.phase = Phase::Following;
        self.next = offset + 1;
        Ok(true)
    }

    fn decide_pending(&mut self, events: &mut Vec<ConfigEvent>) {
        let later = self.pending.split_off(&self.next);
        for (offset, record) in std::mem::replace(&mut self.pending, later) {
            match serde_json::from_str(&record.body) {
                Ok(ConfigRecord::Change(change)) => {
                    let entry = self.decide(change, &record);
                    events.push(ConfigEvent::Decided(entry));
                }
                Ok(ConfigRecord::Snapshot(_)) => {
                    events.push(ConfigEvent::SnapshotSeen { at_ms: record.at_ms });
                }
                Err(e) => {
                    events.push(ConfigEvent::Malformed { offset, detail: e.to_string() });
                }
            }
        }
    }

    fn decide(&mut self, change: Change, record: &LogRecord) -> HistoryEntry {
        let outcome = match self.config.decide(&change, record.offset) {
            Ok(config) => {
                self.config = Arc::new(config);
                HistoryOutcome::Accepted
            }
            Err(rejection) => HistoryOutcome::Rejected(self.with_author(rejection)),
        };
        let entry = HistoryEntry {
            offset: record.offset,
            based_on: change.based_on,
            at_ms: record.at_ms,
            put: change.put.iter().map(|object| object_name(object).to_key()).collect(),
            delete: change.delete,
            change_id: change.change_id,
            author: change.author,
            outcome,
        };
        if self.history.len() == MAX_HISTORY_ENTRIES {
            self.history.pop_front();
        }
        self.history.push_back(entry.clone());
        entry
    }

    /// Adds the id and author of the preceding change, if the history still has it.
    pub(crate) fn with_author(&self, mut rejection: Rejection) -> Rejection {
        let Some(preceding) = &mut rejection.preceded_by else { return rejection };
        let found = self.history.binary_search_by_key(&preceding.version, |entry| entry.offset);
        if let Ok(index) = found {
            preceding.change_id = Some(self.history[index].change_id.clone());
            preceding.author = Some(self.history[index].author.clone());
        }
        rejection
    }
}
