use {
    crate::endpoints::{EndpointId, EndpointRecord, EndpointState},
    std::{
        cmp::Ordering,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Heartbeats of a running endpoint that may be lost in a row: with a third one, its record lapses.
const MAX_LOST_HEARTBEATS: u64 = 2;
/// Time for which a removal is remembered: longer than the store takes to execute a call.
const MEMORY_TIME: Duration = Duration::from_secs(30);

/// Endpoints whose record was removed not long ago.
///
/// The store may execute a heartbeat after the removal that followed it. Such a late record does not
/// mean that its endpoint is back.
#[derive(Debug, Default)]
pub(super) struct DepartedEndpoints {
    by_id: BTreeMap<EndpointId, DepartedEndpoint>,
}

#[derive(Debug)]
struct DepartedEndpoint {
    started_at_unix_ms: u64,
    state: EndpointState,
    late_sequences: LateSequences,
    forgotten_at: Instant,
}

/// Sequence numbers of records that may have been sent before the removal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LateSequences {
    UpTo(u64),
    /// The last number is not known. This many records since the removal had consecutive numbers, up to
    /// `newest`.
    Unknown {
        newest: u64,
        consecutive: u64,
    },
    /// The record expired although its endpoint may run, so that any number may be a new one.
    None,
}

impl DepartedEndpoints {
    /// Records that an endpoint has left. `is_newest` says that no heartbeat came between `last` and the
    /// removal.
    pub(super) fn record_departure(
        &mut self,
        last: &EndpointRecord,
        is_newest: bool,
        now: Instant,
    ) {
        let late_sequences = match is_newest {
            true => LateSequences::UpTo(last.sequence + MAX_LOST_HEARTBEATS),
            false => LateSequences::Unknown { newest: 0, consecutive: 0 },
        };
        self.record(last, late_sequences, now);
    }

    /// Records that the record of an endpoint may have expired in an outage of the store.
    pub(super) fn record_expiry(&mut self, last: &EndpointRecord, now: Instant) {
        self.record(last, LateSequences::None, now);
    }

    fn record(&mut self, last: &EndpointRecord, late_sequences: LateSequences, now: Instant) {
        self.by_id.retain(|_, departed| now < departed.forgotten_at);
        let departed = DepartedEndpoint {
            started_at_unix_ms: last.started_at_unix_ms,
            state: last.state,
            late_sequences,
            forgotten_at: now + MEMORY_TIME,
        };
        self.by_id.insert(last.id.clone(), departed);
    }

    /// Whether a record may have been sent before the removal of its endpoint.
    pub(super) fn may_be_late(&mut self, record: &EndpointRecord, now: Instant) -> bool {
        let Some(departed) = self.by_id.get_mut(&record.id) else { return false };
        if departed.forgotten_at <= now {
            return false;
        }
        match record.started_at_unix_ms.cmp(&departed.started_at_unix_ms) {
            Ordering::Less => true,
            Ordering::Equal => departed.may_have_sent(record),
            Ordering::Greater => false,
        }
    }

    /// Until when peers need the last record of an endpoint; `None` if they do not.
    pub(super) fn last_record_needed_until(&self, id: &str) -> Option<Instant> {
        let departed = self.by_id.get(id)?;
        matches!(departed.late_sequences, LateSequences::UpTo(_)).then_some(departed.forgotten_at)
    }

    pub(super) fn forget(&mut self, id: &str) {
        self.by_id.remove(id);
    }
}

impl DepartedEndpoint {
    /// Whether the process may have sent a record before the removal. If it runs, it goes on counting; a
    /// late record is followed by few others.
    fn may_have_sent(&mut self, record: &EndpointRecord) -> bool {
        let is_ready_again =
            self.state == EndpointState::Draining && record.state == EndpointState::Ready;
        is_ready_again || self.is_late_sequence(record.sequence)
    }

    fn is_late_sequence(&mut self, sequence: u64) -> bool {
        match &mut self.late_sequences {
            LateSequences::UpTo(last) => sequence <= *last,
            LateSequences::Unknown { newest, consecutive } => {
                let is_next = *consecutive > 0 && sequence == *newest + 1;
                *consecutive = if is_next { *consecutive + 1 } else { 1 };
                *newest = sequence;
                *consecutive <= MAX_LOST_HEARTBEATS
            }
            LateSequences::None => false,
        }
    }
}
