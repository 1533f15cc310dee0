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

    pub(super) fn end(&self) -> u64 {
        self.log.len() as u64
    }
}
