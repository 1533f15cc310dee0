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

// A repeated batch older than this many batches is judged anew. That can't grant a
// key twice, because only an unknown key is granted; it can leave a key running.
const REMEMBERED_BATCHES: NonZeroUsize = NonZeroUsize::new(4096).unwrap();
// Several ranges may be served by one host, whose memory limit is 256 MB.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Status of an outcome that says that the request failed without a known answer.
pub(crate) const UNKNOWN_STATUS: u16 = 0;

/// What the records of a key range's stream say, judged in log order. Replay and live
/// records go through the same method, so all readers of a stream agree.
pub(crate) struct RangeState {
    epoch: Epoch,
    next_offset: Offset,
    uncertain_before_ms: u64,
    flushed_until_ms: u64,
    expired_before_ms: u64,
    keys: BTreeMap<ClaimId, KeyEntry>,
    batch_ids: LruCache<String, ()>,
    body_order: VecDeque<ClaimId>,
    body_bytes: usize,
}

struct KeyEntry {
    request_id: String,
    host_id: HostId,
    /// `None` if only the outcome is known.
    body_digest: Option<u64>,
    phase: Phase,
}

enum Phase {
    Running,
    Lost,
    Completed(StoredOutcome),
}

/// The answer to a claimed request. `body` is `None` if it was not kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StoredOutcome {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Option<Vec<u8>>,
}

/// What a batch changed.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Applied {
    /// Its epoch is older than the range's.
    Void,
    /// A batch with this id has been applied, or a record at or after this offset.
    Repeated,
    /// It counts.
    Counted(Vec<ClaimEvent>),
}

/// The effect of one entry.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum ClaimEvent {
    /// The request is the one that may run.
    Granted(ClaimId, String),
    /// The key is not free for the request.
    Refused(ClaimId, String),
    /// The key has an outcome, which may be an unknown one.
    Settled(ClaimId),
    /// The key may be used again.
    Freed(ClaimId),
}

/// How a request stands to its key.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Judgement {
    Free,
    Granted,
    Running,
    MayHaveRun,
    Completed(StoredOutcome),
    Reused,
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
            batch_ids: LruCache::new(REMEMBERED_BATCHES),
            body_order: VecDeque::new(),
            body_bytes: 0,
        }
    }

    /// Applies the record at `offset`.
    ///
    /// A batch of an older epoch than the newest seen is void. A newer epoch is taken
    /// over from any batch, since the log may have dropped the `Fence` of an owner
    /// that has served for longer than the retention. A batch that appears twice
    /// counts once.
    pub(crate) fn apply(&mut self, offset: Offset, batch: &ClaimBatch) -> Applied {
        if offset < self.next_offset {
            return Applied::Repeated;
        }
        self.next_offset = offset + 1;
        self.apply_unlogged(batch)
    }

    /// Applies a batch that will be appended later. When it is read back it counts as
    /// repeated.
    pub(crate) fn apply_unlogged(&mut self, batch: &ClaimBatch) -> Applied {
        if batch.epoch < self.epoch {
            return Applied::Void;
        }
        self.epoch = batch.epoch;
        if self.batch_ids.put(batch.batch_id.clone(), ()).is_some() {
            return Applied::Repeated;
        }
        Applied::Counted(self.apply_entries(&batch.entries))
    }

    /// Applies entries that will be appended in a batch later; `remember` names it.
    pub(crate) fn apply_entries(&mut self, entries: &[ClaimEntry]) -> Vec<ClaimEvent> {
        entries.iter().filter_map(|e| self.apply_entry(e)).collect()
    }

    /// Makes a batch count as repeated, because its entries have been applied.
    pub(crate) fn remember(&mut self, batch_id: &str) {
        self.batch_ids.put(batch_id.to_owned(), ());
    }

    /// Skips a record that is not a batch.
    pub(crate) fn skip(&mut self, offset: Offset) {
        self.next_offset = self.next_offset.max(offset + 1);
    }

    /// Judges a request against the records applied so far.
    pub(crate) fn judge(&self, id: &ClaimId, request_id: &str, body_digest: u64) -> Judgement {
        if id.issued_ms() < self.expired_before_ms {
            return Judgement::Expired;
        }
        let Some(entry) = self.keys.get(id) else {
            return if id.issued_ms() < self.uncertain_before_ms {
                Judgement::MayHaveRun
            } else {
                Judgement::Free
            };
        };
        if entry.body_digest.is_some_and(|d| d != body_digest) {
            return Judgement::Reused;
        }
        match &entry.phase {
            Phase::Running if entry.request_id == request_id => Judgement::Granted,
            Phase::Running => Judgement::Running,
            Phase::Lost => Judgement::MayHaveRun,
            Phase::Completed(outcome) => Judgement::Completed(outcome.clone()),
        }
    }

    /// Whether an outcome or abandonment reported by a request would change its key.
    pub(crate) fn is_open(&self, id: &ClaimId, request_id: &str) -> bool {
        self.keys.get(id).is_none_or(|entry| {
            entry.request_id == request_id && !matches!(entry.phase, Phase::Completed(_))
        })
    }

    /// Running claims of a host, as key and request id, issued before `issued_before_ms`.
    pub(crate) fn running_of(
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

    /// Forgets keys issued before `before_ms` and refuses them from now on. The limit
    /// never falls, so a wall clock that jumps back can't make a forgotten key new.
    pub(crate) fn expire(&mut self, before_ms: u64) {
        if before_ms <= self.expired_before_ms {
            return;
        }
        self.expired_before_ms = before_ms;
        while let Some(first) = self.keys.first_entry()
            && first.key().issued_ms() < before_ms
        {
            self.body_bytes -= first.remove().body_bytes();
        }
        while self.body_order.front().is_some_and(|id| id.issued_ms() < before_ms) {
            self.body_order.pop_front();
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
        let id = parse(&claim.key)?;
        let request_id = claim.request_id.clone();
        match self.judge(&id, &request_id, claim.body_digest) {
            Judgement::Free => {
                let entry = KeyEntry {
                    request_id: request_id.clone(),
                    host_id: claim.host_id.clone(),
                    body_digest: Some(claim.body_digest),
                    phase: Phase::Running,
                };
                self.keys.insert(id.clone(), entry);
                Some(ClaimEvent::Granted(id, request_id))
            }
            Judgement::Granted => Some(ClaimEvent::Granted(id, request_id)),
            _ => Some(ClaimEvent::Refused(id, request_id)),
        }
    }

    /// An outcome for an unknown key is kept: its claim was granted from memory by an
    /// owner that did not flush it, so the request has run.
    fn apply_outcome(&mut self, outcome: &Outcome) -> Option<ClaimEvent> {
        let id = parse(&outcome.key)?;
        if id.issued_ms() < self.expired_before_ms || !self.is_open(&id, &outcome.request_id) {
            return None;
        }
        let phase = stored(outcome).map_or(Phase::Lost, Phase::Completed);
        let entry = self.keys.entry(id.clone()).or_insert_with(|| KeyEntry {
            request_id: outcome.request_id.clone(),
            host_id: HostId::new(),
            body_digest: None,
            phase: Phase::Running,
        });
        entry.phase = phase;
        let added_bytes = entry.body_bytes();
        if added_bytes > 0 {
            self.body_bytes += added_bytes;
            self.body_order.push_back(id.clone());
            self.drop_old_bodies();
        }
        Some(ClaimEvent::Settled(id))
    }

    fn apply_abandon(&mut self, abandon: &Abandon) -> Option<ClaimEvent> {
        let id = parse(&abandon.key)?;
        let entry = self.keys.get(&id)?;
        if entry.request_id != abandon.request_id || matches!(entry.phase, Phase::Completed(_)) {
            return None;
        }
        self.keys.remove(&id);
        Some(ClaimEvent::Freed(id))
    }

    fn drop_old_bodies(&mut self) {
        while self.body_bytes > MAX_BODY_BYTES {
            let Some(id) = self.body_order.pop_front() else {
                return;
            };
            if let Some(KeyEntry { phase: Phase::Completed(outcome), .. }) = self.keys.get_mut(&id)
            {
                self.body_bytes -= outcome.body.take().map_or(0, |body| body.len());
            }
        }
    }
}

impl KeyEntry {
    fn body_bytes(&self) -> usize {
        match &self.phase {
            Phase::Completed(outcome) => outcome.body.as_ref().map_or(0, Vec::len),
            Phase::Running | Phase::Lost => 0,
        }
    }
}

fn stored(outcome: &Outcome) -> Option<StoredOutcome> {
    if outcome.status == UNKNOWN_STATUS {
        return None;
    }
    Some(StoredOutcome {
        status: outcome.status,
        content_type: outcome.content_type.clone(),
        body: outcome.body.as_ref().and_then(|text| STANDARD.decode(text).ok()),
    })
}

fn parse(key: &ClaimKey) -> Option<ClaimId> {
    ClaimId::parse(&key.team, &key.key).ok()
}
