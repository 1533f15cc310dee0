use {
    super::{
        block::Block,
        crash::Crash,
        part_blocklist::{BeliefChange, BlockedPart, PartBlocklist, Pass},
        part_key::{PartKey, TeamHash},
        part_record::PartRecord,
    },
    crate::{
        endpoints::Directory,
        telemetry::{GatewayMetrics, event},
    },
    mango_wire::gossip::{CrashReport, PartBlock, PartEvidence},
    serde_json::{Value, json},
    std::{
        cell::RefCell,
        cmp::Reverse,
        rc::Rc,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// New knowledge is sent in all rounds for this long, so that a lost message does not matter.
const NEWS_TIME: Duration = Duration::from_millis(1_000);
/// Most parts in one message.
const MAX_PARTS_PER_MESSAGE: usize = 64;
/// Most crashes of one part in a message; the earliest.
const MAX_CRASHES_PER_PART: usize = 16;

/// The blocklist of this host, which all its connections share, and its messages.
pub(crate) struct SharedBlocklist {
    blocklist: RefCell<PartBlocklist>,
    host_hash: u64,
    directory: Rc<Directory>,
    metrics: Rc<GatewayMetrics>,
}

impl SharedBlocklist {
    pub(crate) fn new(
        host_id: &str,
        directory: Rc<Directory>,
        metrics: Rc<GatewayMetrics>,
    ) -> SharedBlocklist {
        let host_hash = xxh3_64(host_id.as_bytes());
        SharedBlocklist { blocklist: RefCell::default(), host_hash, directory, metrics }
    }

    /// Records a crash of an endpoint that held a request with these parts before it began the
    /// response.
    pub(crate) fn record_crash(&self, parts: &[PartKey], crash: Crash) {
        self.blocklist.borrow_mut().record_crash(parts, crash, Instant::now());
    }

    /// Records that a response to a request with these parts began.
    pub(crate) fn record_response(&self, parts: &[PartKey]) {
        self.blocklist.borrow_mut().record_response(parts, Instant::now());
    }

    /// Decides whether a request may be sent by this host, which is one of `fleet_hosts`.
    pub(crate) fn admit(
        &self,
        parts: &[PartKey],
        team: TeamHash,
        fleet_hosts: u32,
    ) -> Result<Pass, BlockedPart> {
        let now = Instant::now();
        self.blocklist.borrow_mut().admit(parts, team, self.host_hash, fleet_hosts, now)
    }

    /// Decides whether a request that was admitted may still be sent.
    pub(crate) fn recheck(&self, parts: &[PartKey], team: TeamHash) -> Result<(), BlockedPart> {
        self.blocklist.borrow().recheck(parts, team, Instant::now())
    }

    /// Merges what another host knows.
    pub(crate) fn merge(&self, parts: &[PartEvidence]) {
        let now = Instant::now();
        let mut blocklist = self.blocklist.borrow_mut();
        for evidence in parts {
            blocklist.merge(evidence.part, &record_of(evidence, now), now);
        }
    }

    /// Decides what to believe, and returns what the other hosts are to know: news, and in full
    /// rounds all that may matter.
    pub(crate) fn update(&self, is_full_round: bool) -> Vec<PartEvidence> {
        let now = Instant::now();
        let mut blocklist = self.blocklist.borrow_mut();
        blocklist.decide(now);
        for (part, change) in blocklist.take_changes() {
            self.log_change(part, change, blocklist.records().get(part), now);
        }
        let blocked =
            blocklist.records().iter().filter(|(_, record)| record.block.is_some()).count();
        self.metrics.blocked_parts.set(blocked as i64);
        let mut records: Vec<(PartKey, &PartRecord)> = blocklist
            .records()
            .iter()
            .filter(|(_, record)| {
                is_full_round || now.saturating_duration_since(record.changed_at) < NEWS_TIME
            })
            .collect();
        records.sort_unstable_by_key(|(_, record)| Reverse(record.value()));
        records.truncate(MAX_PARTS_PER_MESSAGE);
        records.into_iter().map(|(part, record)| evidence_of(part, record, now)).collect()
    }

    fn log_change(
        &self,
        part: PartKey,
        change: BeliefChange,
        record: Option<&PartRecord>,
        now: Instant,
    ) {
        self.metrics.count_belief_change(change.into());
        let crashes = record.map(|record| self.describe_crashes(record, now)).unwrap_or_default();
        let block = record.and_then(|record| record.block);
        let team = block.and_then(|block| block.team);
        event!(
            "part_belief",
            "part={part:016x} change={change} level={} team={} crashes={crashes}",
            block.map_or(0, |block| block.level),
            team.map_or_else(|| "all".to_owned(), |team| format!("{team:08x}"))
        );
    }

    /// Each crash as the endpoint, the age in milliseconds and the team.
    fn describe_crashes(&self, record: &PartRecord, now: Instant) -> String {
        let endpoints = self.directory.all();
        let describe = |crash: &Crash| {
            let endpoint = endpoints.iter().find(|endpoint| endpoint.hash == crash.endpoint);
            let id = endpoint.map_or_else(
                || format!("{:08x}", crash.endpoint),
                |endpoint| endpoint.record.borrow().id.to_string(),
            );
            let age = now.saturating_duration_since(crash.at).as_millis();
            format!("{id}:{age}:{:08x}", crash.team)
        };
        record.crashes.iter().map(describe).collect::<Vec<_>>().join(",")
    }

    /// The parts that are blocked or may be, as JSON for the state dump.
    pub(crate) fn state(&self) -> Value {
        let now = Instant::now();
        let blocklist = self.blocklist.borrow();
        let suspects = blocklist
            .records()
            .iter()
            .filter(|(_, record)| record.block.is_some() || !record.crashes.is_empty());
        suspects.map(|(part, record)| self.part_state(part, record, now)).collect()
    }

    /// The state of one part, as JSON for an explanation; null if nothing speaks against it.
    pub(crate) fn explain(&self, part: PartKey) -> Value {
        let blocklist = self.blocklist.borrow();
        let record = blocklist.records().get(part);
        record.map_or(Value::Null, |record| self.part_state(part, record, Instant::now()))
    }

    fn part_state(&self, part: PartKey, record: &PartRecord, now: Instant) -> Value {
        let block = record.block.map(|block| {
            let phase = block.phase(now);
            let left = phase.until().map(|until| until.saturating_duration_since(now));
            json!({
                "phase": <&str>::from(phase),
                "left_ms": left.map(|left| left.as_millis()),
                "level": block.level,
                "team": block.team.map(|team| format!("{team:08x}")),
            })
        });
        json!({
            "part": format!("{part:016x}"),
            "depth": record.depth,
            "crashes": record.crashes.len(),
            "evidence": self.describe_crashes(record, now),
            "block": block,
        })
    }
}

fn age_ms(at: Instant, now: Instant) -> u32 {
    now.saturating_duration_since(at).as_millis().try_into().unwrap_or(u32::MAX)
}

/// The time that was `age_ms` ago; `None` if this host's clock does not reach back to it.
fn time_before(now: Instant, age_ms: u32) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(age_ms.into()))
}

fn evidence_of(part: PartKey, record: &PartRecord, now: Instant) -> PartEvidence {
    let report = |crash: &Crash| CrashReport {
        endpoint: crash.endpoint,
        team: crash.team,
        age_ms: age_ms(crash.at, now),
    };
    PartEvidence {
        part,
        depth: record.depth,
        crashes: record.crashes.iter().take(MAX_CRASHES_PER_PART).map(report).collect(),
        sound_age_ms: record.sound_at.map(|at| age_ms(at, now)),
        block: record.block.map(|block| PartBlock {
            age_ms: age_ms(block.last_crash_at, now),
            level: block.level,
            team: block.team,
        }),
    }
}

fn record_of(evidence: &PartEvidence, now: Instant) -> PartRecord {
    let crash = |report: &CrashReport| {
        let at = time_before(now, report.age_ms)?;
        Some(Crash { endpoint: report.endpoint, team: report.team, at })
    };
    let block = |block: &PartBlock| {
        let last_crash_at = time_before(now, block.age_ms)?;
        Some(Block { last_crash_at, level: block.level, team: block.team })
    };
    PartRecord {
        depth: evidence.depth,
        crashes: evidence.crashes.iter().filter_map(crash).collect(),
        sound_at: evidence.sound_age_ms.and_then(|age_ms| time_before(now, age_ms)),
        block: evidence.block.as_ref().and_then(block),
        changed_at: now,
    }
}
