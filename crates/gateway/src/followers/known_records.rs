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

impl KnownRecords {
    /// Takes over a record unless it is older than the known one. Returns whether it says more
    /// than that the endpoint still runs.
    pub(super) fn update(&mut self, record: &EndpointRecord) -> bool {
        let known = self.by_id.get(&record.id);
        if known.is_some_and(|known| record.is_older_than(known)) {
            return false;
        }
        let is_news = known.is_none_or(|known| !record.is_heartbeat_after(known));
        self.insert(record.clone());
        is_news
    }

    pub(super) fn remove(&mut self, id: &str) {
        if let Some(removed) = self.by_id.remove(id) {
            self.digest ^= removed.digest();
        }
    }

    fn insert(&mut self, record: EndpointRecord) {
        self.digest ^= record.digest();
        if let Some(replaced) = self.by_id.insert(record.id.clone(), record) {
            self.digest ^= replaced.digest();
        }
    }

    /// Replaces all records by those of a complete listing. An older record than the known one is
    /// not taken over.
    pub(super) fn replace_all(&mut self, records: Vec<EndpointRecord>) {
        let mut previous = std::mem::take(self).by_id;
        for listed in records {
            let known = previous.remove(&listed.id).filter(|known| listed.is_older_than(known));
            self.insert(known.unwrap_or(listed));
        }
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
