use {
    crate::{records::RawRecord, telemetry::event},
    std::collections::BTreeSet,
};

/// Most keys that are remembered, so that each is logged once.
const MAX_KEYS: usize = 256;
/// Longest reason in the log: it may quote the record.
const MAX_REASON_CHARS: usize = 200;

/// Endpoints whose newest record cannot be read.
#[derive(Debug, Default)]
pub(super) struct UnreadableRecords {
    keys: BTreeSet<Box<str>>,
}

impl UnreadableRecords {
    /// Logs a record unless the last one of its key could not be read either. Returns whether it did.
    pub(super) fn record(&mut self, record: &RawRecord, reason: &str) -> bool {
        if self.keys.len() >= MAX_KEYS {
            self.keys.pop_first();
        }
        if !self.keys.insert(record.key.clone()) {
            return false;
        }
        let shown: String = reason.chars().take(MAX_REASON_CHARS).collect();
        event!(
            "endpoint_record_unreadable",
            "key={:?} offset={} bytes={} reason={shown:?}",
            record.key,
            record.offset,
            record.value.len()
        );
        true
    }

    pub(super) fn contains(&self, key: &str) -> bool {
        self.keys.contains(key)
    }

    /// Forgets a key, since its newest record can be read.
    pub(super) fn forget(&mut self, key: &str) {
        self.keys.remove(key);
    }
}
