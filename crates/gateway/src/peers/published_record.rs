use crate::records::{Offset, RawRecord};

/// What a relay tells of one key.
#[derive(Debug)]
pub(super) struct PublishedRecord {
    /// The newest record that is not held back; an empty value is a tombstone.
    in_force: Option<RecordValue>,
    /// A newer record that this host holds back. Peers judge it by the one in force, as this host does.
    held_back: Option<RecordValue>,
}

#[derive(Debug)]
struct RecordValue {
    offset: Offset,
    bytes: Vec<u8>,
}

impl PublishedRecord {
    pub(super) fn in_force(record: &RawRecord) -> PublishedRecord {
        PublishedRecord { in_force: Some(record.into()), held_back: None }
    }

    /// A record that is held back although no older one is known.
    pub(super) fn held_back(record: &RawRecord) -> PublishedRecord {
        PublishedRecord { in_force: None, held_back: Some(record.into()) }
    }

    /// Holds a record back.
    pub(super) fn hold(&mut self, record: &RawRecord) {
        self.held_back = Some(record.into());
    }

    /// The value in force, if there is one.
    pub(super) fn into_value(self) -> Option<Vec<u8>> {
        self.in_force.map(|record| record.bytes)
    }

    /// Offset of the removal, if this is a tombstone.
    pub(super) fn removed_at(&self) -> Option<Offset> {
        let removal = self.in_force.as_ref().filter(|record| record.bytes.is_empty());
        removal.map(|record| record.offset)
    }

    /// The records of the key from an offset on, in the order in which peers apply them. A complete
    /// listing has all of them but tombstones.
    pub(super) fn records(
        &self,
        from: Offset,
        is_complete: bool,
    ) -> impl Iterator<Item = (Offset, &[u8])> {
        let records = self.in_force.iter().chain(&self.held_back);
        let told = records.filter(move |record| match is_complete {
            true => !record.bytes.is_empty(),
            false => record.offset >= from,
        });
        told.map(|record| (record.offset, &*record.bytes))
    }
}

impl From<&RawRecord> for RecordValue {
    fn from(record: &RawRecord) -> RecordValue {
        RecordValue { offset: record.offset, bytes: record.value.clone() }
    }
}
