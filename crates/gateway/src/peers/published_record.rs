use {
    crate::records::{Offset, RawRecord},
    std::time::Instant,
};

/// What a relay tells of one key.
#[derive(Debug, Default)]
pub(super) struct PublishedRecord {
    /// The newest record that is not held back; an empty value is a tombstone.
    in_force: Option<RecordValue>,
    /// Value of the newest record that says the same as the one in force.
    repeated: Option<Vec<u8>>,
    /// Of a tombstone, the last record before the removal, by which peers tell late records.
    last: Option<LastRecord>,
    /// A newer record that this host holds back. Peers judge it by the one in force, as this host does.
    held_back: Option<RecordValue>,
}

#[derive(Debug)]
struct RecordValue {
    offset: Offset,
    bytes: Vec<u8>,
}

#[derive(Debug)]
struct LastRecord {
    bytes: Vec<u8>,
    /// Until when a host that starts needs it.
    needed_until: Instant,
}

impl PublishedRecord {
    pub(super) fn in_force(record: &RawRecord) -> PublishedRecord {
        PublishedRecord { in_force: Some(record.into()), ..PublishedRecord::default() }
    }

    /// A record that is held back although no older one is known.
    pub(super) fn held_back(record: &RawRecord) -> PublishedRecord {
        PublishedRecord { held_back: Some(record.into()), ..PublishedRecord::default() }
    }

    /// Holds a record back.
    pub(super) fn hold(&mut self, record: &RawRecord) {
        self.held_back = Some(record.into());
    }

    /// Stores the value of a newer record that says the same as the one in force.
    pub(super) fn refresh(&mut self, value: &[u8]) {
        self.repeated = Some(value.to_vec());
    }

    /// Replaces the record in force by its removal.
    pub(super) fn remove(&mut self, removal: &RawRecord, needed_until: Instant) {
        let last = self.in_force.replace(removal.into()).map(|last| last.bytes);
        if let Some(bytes) = self.repeated.take().or(last).filter(|bytes| !bytes.is_empty()) {
            self.last = Some(LastRecord { bytes, needed_until });
        }
        self.held_back = None;
    }

    /// Moves the record in force to another offset, since the log was listed.
    pub(super) fn set_offset(&mut self, offset: Offset) {
        if let Some(in_force) = &mut self.in_force {
            in_force.offset = offset;
        }
        self.held_back = None;
    }

    /// Forgets the last record before the removal.
    pub(super) fn forget_last(&mut self) {
        self.last = None;
    }

    /// Whether a host that starts needs the last record before the removal of this key.
    fn needs_last(&self, now: Instant) -> bool {
        self.last.as_ref().is_some_and(|last| now < last.needed_until)
    }

    /// Offset of the removal, if this is a tombstone.
    pub(super) fn removed_at(&self) -> Option<Offset> {
        let removal = self.in_force.as_ref().filter(|record| record.bytes.is_empty());
        removal.map(|record| record.offset)
    }

    /// The records of the key from an offset on, in the order in which peers apply them. A complete
    /// listing has all of them, but no tombstone that a host that starts does not need.
    pub(super) fn records(
        &self,
        from: Offset,
        is_complete: bool,
    ) -> impl Iterator<Item = (Offset, &[u8])> {
        let in_force = self.in_force.as_ref().filter(|record| match is_complete {
            true => !record.bytes.is_empty() || self.needs_last(Instant::now()),
            false => record.offset >= from,
        });
        let last =
            in_force.zip(self.last.as_ref()).map(|(record, last)| (record.offset, &*last.bytes));
        let held_back =
            self.held_back.as_ref().filter(|record| is_complete || record.offset >= from);
        let records = in_force.into_iter().chain(held_back);
        last.into_iter().chain(records.map(|record| (record.offset, &*record.bytes)))
    }
}

impl From<&RawRecord> for RecordValue {
    fn from(record: &RawRecord) -> RecordValue {
        RecordValue { offset: record.offset, bytes: record.value.clone() }
    }
}
