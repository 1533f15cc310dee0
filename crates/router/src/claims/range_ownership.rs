use {
    super::{
        claim_id::ClaimId,
        claim_metrics::ClaimMetrics,
        claim_options::ClaimOptions,
        command::{ClaimCall, Command},
        range_state::{
            ApplyResult, ClaimEvent, KeyStatus, RangeState, StoredOutcome, UNKNOWN_STATUS,
        },
        uncertainty::{flush_covers_outage, uncertain_before_ms},
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

// Limits of the entries that one range holds while the log can't be written.
const MAX_PENDING_ENTRIES: usize = 50_000;
const MAX_PENDING_BODY_BYTES: usize = 8 << 20;
// Space in a record for the batch's own fields and the separators.
const BATCH_OVERHEAD_BYTES: usize = 256;
// A repeat is answered this much before its deadline, so that the answer reaches the
// caller's host in time.
const REPLY_MARGIN: Duration = Duration::from_millis(50);

/// A claimed key and the id of the request that claims it.
type RequestKey = (ClaimId, String);

/// Data of this host's ownership of a key range under one epoch: the state read from
/// the log, the entries to append and the calls that wait for an answer. It sends no
/// requests to the log; `RangeWriter` does.
pub(crate) struct RangeOwnership {
    epoch: Epoch,
    /// Wall-clock time at which this host started to act as the owner, before it read the
    /// stream.
    acting_since_ms: u64,
    /// Wall-clock time of the latest `Flush` of the predecessors.
    flushed_until_at_start_ms: u64,
    state: RangeState,
    options: ClaimOptions,
    metrics: ClaimMetrics,
    /// Entries that are in no batch yet.
    queue: VecDeque<ClaimEntry>,
    unconfirmed_batches: VecDeque<UnconfirmedBatch>,
    /// Entries applied without the log in a verified outage, to be appended when the
    /// log is available again.
    memory_entries: VecDeque<ClaimEntry>,
    /// Whether entries are applied before they are appended, in a verified outage.
    in_memory_mode: bool,
    /// Size of the outcome bodies in pending entries, in Base64.
    pending_body_bytes: usize,
    /// Calls whose own claim is queued or sent and not applied yet.
    undecided_calls: HashMap<RequestKey, Vec<ClaimCall>>,
    /// Calls that wait for the outcome of another request with the same key.
    waiting_repeats: HashMap<ClaimId, Vec<ClaimCall>>,
    /// Requests whose `Abandon` is not applied yet. Until then they must not be granted
    /// again, because the `Abandon` would free the key of a running request.
    pending_abandons: HashSet<RequestKey>,
}

/// A batch that has not been read back from the log. Its append is retried until then
/// and may have taken effect already.
pub(crate) struct UnconfirmedBatch {
    pub(crate) batch: ClaimBatch,
    pub(crate) body: String,
    pub(crate) append_attempted: bool,
}

impl RangeOwnership {
    /// Starts from a replayed state. The first batch holds the `Fence`, the entry that
    /// makes later records of older epochs void; claims may be served once it has been
    /// read back.
    pub(crate) fn new(
        epoch: Epoch,
        acting_since_ms: u64,
        state: RangeState,
        outages: &[(u64, u64)],
        options: &ClaimOptions,
        metrics: &ClaimMetrics,
    ) -> Self {
        let flushed_until_at_start_ms = state.flushed_until_ms();
        let mut ownership = Self {
            epoch,
            acting_since_ms,
            flushed_until_at_start_ms,
            state,
            options: options.clone(),
            metrics: metrics.clone(),
            queue: VecDeque::new(),
            unconfirmed_batches: VecDeque::new(),
            memory_entries: VecDeque::new(),
            in_memory_mode: false,
            pending_body_bytes: 0,
            undecided_calls: HashMap::new(),
            waiting_repeats: HashMap::new(),
            pending_abandons: HashSet::new(),
        };
        let uncertain_before_ms = ownership.required_uncertain_before_ms(outages);
        ownership.queue.push_back(ClaimEntry::Fence(Fence { uncertain_before_ms }));
        ownership.build_batch();
        ownership
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

    pub(crate) fn is_in_memory_mode(&self) -> bool {
        self.in_memory_mode
    }

    /// Number of entries that have not been read back from the log yet.
    pub(crate) fn pending_entries(&self) -> usize {
        let sent: usize = self.unconfirmed_batches.iter().map(|u| u.batch.entries.len()).sum();
        self.queue.len() + self.memory_entries.len() + sent
    }

    /// The unconfirmed batch that has to be appended first.
    pub(crate) fn first_unconfirmed(&self) -> Option<&UnconfirmedBatch> {
        self.unconfirmed_batches.front()
    }

    /// Marks that an append of the first unconfirmed batch is attempted.
    pub(crate) fn mark_append_attempted(&mut self) {
        if let Some(first) = self.unconfirmed_batches.front_mut() {
            first.append_attempted = true;
        }
    }

    pub(crate) fn has_queued_entries(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Handles one command. In memory mode it takes effect at once.
    pub(crate) fn handle(&mut self, command: Command) {
        match command {
            Command::Claim(call) => self.handle_claim(call),
            Command::Outcome(report) => self.handle_outcome(report),
            Command::Abandon(report) => self.handle_abandon(&report),
            Command::HostDown(host) => self.host_down(&host, u64::MAX),
        }
        if self.in_memory_mode {
            self.apply_queue_in_memory();
        }
    }

    /// Queues an unknown outcome, as a record that successors read as well, for each
    /// running claim of a host that died, if its key was issued before
    /// `issued_before_ms`. Drops the host's waiting repeats and abandons its undecided
    /// claims.
    pub(crate) fn host_down(&mut self, host: &HostId, issued_before_ms: u64) {
        for (id, request_id) in self.state.running_claims_of(host, issued_before_ms) {
            self.queue.push_back(unknown_outcome(&id, request_id));
        }
        for calls in self.waiting_repeats.values_mut() {
            calls.retain(|call| call.origin != *host);
        }
        let all_from_host = |calls: &Vec<ClaimCall>| calls.iter().all(|call| call.origin == *host);
        let undecided_requests: Vec<RequestKey> = self
            .undecided_calls
            .iter()
            .filter(|(_, calls)| all_from_host(calls))
            .map(|(key, _)| key.clone())
            .collect();
        for (id, request_id) in undecided_requests {
            self.abandon_request(id, request_id);
        }
    }

    /// Applies one record that was read from the stream and answers the calls that it
    /// decides.
    pub(crate) fn apply_record(&mut self, record: &LogRecord) {
        let batch: ClaimBatch = match serde_json::from_str(&record.body) {
            Ok(batch) => batch,
            Err(e) => {
                log::warn!("event=claim_record_malformed offset={} error={e:?}", record.offset);
                self.state.skip(record.offset);
                return;
            }
        };
        let applied = self.state.apply(record.offset, &batch);
        if self.unconfirmed_batches.front().is_some_and(|u| u.batch.batch_id == batch.batch_id) {
            self.unconfirmed_batches.pop_front();
            let body_bytes: usize = batch.entries.iter().map(body_bytes).sum();
            self.pending_body_bytes = self.pending_body_bytes.saturating_sub(body_bytes);
        }
        if let ApplyResult::Applied(events) = applied {
            self.process_events(&batch.entries, events);
        }
    }

    /// Moves queued entries into a batch that fits one log record.
    pub(crate) fn build_batch(&mut self) {
        let entries = take_entries(&mut self.queue, self.options.max_record_bytes);
        if !entries.is_empty() {
            let batch = self.new_batch(entries);
            self.unconfirmed_batches.push_back(batch);
        }
    }

    /// Starts to serve from memory in a verified outage.
    ///
    /// A batch whose append has an unknown result is applied as if it had been appended
    /// now: no other host may write to the range, so if the append took effect the batch
    /// is the next record, and otherwise it is appended first, under the same id, when
    /// the log is available again.
    pub(crate) fn enter_memory_mode(&mut self) {
        if self.in_memory_mode {
            return;
        }
        self.in_memory_mode = true;
        let batches: Vec<ClaimBatch> =
            self.unconfirmed_batches.iter().map(|u| u.batch.clone()).collect();
        for batch in batches {
            if let ApplyResult::Applied(events) = self.state.apply_before_append(&batch) {
                self.process_events(&batch.entries, events);
            }
        }
        self.apply_queue_in_memory();
    }

    /// Ends serving from memory. Puts the entries applied in memory into batches, in
    /// their order, that are appended before all other entries, followed by a `Flush`.
    pub(crate) fn leave_memory_mode(&mut self, now_ms: u64) {
        if !self.in_memory_mode {
            return;
        }
        self.in_memory_mode = false;
        let mut unflushed = std::mem::take(&mut self.memory_entries);
        while !unflushed.is_empty() {
            let entries = take_entries(&mut unflushed, self.options.max_record_bytes);
            let unconfirmed = self.new_batch(entries);
            self.state.mark_batch_applied(&unconfirmed.batch.batch_id);
            self.unconfirmed_batches.push_back(unconfirmed);
        }
        self.queue.push_front(ClaimEntry::Flush(Flush { ended_ms: now_ms }));
    }

    /// Compares the known outages with the recorded `Flush` and `Fence`. Queues another
    /// `Flush` if the last one does not cover an outage, and a later `Fence` if an outage
    /// during a predecessor's ownership became known late.
    pub(crate) fn review_outages(&mut self, outages: &[(u64, u64)], now_ms: u64) {
        let uncertain_before_ms = self.required_uncertain_before_ms(outages);
        if uncertain_before_ms > self.state.uncertain_before_ms() {
            self.queue.push_back(ClaimEntry::Fence(Fence { uncertain_before_ms }));
        }
        let skew_ms = self.options.clock_skew_ms;
        let uncovered = |ended_ms: u64| {
            flush_covers_outage(now_ms, ended_ms, skew_ms)
                && !flush_covers_outage(self.state.flushed_until_ms(), ended_ms, skew_ms)
        };
        if outages.iter().any(|(_, ended_ms)| uncovered(*ended_ms)) {
            self.queue.push_back(ClaimEntry::Flush(Flush { ended_ms: now_ms }));
        }
    }

    /// Removes keys that the log may no longer hold.
    pub(crate) fn expire_keys(&mut self, now_ms: u64) {
        self.state.expire_keys_before(self.options.expired_before_ms(now_ms));
    }

    /// Answers waiting repeats shortly before their deadline and undecided calls after it.
    /// The claims of the latter are removed from the queue, or abandoned if they may
    /// already be in the log.
    pub(crate) fn expire_calls(&mut self, now: Instant) {
        let mut late = Vec::new();
        self.waiting_repeats.retain(|_, calls| {
            late.extend(calls.extract_if(.., |call| call.deadline <= now + REPLY_MARGIN));
            !calls.is_empty()
        });
        for call in late {
            self.answer(call, ClaimResult::InProgress);
        }
        let is_late = |calls: &Vec<ClaimCall>| calls.iter().all(|call| call.deadline <= now);
        let mut expired_requests: HashSet<RequestKey> = self
            .undecided_calls
            .iter()
            .filter(|(_, calls)| is_late(calls))
            .map(|(key, _)| key.clone())
            .collect();
        if expired_requests.is_empty() {
            return;
        }
        let undecided_calls = &mut self.undecided_calls;
        let mut unsent = Vec::new();
        self.queue.retain(|entry| match claimed_request(entry) {
            Some(key) if expired_requests.remove(&key) => {
                unsent.extend(undecided_calls.remove(&key).unwrap_or_default());
                false
            }
            _ => true,
        });
        for call in unsent {
            self.answer(call, ClaimResult::Unavailable);
        }
        for (id, request_id) in expired_requests {
            self.abandon_request(id, request_id);
        }
    }

    /// Answers `not_owner` to all calls and drops the queued claims. Batches that may
    /// have taken effect are kept in case this host may act under the same epoch again: a
    /// grant from memory must not contradict them.
    pub(crate) fn refuse_all(&mut self) {
        self.queue.retain(|entry| !matches!(entry, ClaimEntry::Claim(_)));
        let undecided = std::mem::take(&mut self.undecided_calls);
        let waiting_repeats = std::mem::take(&mut self.waiting_repeats);
        for call in undecided.into_values().chain(waiting_repeats.into_values()).flatten() {
            self.answer(call, ClaimResult::NotOwner);
        }
    }

    fn handle_claim(&mut self, call: ClaimCall) {
        let request = &call.request;
        let Ok(id) = ClaimId::parse(&request.team, &request.key) else {
            return self.answer(call, ClaimResult::KeyExpired);
        };
        match self.state.key_status(&id, &request.request_id, request.body_digest) {
            KeyStatus::Free => self.queue_claim(id, call),
            KeyStatus::Granted => {
                let key = (id, request.request_id.clone());
                let result = match self.pending_abandons.contains(&key) {
                    true => ClaimResult::Unavailable,
                    false => ClaimResult::Granted,
                };
                self.answer(call, result);
            }
            KeyStatus::Running => self.waiting_repeats.entry(id).or_default().push(call),
            KeyStatus::MayHaveRun => self.answer(call, ClaimResult::MayHaveRun),
            KeyStatus::Completed(outcome) => self.answer_completed(call, outcome),
            KeyStatus::Reused => self.answer(call, ClaimResult::KeyReused),
            KeyStatus::Expired => self.answer(call, ClaimResult::KeyExpired),
        }
    }

    fn queue_claim(&mut self, id: ClaimId, call: ClaimCall) {
        let id_record = id.to_record();
        let key = (id, call.request.request_id.clone());
        if self.pending_abandons.contains(&key) || self.pending_is_full() {
            return self.answer(call, ClaimResult::Unavailable);
        }
        let calls = self.undecided_calls.entry(key).or_default();
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

    fn handle_outcome(&mut self, report: OutcomeReport) {
        let Ok(id) = ClaimId::parse(&report.team, &report.key) else {
            return;
        };
        if !self.state.accepts_report(&id, &report.request_id) {
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

    fn handle_abandon(&mut self, report: &AbandonReport) {
        if let Ok(id) = ClaimId::parse(&report.team, &report.key) {
            self.abandon_request(id, report.request_id.clone());
        }
    }

    fn abandon_request(&mut self, id: ClaimId, request_id: String) {
        let key = (id, request_id);
        for call in self.undecided_calls.remove(&key).unwrap_or_default() {
            self.answer(call, ClaimResult::Unavailable);
        }
        let entry = Abandon { key: key.0.to_record(), request_id: key.1.clone() };
        self.queue.push_back(ClaimEntry::Abandon(entry));
        self.pending_abandons.insert(key);
    }

    /// Applies all queued entries at once, with those that waiting calls queue in turn.
    fn apply_queue_in_memory(&mut self) {
        while !self.queue.is_empty() {
            let entries: Vec<ClaimEntry> = self.queue.drain(..).collect();
            let events = self.state.apply_entries(&entries);
            self.process_events(&entries, events);
            self.memory_entries.extend(entries);
        }
    }

    /// Answers the calls that are decided by the applied entries and their effects.
    fn process_events(&mut self, entries: &[ClaimEntry], events: Vec<ClaimEvent>) {
        for key in entries.iter().filter_map(abandoned_request) {
            self.pending_abandons.remove(&key);
        }
        for event in events {
            match event {
                ClaimEvent::Granted(id, request_id) => self.answer_granted(id, request_id),
                ClaimEvent::Refused(id, request_id) => {
                    let calls = self.undecided_calls.remove(&(id, request_id));
                    self.claim_again(calls);
                }
                ClaimEvent::OutcomeRecorded(id) | ClaimEvent::Freed(id) => {
                    let calls = self.waiting_repeats.remove(&id);
                    self.claim_again(calls);
                }
            }
        }
    }

    /// Answers the calls of a granted request. If all their deadlines have passed, the
    /// claim is abandoned, so that a repeat can use the key.
    fn answer_granted(&mut self, id: ClaimId, request_id: String) {
        let Some(calls) = self.undecided_calls.remove(&(id.clone(), request_id.clone())) else {
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

    /// Handles waiting claims again, after the status of their key has changed.
    fn claim_again(&mut self, calls: Option<Vec<ClaimCall>>) {
        for call in calls.into_iter().flatten() {
            self.handle_claim(call);
        }
    }

    fn new_batch(&self, entries: Vec<ClaimEntry>) -> UnconfirmedBatch {
        let batch = ClaimBatch { batch_id: Uuid::new_v4().to_string(), epoch: self.epoch, entries };
        let body = serde_json::to_string(&batch).expect("a claim batch can be serialized to JSON");
        UnconfirmedBatch { batch, body, append_attempted: false }
    }

    /// Issue time that the newest `Fence` must state, given the known outages.
    fn required_uncertain_before_ms(&self, outages: &[(u64, u64)]) -> u64 {
        uncertain_before_ms(
            outages,
            self.flushed_until_at_start_ms,
            self.acting_since_ms,
            self.options.lease_ms,
            self.options.clock_skew_ms,
        )
    }

    fn pending_is_full(&self) -> bool {
        self.queue.len() + self.memory_entries.len() >= MAX_PENDING_ENTRIES
    }

    fn answer(&self, call: ClaimCall, result: ClaimResult) {
        self.metrics.count_answer(result);
        call.answer(result);
    }

    fn answer_completed(&self, call: ClaimCall, outcome: StoredOutcome) {
        self.metrics.count_answer(ClaimResult::Completed);
        (call.reply)(ClaimReply {
            result: ClaimResult::Completed,
            status: outcome.status,
            content_type: outcome.content_type,
            body_kept: outcome.body.is_some(),
            body: outcome.body.unwrap_or_default(),
        });
    }
}

/// Removes entries from the front of the queue that fit into a record of `max_bytes`. The
/// first entry is taken even if it is larger.
fn take_entries(queue: &mut VecDeque<ClaimEntry>, max_bytes: usize) -> Vec<ClaimEntry> {
    let mut remaining_bytes = max_bytes.saturating_sub(BATCH_OVERHEAD_BYTES);
    let mut entries = Vec::new();
    while let Some(entry) = queue.front() {
        let entry_bytes = serde_json::to_string(entry).map_or(0, |text| text.len() + 1);
        if entry_bytes > remaining_bytes && !entries.is_empty() {
            break;
        }
        remaining_bytes = remaining_bytes.saturating_sub(entry_bytes);
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

/// The request that a `Claim` entry is for.
fn claimed_request(entry: &ClaimEntry) -> Option<RequestKey> {
    match entry {
        ClaimEntry::Claim(claim) => {
            let id = ClaimId::parse(&claim.key.team, &claim.key.key).ok()?;
            Some((id, claim.request_id.clone()))
        }
        _ => None,
    }
}

/// The request that an `Abandon` entry is for.
fn abandoned_request(entry: &ClaimEntry) -> Option<RequestKey> {
    match entry {
        ClaimEntry::Abandon(abandon) => {
            let id = ClaimId::parse(&abandon.key.team, &abandon.key.key).ok()?;
            Some((id, abandon.request_id.clone()))
        }
        _ => None,
    }
}

fn unknown_outcome(id: &ClaimId, request_id: String) -> ClaimEntry {
    ClaimEntry::Outcome(Outcome {
        key: id.to_record(),
        request_id,
        status: UNKNOWN_STATUS,
        content_type: String::new(),
        body: None,
    })
}
