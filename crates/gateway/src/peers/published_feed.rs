use {
    super::relay_election::max_answer_bytes,
    crate::{
        clock::BootInstant,
        followers::{Offset, RawRecord},
    },
    mango_wire::{
        encode_bounded,
        gossip::{FeedStatus, RelayedChanges, RelayedRecord},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Largest answer to a peer, in bytes.
pub(super) const MAX_CHANGES_BYTES: usize = 8 * 1024 * 1024;
/// Removed keys that are remembered, so that peers learn of them.
const MAX_REMOVED: usize = 512;

/// What this host has read of one log, for its peers: the newest record of each key
/// that changed the state.
#[derive(Debug, Default)]
pub(crate) struct PublishedFeed {
    position: Option<Offset>,
    changed: Option<Offset>,
    /// End of the last whole listing. Keys that were removed before it are not known.
    listed_at: Offset,
    confirmed_at: Option<BootInstant>,
    records: BTreeMap<Box<str>, (Offset, Vec<u8>)>,
}

impl PublishedFeed {
    /// Keeps a record that changed the state.
    pub(crate) fn add(&mut self, record: &RawRecord) {
        self.changed = self.changed.max(Some(record.offset));
        self.records.insert(record.key.clone(), (record.offset, record.value.clone()));
        let removed = self.records.values().filter(|(_, value)| value.is_empty()).count();
        if removed > MAX_REMOVED {
            self.forget_oldest_removal();
        }
    }

    fn forget_oldest_removal(&mut self) {
        let oldest = self
            .records
            .iter()
            .filter(|(_, (_, value))| value.is_empty())
            .min_by_key(|(_, (offset, _))| *offset)
            .map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.records.remove(&key);
        }
    }

    /// Starts anew from a whole listing.
    pub(crate) fn replace_all(&mut self, records: &[RawRecord], end: Offset) {
        self.records.clear();
        self.changed = None;
        self.listed_at = end;
        for record in records {
            self.add(record);
        }
        // peers that had read further than the records must see the listing too
        self.changed = self.changed.max(end.checked_sub(1));
    }

    pub(crate) fn read_to(&mut self, position: Offset) {
        self.position = Some(position);
    }

    pub(crate) fn confirm(&mut self, at: BootInstant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    pub(crate) fn confirmed_age(&self, now: BootInstant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    pub(crate) fn status(&self, now: BootInstant) -> FeedStatus {
        FeedStatus {
            position: self.position.unwrap_or(0),
            changed: self.changed,
            confirmed_age_ms: self.confirmed_age(now).map(|age| age.as_millis() as u64 + 1),
        }
    }

    fn changes(&self, from: Offset) -> RelayedChanges {
        // a peer that has read less than the listing may have missed a removal
        let is_complete = from < self.listed_at;
        let mut records: Vec<RelayedRecord> = self
            .records
            .iter()
            .filter(|(_, (offset, value))| match is_complete {
                true => !value.is_empty(),
                false => *offset >= from,
            })
            .map(|(key, (offset, value))| RelayedRecord {
                offset: *offset,
                key: key.to_string(),
                value: value.clone(),
            })
            .collect();
        records.sort_by_key(|record| record.offset);
        RelayedChanges { position: self.position.unwrap_or(0), records, is_complete }
    }
}

/// The records from an offset on, as peers read them. None: they are too many for
/// this host's link, and the peer reads the store itself.
pub(crate) fn encode_changes(
    feed: &PublishedFeed,
    from: Offset,
    link_mbps: u32,
) -> Option<Vec<u8>> {
    let max_bytes = max_answer_bytes(link_mbps).min(MAX_CHANGES_BYTES);
    encode_bounded(&feed.changes(from), max_bytes).ok()
}
