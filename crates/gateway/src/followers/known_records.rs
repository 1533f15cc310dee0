use {
    crate::endpoints::{EndpointId, EndpointRecord},
    std::collections::BTreeMap,
};

/// The newest readable record of each endpoint in the store's log.
///
/// What other hosts are told depends on these records alone. The directory of this host may
/// differ: it keeps endpoints whose record has vanished, or has not been told of others.
#[derive(Debug, Default)]
pub(super) struct KnownRecords {
    by_id: BTreeMap<EndpointId, EndpointRecord>,
    /// Digests of all records, combined by exclusive or.
    digest: u64,
}

/// What a record says beside the known one of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordNews {
    New,
    /// That the endpoint still runs.
    Heartbeat,
    /// It is older than the known record or contradicts it, and may be another writer's.
    Doubtful,
}

impl KnownRecords {
    /// Takes over a record unless it is doubtful.
    pub(super) fn update(&mut self, record: &EndpointRecord) -> RecordNews {
        let news = self.by_id.get(&record.id).map_or(RecordNews::New, |known| judge(record, known));
        if news != RecordNews::Doubtful {
            self.accept(record.clone());
        }
        news
    }

    /// Takes over a record.
    pub(super) fn accept(&mut self, record: EndpointRecord) {
        self.digest ^= record.digest();
        if let Some(replaced) = self.by_id.insert(record.id.clone(), record) {
            self.digest ^= replaced.digest();
        }
    }

    pub(super) fn remove(&mut self, id: &str) {
        if let Some(removed) = self.by_id.remove(id) {
            self.digest ^= removed.digest();
        }
    }

    /// Replaces all records by those of a complete listing. Endpoints whose listed record is doubtful
    /// keep the known one; the doubtful records are returned.
    pub(super) fn replace_all(&mut self, records: Vec<EndpointRecord>) -> Vec<EndpointRecord> {
        let mut previous = std::mem::take(self).by_id;
        let mut doubtful = Vec::new();
        for listed in records {
            match previous.remove(&listed.id) {
                Some(known) if judge(&listed, &known) == RecordNews::Doubtful => {
                    doubtful.push(listed);
                    self.accept(known);
                }
                _ => self.accept(listed),
            }
        }
        doubtful
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
}

/// What a record says beside an earlier one of the same endpoint.
fn judge(record: &EndpointRecord, known: &EndpointRecord) -> RecordNews {
    if record.says_only_alive(known) {
        RecordNews::Heartbeat
    } else if record.is_older_than(known) || record.contradicts(known) {
        RecordNews::Doubtful
    } else {
        RecordNews::New
    }
}
