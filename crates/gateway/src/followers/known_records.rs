use {
    super::departed_endpoints::DepartedEndpoints,
    crate::endpoints::{EndpointId, EndpointRecord},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

/// The newest readable record of each endpoint in the store's log.
///
/// What other hosts are told depends on these records alone. The directory of this host may
/// differ: it keeps endpoints whose record has vanished, or has not been told of others.
#[derive(Debug, Default)]
pub(super) struct KnownRecords {
    by_id: BTreeMap<EndpointId, EndpointRecord>,
    /// Endpoints of which no record was skipped since the known one.
    current: BTreeSet<EndpointId>,
    departed: DepartedEndpoints,
    /// Digests of all records, combined by exclusive or.
    digest: u64,
}

/// What a record says beside the known one of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordNews {
    New,
    /// That the endpoint still runs.
    Heartbeat,
    /// It is older than the known record or a removal, or contradicts the known record, and may be
    /// another writer's.
    Doubtful,
}

impl KnownRecords {
    /// Takes over a record unless it is doubtful.
    pub(super) fn update(&mut self, record: &EndpointRecord, now: Instant) -> RecordNews {
        let news = self.judge(record, now);
        if news != RecordNews::Doubtful {
            self.accept(record.clone());
        }
        news
    }

    /// Takes over a record.
    pub(super) fn accept(&mut self, record: EndpointRecord) {
        self.departed.forget(&record.id);
        self.current.insert(record.id.clone());
        self.digest ^= record.digest();
        if let Some(replaced) = self.by_id.insert(record.id.clone(), record) {
            self.digest ^= replaced.digest();
        }
    }

    /// Removes the record of an endpoint that has left.
    pub(super) fn remove_departed(&mut self, id: &str, now: Instant) {
        let is_newest = self.current.contains(id);
        if let Some(removed) = self.remove(id) {
            self.departed.record_departure(&removed, is_newest, now);
        }
    }

    /// Removes the record of an endpoint that may have expired in an outage of the store.
    pub(super) fn remove_expired(&mut self, id: &str, now: Instant) {
        if let Some(removed) = self.remove(id) {
            self.departed.record_expiry(&removed, now);
        }
    }

    fn remove(&mut self, id: &str) -> Option<EndpointRecord> {
        self.current.remove(id);
        let removed = self.by_id.remove(id)?;
        self.digest ^= removed.digest();
        Some(removed)
    }

    /// Replaces all records by those of a complete listing. Endpoints whose listed record is doubtful
    /// keep the known one; the doubtful records are returned. `may_have_expired` says that records may be
    /// missing although their endpoints have not left.
    pub(super) fn replace_all(
        &mut self,
        records: Vec<EndpointRecord>,
        may_have_expired: bool,
        now: Instant,
    ) -> Vec<EndpointRecord> {
        let listed: BTreeSet<EndpointId> = records.iter().map(|record| record.id.clone()).collect();
        let missing: Vec<EndpointId> =
            self.by_id.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            match may_have_expired {
                true => self.remove_expired(&id, now),
                false => self.remove_departed(&id, now),
            }
        }
        let is_doubtful = |record: &EndpointRecord, known: &mut KnownRecords| {
            known.update(record, now) == RecordNews::Doubtful
        };
        records.into_iter().filter(|record| is_doubtful(record, self)).collect()
    }

    /// Records that heartbeats may have been skipped, since a relay does not pass them on.
    pub(super) fn record_skipped(&mut self) {
        self.current.clear();
    }

    /// Digest of the records; equal for equal ones, in whatever order they were read.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    pub(super) fn get(&self, id: &str) -> Option<&EndpointRecord> {
        self.by_id.get(id)
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.by_id.values()
    }

    /// Until when peers need the last record of an endpoint that has left; `None` if it is not known.
    pub(super) fn last_record_needed_until(&self, id: &str) -> Option<Instant> {
        self.departed.last_record_needed_until(id)
    }

    /// What a record says beside an earlier one of the same endpoint, or its removal.
    fn judge(&mut self, record: &EndpointRecord, now: Instant) -> RecordNews {
        match self.by_id.get(&record.id) {
            Some(known) if record.says_only_alive(known) => RecordNews::Heartbeat,
            Some(known) if record.is_older_than(known) || record.contradicts(known) => {
                RecordNews::Doubtful
            }
            None if self.departed.may_be_late(record, now) => RecordNews::Doubtful,
            Some(_) | None => RecordNews::New,
        }
    }
}
