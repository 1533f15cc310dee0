use {
    super::{changes_codec, published_record::PublishedRecord, relay_election::max_response_bytes},
    crate::{
        clock::BootInstant,
        records::{Continuity, Era, FeedComparison, Offset, RawRecord},
    },
    mango_wire::gossip::{FeedStatus, RelayedChanges, RelayedRecord},
    std::{
        cell::RefCell,
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Most tombstones (records of removed keys) that are kept for peers.
const MAX_TOMBSTONES: usize = 512;

/// Records of one log that this host has read and serves to its peers: the newest record
/// of each key, without records that did not change the state. Of a key whose newest record is held
/// back, the one in force as well.
#[derive(Debug, Default)]
pub(crate) struct PublishedFeed {
    /// Generation of the store's contents to which the offsets belong.
    era: Era,
    /// Offset after the last record read.
    position: Option<Offset>,
    /// Offset of the last record that changed the state.
    last_change: Option<Offset>,
    /// Keys that were removed before this offset may have no tombstone: the last complete listing
    /// ended there, or the tombstones before it were dropped.
    complete_before: Offset,
    /// The log held nothing after `position` at this time.
    confirmed_at: Option<BootInstant>,
    continuity: Continuity,
    /// Digest of what the records before `position` say.
    digest: u64,
    /// The last comparison with the relay of the zone.
    comparison: Option<FeedComparison>,
    records: BTreeMap<Box<str>, PublishedRecord>,
    /// The last encoded response: the hosts of a zone read the same records at the same time.
    encoded: RefCell<Option<EncodedChanges>>,
}

/// An encoded response, and what it was encoded from.
#[derive(Debug)]
struct EncodedChanges {
    from: Offset,
    position: Option<Offset>,
    bytes: Option<Rc<[u8]>>,
}

impl PublishedFeed {
    /// Stores a record that changed the state.
    pub(crate) fn add(&mut self, record: &RawRecord) {
        self.record_change(record.offset);
        self.records.insert(record.key.clone(), PublishedRecord::in_force(record));
        let tombstones = self.records.values().filter(|record| record.removed_at().is_some());
        if tombstones.count() > MAX_TOMBSTONES {
            self.remove_oldest_tombstone();
        }
    }

    /// Stores the removal of a key whose last record peers need until this time.
    pub(crate) fn remove(&mut self, removal: &RawRecord, last_needed_until: Instant) {
        let published = self.records.remove(&removal.key);
        self.add(removal);
        if let Some(mut published) = published {
            published.remove(removal, last_needed_until);
            self.records.insert(removal.key.clone(), published);
        }
    }

    /// Stores a record that says the same as the one in force, which peers do not need to read.
    pub(crate) fn refresh(&mut self, record: &RawRecord) {
        if let Some(published) = self.records.get_mut(&record.key) {
            published.refresh(&record.value);
        }
    }

    /// Stores a record that is held back, beside the one in force.
    pub(crate) fn hold(&mut self, record: &RawRecord) {
        self.record_change(record.offset);
        match self.records.get_mut(&record.key) {
            Some(published) => published.hold(record),
            None => {
                let published = PublishedRecord::held_back(record);
                self.records.insert(record.key.clone(), published);
            }
        }
    }

    fn record_change(&mut self, offset: Offset) {
        self.encoded.take();
        self.last_change = self.last_change.max(Some(offset));
    }

    fn remove_oldest_tombstone(&mut self) {
        let tombstones = self
            .records
            .iter()
            .filter_map(|(key, record)| record.removed_at().map(|offset| (offset, key)));
        let oldest = tombstones.min().map(|(offset, key)| (offset, key.clone()));
        if let Some((offset, key)) = oldest {
            self.records.remove(&key);
            self.complete_before = self.complete_before.max(offset + 1);
        }
    }

    /// Replaces all records by a complete listing. Of the keys `kept`, the known records are kept, since
    /// the listed ones are not in force. `last_needed_until` says until when peers need the last record of
    /// a key that is not listed.
    pub(crate) fn replace_all(
        &mut self,
        records: &[RawRecord],
        end: Offset,
        kept: &[Box<str>],
        last_needed_until: impl Fn(&str) -> Option<Instant>,
    ) {
        self.encoded.take();
        let mut known = std::mem::take(&mut self.records);
        self.last_change = None;
        self.complete_before = end;
        for record in records {
            let kept_record =
                kept.contains(&record.key).then(|| known.remove(&record.key)).flatten();
            match kept_record {
                Some(published) => self.relist(&record.key, published, record.offset),
                None => self.add(record),
            }
        }
        let listed: BTreeSet<&str> = records.iter().map(|record| &*record.key).collect();
        known.retain(|key, _| !listed.contains(&**key));
        for (key, mut departed) in known {
            if let Some(until) = last_needed_until(&key) {
                let offset = end.saturating_sub(1);
                departed.remove(&RawRecord { offset, key: key.clone(), value: Vec::new() }, until);
                self.relist(&key, departed, offset);
            }
        }
        // peers that have read past the last listed record must read the listing as well: it
        // shows removed keys only by their absence
        self.last_change = self.last_change.max(end.checked_sub(1));
    }

    /// Keeps a record beyond a listing of the log.
    fn relist(&mut self, key: &str, mut published: PublishedRecord, offset: Offset) {
        self.record_change(offset);
        published.set_offset(offset);
        self.records.insert(key.into(), published);
    }

    /// Sets the generation of the store's contents to which the offsets belong. An older copy may lack
    /// removals, so those of another era say nothing of late records.
    pub(crate) fn set_era(&mut self, era: Era) {
        if self.era != era {
            self.records.values_mut().for_each(PublishedRecord::forget_last);
        }
        self.era = era;
    }

    /// Records that all records before `position` were read, with the digest of what they say.
    pub(crate) fn set_position(&mut self, position: Offset, digest: u64) {
        self.position = Some(position);
        self.digest = digest;
    }

    /// Records a comparison with the relay of the zone.
    pub(crate) fn record_comparison(&mut self, agrees: bool, at: Instant) {
        self.comparison = Some(FeedComparison { at, agrees });
    }

    /// The last comparison with the relay of the zone; `None` on a host that has relayed only.
    pub(crate) fn comparison(&self) -> Option<FeedComparison> {
        self.comparison
    }

    /// Records that the log held nothing after `position` at this time, and how it was followed up
    /// to then.
    pub(crate) fn confirm(&mut self, at: BootInstant, continuity: Continuity) {
        if Some(at) >= self.confirmed_at {
            self.confirmed_at = Some(at);
            self.continuity = continuity;
        }
    }

    pub(crate) fn confirmation_age(&self, now: BootInstant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// How the log was followed up to the last confirmation.
    pub(crate) fn continuity(&self) -> Continuity {
        self.continuity
    }

    pub(crate) fn status(&self, now: BootInstant) -> FeedStatus {
        FeedStatus {
            position: self.position.unwrap_or(0),
            changed: self.last_change,
            // rounded up, so that peers do not take the confirmation for newer than it is
            confirmed_age_ms: self.confirmation_age(now).map(|age| age.as_millis() as u64 + 1),
            confirmed_span_ms: self.continuity.span.as_millis() as u64,
            follows_outage: self.continuity.follows_outage,
            digest: self.digest,
            era: self.era,
        }
    }

    pub(crate) fn changes(&self, from: Offset) -> RelayedChanges {
        // a peer that may have missed a removal gets all records in place of its own
        let is_complete = from < self.complete_before;
        let told = self.records.iter().flat_map(|(key, published)| {
            let records = published.records(from, is_complete);
            records.map(move |(offset, value)| RelayedRecord {
                offset,
                key: key.to_string(),
                value: value.to_vec(),
            })
        });
        let mut records: Vec<RelayedRecord> = told.collect();
        records.sort_by_key(|record| record.offset);
        RelayedChanges { position: self.position.unwrap_or(0), records, is_complete, era: self.era }
    }

    /// The encoded changes since an offset; `None` if they are too large.
    fn encoded_changes(&self, from: Offset) -> Option<Rc<[u8]>> {
        let mut encoded = self.encoded.borrow_mut();
        match &*encoded {
            Some(last) if last.from == from && last.position == self.position => last.bytes.clone(),
            _ => {
                let bytes: Option<Rc<[u8]>> =
                    changes_codec::encode(&self.changes(from)).map(Into::into);
                *encoded =
                    Some(EncodedChanges { from, position: self.position, bytes: bytes.clone() });
                bytes
            }
        }
    }
}

/// Encodes the records from an offset on for a peer. Returns None if they are too large
/// for this host's link; the peer then reads the store itself.
pub(crate) fn encode_changes(
    feed: &PublishedFeed,
    from: Offset,
    link_mbps: u32,
) -> Option<Rc<[u8]>> {
    feed.encoded_changes(from).filter(|bytes| bytes.len() <= max_response_bytes(link_mbps))
}
