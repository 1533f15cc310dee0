use {
    super::{
        claim_id::ClaimId,
        claim_metrics::ClaimMetrics,
        claim_options::ClaimOptions,
        command::{ClaimCall, Command},
        range_state::{Applied, ClaimEvent, Judgement, RangeState, StoredOutcome, UNKNOWN_STATUS},
        uncertainty::{covers, uncertain_before_ms},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    mango_wire::{
        Epoch, HostId,
        peer::{AbandonReport, ClaimReply, ClaimResult, OutcomeReport},
        platform::LogRecord,
        records::{Abandon, Claim, ClaimBatch, ClaimEntry, Fence, Flush, Outcome},
    },
    std::{
        collections::{HashMap, HashSet, VecDeque},
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

// Bounds what is held for one range while the log can't be written.
const MAX_PENDING_ENTRIES: usize = 50_000;
const MAX_PENDING_BODY_BYTES: usize = 8 << 20;
// Space for the batch's own fields and the separators, in bytes.
const BATCH_OVERHEAD_BYTES: usize = 256;
// The answer has to reach the caller's host before its deadline.
const REPLY_MARGIN: Duration = Duration::from_millis(50);

type RequestKey = (ClaimId, String);

/// One ownership of a key range: the state read from the log, what is to be appended
/// and the calls that wait. It makes no calls of the log itself.
pub(crate) struct Term {
    epoch: Epoch,
    acting_since_ms: u64,
    flushed_at_start_ms: u64,
    state: RangeState,
    options: ClaimOptions,
    metrics: ClaimMetrics,
    queue: VecDeque<ClaimEntry>,
    unconfirmed: VecDeque<Unconfirmed>,
    /// Granted, settled or freed without the log in a verified outage; applied, and
    /// appended when the log is back.
    memory: VecDeque<ClaimEntry>,
    in_memory: bool,
    pending_body_bytes: usize,
    undecided: HashMap<RequestKey, Vec<ClaimCall>>,
    joined: HashMap<ClaimId, Vec<ClaimCall>>,
    /// Requests whose `Abandon` is not applied yet. They must not be granted again
    /// before, because the `Abandon` would then free the key of a running request.
    abandoning: HashSet<RequestKey>,
}

/// A batch that is appended until it is read back. Its append may have taken effect.
pub(crate) struct Unconfirmed {
    pub(crate) batch: ClaimBatch,
    pub(crate) body: String,
    pub(crate) attempted: bool,
}

impl Term {
    /// Starts from a replayed state. The first batch holds the `Fence`; nothing is
    /// served before it has been read back.
    pub(crate) fn new(
        epoch: Epoch,
        acting_since_ms: u64,
        state: RangeState,
        outages: &[(u64, u64)],
        options: &ClaimOptions,
        metrics: &ClaimMetrics,
    ) -> Self {
        let flushed_at_start_ms = state.flushed_until_ms();
        let mut term = Self {
            epoch,
            acting_since_ms,
            flushed_at_start_ms,
            state,
            options: options.clone(),
            metrics: metrics.clone(),
            queue: VecDeque::new(),
            unconfirmed: VecDeque::new(),
            memory: VecDeque::new(),
            in_memory: false,
            pending_body_bytes: 0,
            undecided: HashMap::new(),
            joined: HashMap::new(),
            abandoning: HashSet::new(),
        };
        let uncertain_before_ms = term.required_uncertainty_ms(outages);
        term.queue.push_back(ClaimEntry::Fence(Fence { uncertain_before_ms }));
        term.cut_batch();
        term
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(crate) fn state(&self) -> &RangeState {
        &self.state
    }

    /// Whether a batch of a newer epoch has been read.
    pub(crate) fn is_superseded(&self) -> bool {
        self.state.epoch() > self.epoch
    }

    pub(crate) fn is_in_memory(&self) -> bool {
        self.in_memory
    }

    /// Entries that are not confirmed on the log.
    pub(crate) fn pending(&self) -> usize {
        let sent: usize = self.unconfirmed.iter().map(|u| u.batch.entries.len()).sum();
        self.queue.len() + self.memory.len() + sent
    }

    pub(crate) fn unconfirmed(&self) -> Option<&Unconfirmed> {
        self.unconfirmed.front()
    }

    /// Takes note that the first unconfirmed batch is sent to the log.
    pub(crate) fn mark_attempted(&mut self) {
        if let Some(first) = self.unconfirmed.front_mut() {
            first.attempted = true;
        }
    }

    pub(crate) fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Handles one command. In memory mode the effect is immediate.
    pub(crate) fn handle(&mut self, command: Command) {
        match command {
            Command::Claim(call) => self.claim(call),
            Command::Outcome(report) => self.outcome(report),
            Command::Abandon(report) => self.abandon(&report),
            Command::HostDown(host) => self.host_down(&host, u64::MAX),
        }
        if self.in_memory {
            self.apply_in_memory();
        }
    }

    /// Marks the running claims of a host that died, if their key was issued before
    /// `issued_before_ms`. An `Outcome` without an answer tells successors.
    pub(crate) fn host_down(&mut self, host: &HostId, issued_before_ms: u64) {
        for (id, request_id) in self.state.running_of(host, issued_before_ms) {
            self.queue.push_back(lost_outcome(&id, request_id));
        }
        for calls in self.joined.values_mut() {
            calls.retain(|call| call.origin != *host);
        }
        let from_host = |calls: &Vec<ClaimCall>| calls.iter().all(|call| call.origin == *host);
        let undecided: Vec<RequestKey> = self
            .undecided
            .iter()
            .filter(|(_, calls)| from_host(calls))
            .map(|(key, _)| key.clone())
            .collect();
        for (id, request_id) in undecided {
            self.abandon_request(id, request_id);
        }
    }

    /// Applies one record that was read from the stream and answers the calls that it
    /// decides.
    pub(crate) fn read(&mut self, record: &LogRecord) {
        let batch: ClaimBatch = match serde_json::from_str(&record.body) {
            Ok(batch) => batch,
            Err(e) => {
                log::warn!("event=claim_record_malformed offset={} error={e:?}", record.offset);
                self.state.skip(record.offset);
                return;
            }
        };
        let applied = self.state.apply(record.offset, &batch);
        if self.unconfirmed.front().is_some_and(|u| u.batch.batch_id == batch.batch_id) {
            self.unconfirmed.pop_front();
            let body_bytes: usize = batch.entries.iter().map(body_bytes).sum();
            self.pending_body_bytes = self.pending_body_bytes.saturating_sub(body_bytes);
        }
        if let Applied::Counted(events) = applied {
            self.deliver(&batch.entries, events);
        }
    }

    /// Moves queued entries into a batch that fits one log record.
    pub(crate) fn cut_batch(&mut self) {
        let entries = take_entries(&mut self.queue, self.options.max_record_bytes);
        if !entries.is_empty() {
            let batch = self.new_batch(entries);
            self.unconfirmed.push_back(batch);
        }
    }

    /// Starts to serve from memory in a verified outage.
    ///
    /// A batch whose append is unknown is adopted as if it had been appended now: no
    /// other host may write to the range, so if it took effect it is the next record,
    /// and otherwise it is appended first, under the same id, when the log is back.
    pub(crate) fn enter_memory(&mut self) {
        if self.in_memory {
            return;
        }
        self.in_memory = true;
        let batches: Vec<ClaimBatch> = self.unconfirmed.iter().map(|u| u.batch.clone()).collect();
        for batch in batches {
            if let Applied::Counted(events) = self.state.apply_unlogged(&batch) {
                self.deliver(&batch.entries, events);
            }
        }
        self.apply_in_memory();
    }

    /// Prepares the claims made from memory for the log, in their order and before
    /// anything else, and ends them with a `Flush`.
    pub(crate) fn leave_memory(&mut self, now_ms: u64) {
        if !self.in_memory {
            return;
        }
        self.in_memory = false;
        let mut memory = std::mem::take(&mut self.memory);
        while !memory.is_empty() {
            let entries = take_entries(&mut memory, self.options.max_record_bytes);
            let unconfirmed = self.new_batch(entries);
            self.state.remember(&unconfirmed.batch.batch_id);
            self.unconfirmed.push_back(unconfirmed);
        }
        self.queue.push_front(ClaimEntry::Flush(Flush { ended_ms: now_ms }));
    }

    /// Compares the known outages with what the stream says. Writes a later `Flush`
    /// for an outage that the present one does not cover, and a higher `Fence` if an
    /// outage under a predecessor became known late.
    pub(crate) fn review_outages(&mut self, outages: &[(u64, u64)], now_ms: u64) {
        let uncertain_before_ms = self.required_uncertainty_ms(outages);
        if uncertain_before_ms > self.state.uncertain_before_ms() {
            self.queue.push_back(ClaimEntry::Fence(Fence { uncertain_before_ms }));
        }
        let skew_ms = self.options.clock_skew_ms;
        let uncovered = |ended_ms: u64| {
            covers(now_ms, ended_ms, skew_ms)
                && !covers(self.state.flushed_until_ms(), ended_ms, skew_ms)
        };
        if outages.iter().any(|(_, ended_ms)| uncovered(*ended_ms)) {
            self.queue.push_back(ClaimEntry::Flush(Flush { ended_ms: now_ms }));
        }
    }

    /// Forgets keys that the log no longer keeps.
    pub(crate) fn expire_keys(&mut self, now_ms: u64) {
        self.state.expire(self.options.expired_before_ms(now_ms));
    }

    /// Answers calls whose time is up. Claims that were not sent to the log are
    /// dropped, and those that may have taken effect are given up.
    pub(crate) fn expire_calls(&mut self, now: Instant) {
        let mut late = Vec::new();
        self.joined.retain(|_, calls| {
            late.extend(calls.extract_if(.., |call| call.deadline <= now + REPLY_MARGIN));
            !calls.is_empty()
        });
        for call in late {
            self.answer(call, ClaimResult::InProgress);
        }
        let is_late = |calls: &Vec<ClaimCall>| calls.iter().all(|call| call.deadline <= now);
        let mut given_up: HashSet<RequestKey> = self
            .undecided
            .iter()
            .filter(|(_, calls)| is_late(calls))
            .map(|(key, _)| key.clone())
            .collect();
        if given_up.is_empty() {
            return;
        }
        let undecided = &mut self.undecided;
        let mut unsent = Vec::new();
        self.queue.retain(|entry| match claim_key(entry) {
            Some(key) if given_up.remove(&key) => {
                unsent.extend(undecided.remove(&key).unwrap_or_default());
                false
            }
            _ => true,
        });
        for call in unsent {
            self.answer(call, ClaimResult::Unavailable);
        }
        for (id, request_id) in given_up {
            self.abandon_request(id, request_id);
        }
    }

    /// Answers `not_owner` to all calls. Claims that were not sent to the log are
    /// dropped. Batches that may have taken effect are kept for the case that the same
    /// epoch may act again: a grant from memory must not contradict them.
    pub(crate) fn refuse_all(&mut self) {
        self.queue.retain(|entry| !matches!(entry, ClaimEntry::Claim(_)));
        let undecided = std::mem::take(&mut self.undecided);
        let joined = std::mem::take(&mut self.joined);
        for call in undecided.into_values().chain(joined.into_values()).flatten() {
            self.answer(call, ClaimResult::NotOwner);
        }
    }

    fn claim(&mut self, call: ClaimCall) {
        let request = &call.request;
        let Ok(id) = ClaimId::parse(&request.team, &request.key) else {
            return self.answer(call, ClaimResult::KeyExpired);
        };
        match self.state.judge(&id, &request.request_id, request.body_digest) {
            Judgement::Free => self.queue_claim(id, call),
            Judgement::Granted => {
                let key = (id, request.request_id.clone());
                let result = match self.abandoning.contains(&key) {
                    true => ClaimResult::Unavailable,
                    false => ClaimResult::Granted,
                };
                self.answer(call, result);
            }
            Judgement::Running => self.joined.entry(id).or_default().push(call),
            Judgement::MayHaveRun => self.answer(call, ClaimResult::MayHaveRun),
            Judgement::Completed(outcome) => self.answer_completed(call, outcome),
            Judgement::Reused => self.answer(call, ClaimResult::KeyReused),
            Judgement::Expired => self.answer(call, ClaimResult::KeyExpired),
        }
    }

    fn queue_claim(&mut self, id: ClaimId, call: ClaimCall) {
        let id_record = id.to_record();
        let key = (id, call.request.request_id.clone());
        if self.abandoning.contains(&key) || self.pending_is_full() {
            return self.answer(call, ClaimResult::Unavailable);
        }
        let calls = self.undecided.entry(key).or_default();
        if calls.is_empty() {
            self.queue.push_back(ClaimEntry::Claim(Claim {
                key: id_record,
                request_id: call.request.request_id.clone(),
                host_id: call.origin.clone(),
                body_digest: call.request.body_digest,
            }));
        }
        calls.push(call);
    }

    fn outcome(&mut self, report: OutcomeReport) {
        let Ok(id) = ClaimId::parse(&report.team, &report.key) else {
            return;
        };
        if !self.state.is_open(&id, &report.request_id) {
            return;
        }
        let limit = self.options.max_outcome_bytes.min(self.options.max_record_bytes / 2);
        let kept = report.body_kept
            && report.status != UNKNOWN_STATUS
            && report.body.len() <= limit
            && self.pending_body_bytes + report.body.len() <= MAX_PENDING_BODY_BYTES;
        let entry = ClaimEntry::Outcome(Outcome {
            key: id.to_record(),
            request_id: report.request_id,
            status: report.status,
            content_type: report.content_type,
            body: kept.then(|| STANDARD.encode(&report.body)),
        });
        self.pending_body_bytes += body_bytes(&entry);
        self.queue.push_back(entry);
    }

    fn abandon(&mut self, report: &AbandonReport) {
        if let Ok(id) = ClaimId::parse(&report.team, &report.key) {
            self.abandon_request(id, report.request_id.clone());
        }
    }

    fn abandon_request(&mut self, id: ClaimId, request_id: String) {
        let key = (id, request_id);
        for call in self.undecided.remove(&key).unwrap_or_default() {
            self.answer(call, ClaimResult::Unavailable);
        }
        let entry = Abandon { key: key.0.to_record(), request_id: key.1.clone() };
        self.queue.push_back(ClaimEntry::Abandon(entry));
        self.abandoning.insert(key);
    }

    /// Queued entries take effect at once; the answers may queue further ones.
    fn apply_in_memory(&mut self) {
        while !self.queue.is_empty() {
            let entries: Vec<ClaimEntry> = self.queue.drain(..).collect();
            let events = self.state.apply_entries(&entries);
            self.deliver(&entries, events);
            self.memory.extend(entries);
        }
    }

    fn deliver(&mut self, entries: &[ClaimEntry], events: Vec<ClaimEvent>) {
        for key in entries.iter().filter_map(abandon_key) {
            self.abandoning.remove(&key);
        }
        for event in events {
            match event {
                ClaimEvent::Granted(id, request_id) => self.grant(id, request_id),
                ClaimEvent::Refused(id, request_id) => {
                    let calls = self.undecided.remove(&(id, request_id));
                    self.claim_again(calls);
                }
                ClaimEvent::Settled(id) | ClaimEvent::Freed(id) => {
                    let calls = self.joined.remove(&id);
                    self.claim_again(calls);
                }
            }
        }
    }

    /// Answers a granted request. If its host can no longer use the grant, the claim is
    /// given up, so that the key can be used by a repeat.
    fn grant(&mut self, id: ClaimId, request_id: String) {
        let Some(calls) = self.undecided.remove(&(id.clone(), request_id.clone())) else {
            return;
        };
        let now = Instant::now();
        let (in_time, late): (Vec<_>, Vec<_>) =
            calls.into_iter().partition(|call| call.deadline > now);
        if in_time.is_empty() {
            self.abandon_request(id, request_id);
        }
        for call in late {
            self.answer(call, ClaimResult::Unavailable);
        }
        for call in in_time {
            self.answer(call, ClaimResult::Granted);
        }
    }

    fn claim_again(&mut self, calls: Option<Vec<ClaimCall>>) {
        for call in calls.into_iter().flatten() {
            self.claim(call);
        }
    }

    fn new_batch(&self, entries: Vec<ClaimEntry>) -> Unconfirmed {
        let batch = ClaimBatch { batch_id: Uuid::new_v4().to_string(), epoch: self.epoch, entries };
        let body = serde_json::to_string(&batch).expect("a batch has no maps with other keys");
        Unconfirmed { batch, body, attempted: false }
    }

    fn required_uncertainty_ms(&self, outages: &[(u64, u64)]) -> u64 {
        uncertain_before_ms(
            outages,
            self.flushed_at_start_ms,
            self.acting_since_ms,
            self.options.lease_ms,
            self.options.clock_skew_ms,
        )
    }

    fn pending_is_full(&self) -> bool {
        self.queue.len() + self.memory.len() >= MAX_PENDING_ENTRIES
    }

    fn answer(&self, call: ClaimCall, result: ClaimResult) {
        self.metrics.answered(result);
        call.answer(result);
    }

    fn answer_completed(&self, call: ClaimCall, outcome: StoredOutcome) {
        self.metrics.answered(ClaimResult::Completed);
        (call.reply)(ClaimReply {
            result: ClaimResult::Completed,
            status: outcome.status,
            content_type: outcome.content_type,
            body_kept: outcome.body.is_some(),
            body: outcome.body.unwrap_or_default(),
        });
    }
}

fn take_entries(queue: &mut VecDeque<ClaimEntry>, max_bytes: usize) -> Vec<ClaimEntry> {
    let mut left_bytes = max_bytes.saturating_sub(BATCH_OVERHEAD_BYTES);
    let mut entries = Vec::new();
    while let Some(entry) = queue.front() {
        let entry_bytes = serde_json::to_string(entry).map_or(0, |text| text.len() + 1);
        if entry_bytes > left_bytes && !entries.is_empty() {
            break;
        }
        left_bytes = left_bytes.saturating_sub(entry_bytes);
        entries.extend(queue.pop_front());
    }
    entries
}

fn body_bytes(entry: &ClaimEntry) -> usize {
    match entry {
        ClaimEntry::Outcome(outcome) => outcome.body.as_ref().map_or(0, String::len),
        _ => 0,
    }
}

fn claim_key(entry: &ClaimEntry) -> Option<RequestKey> {
    match entry {
        ClaimEntry::Claim(claim) => {
            let id = ClaimId::parse(&claim.key.team, &claim.key.key).ok()?;
            Some((id, claim.request_id.clone()))
        }
        _ => None,
    }
}

fn abandon_key(entry: &ClaimEntry) -> Option<RequestKey> {
    match entry {
        ClaimEntry::Abandon(abandon) => {
            let id = ClaimId::parse(&abandon.key.team, &abandon.key.key).ok()?;
            Some((id, abandon.request_id.clone()))
        }
        _ => None,
    }
}

fn lost_outcome(id: &ClaimId, request_id: String) -> ClaimEntry {
    ClaimEntry::Outcome(Outcome {
        key: id.to_record(),
        request_id,
        status: UNKNOWN_STATUS,
        content_type: String::new(),
        body: None,
    })
}
