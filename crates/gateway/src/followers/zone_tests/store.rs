use {
    crate::records::RawRecord,
    std::{collections::BTreeMap, time::Instant},
};

/// The log of the endpoints' records, and whether the store answers.
#[derive(Default)]
pub(super) struct Store {
    pub(super) log: Vec<RawRecord>,
    pub(super) newest: BTreeMap<Box<str>, RawRecord>,
    pub(super) down_since: Option<Instant>,
    pub(super) returned_at: Option<Instant>,
    /// Rises with each return from an older copy.
    pub(super) era: u64,
}

impl Store {
    pub(super) fn write(&mut self, key: &str, value: &str) {
        let record = RawRecord {
            offset: self.log.len() as u64,
            key: key.into(),
            value: value.as_bytes().to_vec(),
        };
        match value.is_empty() {
            true => drop(self.newest.remove(key)),
            false => drop(self.newest.insert(key.into(), record.clone())),
        }
        self.log.push(record);
    }

    /// Comes back from a copy without the last records.
    pub(super) fn lose_records(&mut self, count: usize) {
        self.era += 1;
        let kept = self.log.len().saturating_sub(count);
        let log: Vec<RawRecord> = std::mem::take(&mut self.log).drain(..kept).collect();
        self.newest.clear();
        for record in log {
            self.write(&record.key, std::str::from_utf8(&record.value).expect("text"));
        }
    }

    pub(super) fn end(&self) -> u64 {
        self.log.len() as u64
    }
}
