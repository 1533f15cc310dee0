use {
    super::claim_id::ClaimId,
    base64::{Engine, engine::general_purpose::STANDARD},
    lru::LruCache,
    mango_wire::{
        Epoch, HostId, Offset,
        records::{Abandon, Claim, ClaimBatch, ClaimEntry, ClaimKey, Outcome},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        num::NonZeroUsize,
    },
};

// A duplicate of a batch older than this many batches is applied again. That can't
// grant a key twice, because only an unknown key is granted; it can claim a freed key
// again for the old request, which no longer runs.
const MAX_REMEMBERED_BATCHES: NonZeroUsize = NonZeroUsize::new(4096).unwrap();
// Per range; one host may serve several ranges, and its memory limit is 256 MB.
const MAX_STORED_BODY_BYTES: usize = 16 << 20;
/// Status of an outcome without an answer: the request failed and may have run.
pub(crate) const UNKNOWN_STATUS: u16 = 0;

/// State of a key range, derived from the records of its stream in log order. Replayed
/// and new records are applied by the same method, so that all readers of a stream
/// reach the same state.
pub(crate) struct RangeState {
    /// Newest epoch of the batches applied so far.
    epoch: Epoch,
    next_offset: Offset,
    /// A key that is not in `keys` and was issued before this time may have been used by a
    /// request that ran, although the log holds no claim of it.
    uncertain_before_ms: u64,
    /// Time of the latest `Flush`, which states that all claims granted from memory up to
    /// then are in the log.
    flushed_until_ms: u64,
    /// Keys issued before this time are refused.
    expired_before_ms: u64,
    keys: BTreeMap<ClaimId, KeyEntry>,
    applied_batch_ids: LruCache<String, ()>,
    /// Keys with a stored body, in the order in which the bodies were stored.
    stored_body_order: VecDeque<ClaimId>,
    stored_body_bytes: usize,
}

struct KeyEntry {
    request_id: String,
    /// Host that received the request from its caller; empty if the claim is unknown.
    host_id: HostId,
    /// `None` if the claim is unknown and only its outcome was recorded.
    body_digest: Option<u64>,
    phase: Phase,
}

enum Phase {
    Running,
    OutcomeUnknown,
    Completed(StoredOutcome),
}

/// The recorded answer to a claimed request. `body` is `None` if it was not kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StoredOutcome {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Option<Vec<u8>>,
}

/// Result of applying a batch.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum ApplyResult {
    /// Not applied, because its epoch is older than the range's.
    StaleEpoch,
    /// Not applied, because a batch with the same id, or a record at this or a later
    /// offset, was applied before.
    Duplicate,
    /// Applied, with the effects of its entries.
    Applied(Vec<ClaimEvent>),
}

/// Effect of one entry on its key; requests are given by their id.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum ClaimEvent {
    /// The request may run.
    Granted(ClaimId, String),
    /// The request may not run, because the key is not free.
    Refused(ClaimId, String),
    /// The key has got an outcome, which may be an unknown one.
    OutcomeRecorded(ClaimId),
    /// The key may be used again.
    Freed(ClaimId),
}

/// Status of a key from the point of view of one request.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum KeyStatus {
    /// Not claimed, or freed again.
    Free,
    /// Claimed by this request, which has no outcome yet.
    Granted,
    /// Claimed by another request, which has no outcome yet.
    Running,
    /// A request with this key may have run; its outcome is unknown.
    MayHaveRun,
    /// A request with this key has run.
    Completed(StoredOutcome),
    /// Used for a request with another method, path or body.
    Reused,
    /// Issued so long ago that its claim may be gone from the log.
    Expired,
}

impl RangeState {
    /// State before the first record.
    pub(crate) fn new() -> Self {
        Self {
            epoch: 0,
            next_offset: 0,
            uncertain_before_ms: 0,
            flushed_until_ms: 0,
            expired_before_ms: 0,
            keys: BTreeMap::new(),
            applied_batch_ids: LruCache::new(MAX_REMEMBERED_BATCHES),
            stored_body_order: VecDeque::new(),
            stored_body_bytes: 0,
        }
    }

    /// Applies the record at `offset`.
    ///
    /// A batch whose epoch is older than the newest one applied is ignored. Any batch
    /// can introduce a newer epoch, not only one with a `Fence`, since the log may have
    /// deleted the `Fence` of an owner that has served for longer than the retention.
    /// A batch that appears twice is applied once.
    pub(crate) fn apply(&mut self, offset: Offset, batch: &ClaimBatch) -> ApplyResult {
        if offset < self.next_offset {
            return ApplyResult::Duplicate;
        }
        self.next_offset = offset + 1;
        self.apply_before_append(batch)
    }

    /// Applies a batch that will be appended later. When it is read back it is a
    /// duplicate.
    pub(crate) fn apply_before_append(&mut self, batch: &ClaimBatch) -> ApplyResult {
        if batch.epoch < self.epoch {
            return ApplyResult::StaleEpoch;
        }
        self.epoch = batch.epoch;
        if self.applied_batch_ids.put(batch.batch_id.clone(), ()).is_some() {
            return ApplyResult::Duplicate;
        }
        ApplyResult::Applied(self.apply_entries(&batch.entries))
    }

    /// Applies entries. If they will be appended later, their batch must be passed to
    /// `mark_batch_applied`.
    pub(crate) fn apply_entries(&mut self, entries: &[ClaimEntry]) -> Vec<ClaimEvent> {
        entries.iter().filter_map(|e| self.apply_entry(e)).collect()
    }

    /// Treats a batch as a duplicate from now on, because its entries have been applied.
    pub(crate) fn mark_batch_applied(&mut self, batch_id: &str) {
        self.applied_batch_ids.put(batch_id.to_owned(), ());
    }

    /// Skips a record that is not a batch.
    pub(crate) fn skip(&mut self, offset: Offset) {
        self.next_offset = self.next_offset.max(offset + 1);
    }

    /// Status of key `id` for a request, according to the records applied so far.
    pub(crate) fn key_status(&self, id: &ClaimId, request_id: &str, body_digest: u64) -> KeyStatus {
        if id.issued_ms() < self.expired_before_ms {
            return KeyStatus::Expired;
        }
        let Some(entry) = self.keys.get(id) else {
            return if id.issued_ms() < self.uncertain_before_ms {
                KeyStatus::MayHaveRun
            } else {
                KeyStatus::Free
            };
        };
        if entry.body_digest.is_some_and(|d| d != body_digest) {
            return KeyStatus::Reused;
        }
        match &entry.phase {
            Phase::Running if entry.request_id == request_id => KeyStatus::Granted,
            Phase::Running => KeyStatus::Running,
            Phase::OutcomeUnknown => KeyStatus::MayHaveRun,
            Phase::Completed(outcome) => KeyStatus::Completed(outcome.clone()),
        }
    }

    /// Whether an outcome or abandonment reported by a request can change its key.
    pub(crate) fn accepts_report(&self, id: &ClaimId, request_id: &str) -> bool {
        self.keys.get(id).is_none_or(|entry| {
            entry.request_id == request_id && !matches!(entry.phase, Phase::Completed(_))
        })
    }

    /// Running claims of a host, as key and request id, whose key was issued before
    /// `issued_before_ms`.
    pub(crate) fn running_claims_of(
        &self,
        host: &HostId,
        issued_before_ms: u64,
    ) -> Vec<(ClaimId, String)> {
        self.keys
            .range(..ClaimId::first_issued_at(issued_before_ms))
            .filter(|(_, entry)| matches!(entry.phase, Phase::Running) && entry.host_id == *host)
            .map(|(id, entry)| (id.clone(), entry.request_id.clone()))
            .collect()
    }

    /// Removes keys issued before `before_ms` and refuses them from now on. The limit
    /// never decreases, so that a removed key isn't granted again when the wall clock
    /// jumps back.
    pub(crate) fn expire_keys_before(&mut self, before_ms: u64) {
        if before_ms <= self.expired_before_ms {
            return;
        }
        self.expired_before_ms = before_ms;
        while let Some(first) = self.keys.first_entry()
            && first.key().issued_ms() < before_ms
        {
            self.stored_body_bytes -= first.remove().body_bytes();
        }
        while self.stored_body_order.front().is_some_and(|id| id.issued_ms() < before_ms) {
            self.stored_body_order.pop_front();
        }
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(crate) fn next_offset(&self) -> Offset {
        self.next_offset
    }

    pub(crate) fn uncertain_before_ms(&self) -> u64 {
        self.uncertain_before_ms
    }

    pub(crate) fn flushed_until_ms(&self) -> u64 {
        self.flushed_until_ms
    }

    pub(crate) fn keys_held(&self) -> usize {
        self.keys.len()
    }

    fn apply_entry(&mut self, entry: &ClaimEntry) -> Option<ClaimEvent> {
        match entry {
            ClaimEntry::Fence(fence) => {
                self.uncertain_before_ms = self.uncertain_before_ms.max(fence.uncertain_before_ms);
                None
            }
            ClaimEntry::Flush(flush) => {
                self.flushed_until_ms = self.flushed_until_ms.max(flush.ended_ms);
                None
            }
            ClaimEntry::Claim(claim) => self.apply_claim(claim),
            ClaimEntry::Outcome(outcome) => self.apply_outcome(outcome),
            ClaimEntry::Abandon(abandon) => self.apply_abandon(abandon),
        }
    }

    fn apply_claim(&mut self, claim: &Claim) -> Option<ClaimEvent> {
        let id = parse_claim_key(&claim.key)?;
        let request_id = claim.request_id.clone();
        match self.key_status(&id, &request_id, claim.body_digest) {
            KeyStatus::Free => {
                let entry = KeyEntry {
                    request_id: request_id.clone(),
                    host_id: claim.host_id.clone(),
                    body_digest: Some(claim.body_digest),
                    phase: Phase::Running,
                };
                self.keys.insert(id.clone(), entry);
                Some(ClaimEvent::Granted(id, request_id))
            }
            KeyStatus::Granted => Some(ClaimEvent::Granted(id, request_id)),
            _ => Some(ClaimEvent::Refused(id, request_id)),
        }
    }

    /// An outcome for an unknown key is stored: its claim was granted from memory by an
    /// owner that did not flush it, so the request has run.
    fn apply_outcome(&mut self, outcome: &Outcome) -> Option<ClaimEvent> {
        let id = parse_claim_key(&outcome.key)?;
        if id.issued_ms() < self.expired_before_ms || !self.accepts_report(&id, &outcome.request_id)
        {
            return None;
        }
        let phase = to_stored_outcome(outcome).map_or(Phase::OutcomeUnknown, Phase::Completed);
        let entry = self.keys.entry(id.clone()).or_insert_with(|| KeyEntry {
            request_id: outcome.request_id.clone(),
            host_id: HostId::new(),
            body_digest: None,
            phase: Phase::Running,
        });
        entry.phase = phase;
        let added_bytes = entry.body_bytes();
        if added_bytes > 0 {
            self.stored_body_bytes += added_bytes;
            self.stored_body_order.push_back(id.clone());
            self.drop_old_bodies();
        }
        Some(ClaimEvent::OutcomeRecorded(id))
    }

    fn apply_abandon(&mut self, abandon: &Abandon) -> Option<ClaimEvent> {
        let id = parse_claim_key(&abandon.key)?;
        let entry = self.keys.get(&id)?;
        if entry.request_id != abandon.request_id || matches!(entry.phase, Phase::Completed(_)) {
            return None;
        }
        self.keys.remove(&id);
        Some(ClaimEvent::Freed(id))
    }

    /// Drops the bodies stored first until the rest fits into the limit.
    fn drop_old_bodies(&mut self) {
        while self.stored_body_bytes > MAX_STORED_BODY_BYTES {
            let Some(id) = self.stored_body_order.pop_front() else {
                return;
            };
            if let Some(KeyEntry { phase: Phase::Completed(outcome), .. }) = self.keys.get_mut(&id)
            {
                self.stored_body_bytes -= outcome.body.take().map_or(0, |body| body.len());
            }
        }
    }
}

impl KeyEntry {
    fn body_bytes(&self) -> usize {
        match &self.phase {
            Phase::Completed(outcome) => outcome.body.as_ref().map_or(0, Vec::len),
            Phase::Running | Phase::OutcomeUnknown => 0,
        }
    }
}

/// `None` if the outcome is unknown.
fn to_stored_outcome(outcome: &Outcome) -> Option<StoredOutcome> {
    if outcome.status == UNKNOWN_STATUS {
        return None;
    }
    Some(StoredOutcome {
        status: outcome.status,
        content_type: outcome.content_type.clone(),
        body: outcome.body.as_ref().and_then(|text| STANDARD.decode(text).ok()),
    })
}

fn parse_claim_key(key: &ClaimKey) -> Option<ClaimId> {
    ClaimId::parse(&key.team, &key.key).ok()
}
