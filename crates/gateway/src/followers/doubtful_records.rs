use {
    crate::endpoints::{EndpointId, EndpointRecord},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Records that may be another writer's: they contradict what the endpoint said, or are older.
///
/// An endpoint whose record was replaced writes it again with its next heartbeat. A record that
/// stands for longer is its own.
#[derive(Debug, Default)]
pub(super) struct DoubtfulRecords {
    by_id: BTreeMap<EndpointId, DoubtfulRecord>,
}

#[derive(Debug)]
struct DoubtfulRecord {
    record: EndpointRecord,
    accepted_at: Instant,
}

impl DoubtfulRecords {
    /// Holds a record back until a time, or until the earlier one that was set for the same content.
    pub(super) fn hold(&mut self, record: EndpointRecord, accepted_at: Instant) {
        let held = self.by_id.remove(&record.id);
        let accepted_at = held
            .filter(|held| held.record.digest() == record.digest())
            .map_or(accepted_at, |held| held.accepted_at);
        self.by_id.insert(record.id.clone(), DoubtfulRecord { record, accepted_at });
    }

    /// Whether a record with the same content is held back.
    pub(super) fn holds(&self, record: &EndpointRecord) -> bool {
        self.by_id.get(&record.id).is_some_and(|held| held.record.digest() == record.digest())
    }

    /// Whether any record of an endpoint is held back.
    pub(super) fn holds_any(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    /// Forgets the record of an endpoint, since a newer one settled the doubt. Returns whether one was
    /// held back.
    pub(super) fn forget(&mut self, id: &str) -> bool {
        self.by_id.remove(id).is_some()
    }

    /// Takes the records that have stood for long enough.
    pub(super) fn take_accepted(&mut self, now: Instant) -> Vec<EndpointRecord> {
        let accepted = self.by_id.extract_if(.., |_, held| held.accepted_at <= now);
        accepted.map(|(_, held)| held.record).collect()
    }

    /// Forgets the records of endpoints that are no longer listed.
    pub(super) fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.by_id.retain(|id, _| is_listed(id));
    }

    /// Accepts all records later, since none could be replaced for a time.
    pub(super) fn postpone(&mut self, time: Duration) {
        for held in self.by_id.values_mut() {
            held.accepted_at += time;
        }
    }

    /// When the next record is to be accepted that was not due before.
    pub(super) fn next_due(&self, now: Instant) -> Option<Instant> {
        self.by_id.values().map(|held| held.accepted_at).filter(|at| *at > now).min()
    }
}
