use {
    super::{
        agreement::Agreement,
        confirmations::Confirmations,
        record_sink::{Applied, RecordSink},
    },
    crate::{
        clock::{BootInstant, Now},
        peers::{PeerState, RelayedFeedStatus},
        records::{Era, LogChanges, LogListing, Offset, RawRecord},
        telemetry::event,
    },
    mango_wire::gossip::{RelayedChanges, RelayedRecord},
    std::{
        collections::BTreeSet,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// This host's copy of one log, which it also passes on to its peers. Decides what follows from what
/// was read, without input or output of its own.
pub(super) struct LogCopy<S> {
    pub(super) sink: S,
    peers: Rc<PeerState>,
    /// Offset of the next record; `None` before the first listing.
    position: Option<Offset>,
    /// Generation of the store's contents to which the position belongs; `None` before the first
    /// listing.
    era: Option<Era>,
    confirmations: Confirmations,
    agreement: Agreement,
}

impl<S: RecordSink> LogCopy<S> {
    pub(super) fn new(sink: S, peers: Rc<PeerState>) -> LogCopy<S> {
        LogCopy {
            sink,
            peers,
            position: None,
            era: None,
            confirmations: Confirmations::default(),
            agreement: Agreement::default(),
        }
    }

    pub(super) fn position(&self) -> Option<Offset> {
        self.position
    }

    /// Forgets the position, so that all records are read again.
    pub(super) fn reset_position(&mut self) {
        self.position = None;
    }

    /// Forgets the position, since an answer of the store shows that it means nothing any more.
    /// `has_failed` says that calls to the store failed before.
    pub(super) fn start_again(&mut self, has_failed: bool, now: Now) {
        if has_failed {
            self.end_outage(&[], now);
        }
        self.reset_position();
    }

    /// Whether an answer or a status is not from before the last return of the store from an older
    /// copy.
    pub(super) fn accepts_era(&self, era: Era) -> bool {
        self.era.is_none_or(|own| era >= own)
    }

    /// Goes on with the records of an era. The position in an earlier one means nothing in it.
    fn enter_era(&mut self, era: Era, now: Instant) {
        if let Some(previous) = self.era.filter(|previous| *previous != era) {
            event!(
                "store_era_changed",
                "feed={} era={era} previous={previous} position={:?}",
                S::KIND,
                self.position
            );
            self.sink.era_changed(era, now);
            self.peers.record_era_change();
            self.reset_position();
        }
        if self.era.is_none() {
            self.sink.era_known(era, now);
        }
        self.era = Some(era);
    }

    /// Time since the copy was last known to be current.
    pub(super) fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmations.age(now)
    }

    /// Records an outage of the store of which the relay has seen the end, before anything else of
    /// the relay is taken over. `has_failed` says that calls of this host failed since the last
    /// confirmation: a relay that has only just started has seen no outage.
    pub(super) fn record_outage(&mut self, relay: &RelayedFeedStatus, has_failed: bool, now: Now) {
        let (Some(since), Some(last)) = (relay.continuous_since, self.confirmations.last()) else {
            return;
        };
        // a relay that followed the log all the time would have passed removals on
        if since > last && (relay.follows_outage || has_failed) {
            self.sink.store_returned(now.instant.saturating_duration_since(last), since);
            self.confirmations.record_end_of_outage(since);
        }
    }

    /// The offset from which on records have to be read from the relay; `None` if the copy has all
    /// that the relay passes on.
    pub(super) fn missing_from(&self, relay: &RelayedFeedStatus) -> Option<Offset> {
        let position = self.position.filter(|_| self.era == Some(relay.era));
        let Some(position) = position else { return Some(0) };
        relay.last_change.is_some_and(|offset| offset >= position).then_some(position)
    }

    /// Applies the records that a relay returned for a read from this offset.
    pub(super) fn apply_relayed(&mut self, changes: RelayedChanges, from: Offset, now: Now) {
        event!(
            "records_relayed",
            "feed={} from={from} position={} records={} complete={}",
            S::KIND,
            changes.position,
            changes.records.len(),
            changes.is_complete
        );
        let is_same_era = self.era == Some(changes.era);
        if !is_same_era && (from > 0 || !self.accepts_era(changes.era)) {
            // the offset belongs to another era than the records
            self.reset_position();
            return;
        }
        self.enter_era(changes.era, now.instant);
        let records: Vec<RawRecord> = changes
            .records
            .into_iter()
            .map(|RelayedRecord { offset, key, value }| RawRecord {
                offset,
                key: key.into(),
                value,
            })
            .collect();
        if changes.is_complete || self.position.is_none() {
            self.apply_relayed_listing(records, changes.position, now);
        } else {
            // the relay may have left out a removal before a record, so that the record says nothing
            // new here, but does elsewhere
            for (record, next) in with_next(&records) {
                if is_last(record, next) {
                    self.sink.apply_last(record, now.instant);
                    self.publish(record, Applied::InForce);
                } else {
                    let applied = self.sink.apply(record, now.instant);
                    self.publish(record, applied);
                }
            }
        }
        self.sink.records_skipped();
        self.set_position(changes.position.max(from));
    }

    /// Takes over the position and the confirmation of a relay, as far as the copy has all records
    /// that the relay passes on. Returns whether the copy is current.
    pub(super) fn follow_status(&mut self, relay: &RelayedFeedStatus, now: Now) -> bool {
        if self.era != Some(relay.era) {
            return false;
        }
        let own_position = self.position.unwrap_or(0);
        // the records up to the relay's position say nothing new: skip them
        if relay.last_change.is_none_or(|offset| offset < own_position)
            && relay.position > own_position
        {
            self.sink.records_skipped();
            self.set_position(relay.position);
        }
        let is_complete = self.position.unwrap_or(0) >= relay.position;
        let is_current = is_complete && !self.sink.is_ahead_of_store();
        let confirmed_at = relay.confirmed_at.filter(|_| is_current);
        if let Some(at) = confirmed_at {
            self.confirm(at, now);
        }
        self.compare(relay, now.instant);
        confirmed_at.is_some()
    }

    /// Compares the copy with that of the relay, if both have read the same records. All records are
    /// read again if the copies differ for long.
    fn compare(&mut self, relay: &RelayedFeedStatus, now: Instant) {
        if self.position != Some(relay.position) {
            return;
        }
        let own_digest = self.sink.digest();
        let agrees = own_digest == relay.digest;
        self.peers.published_feed(S::KIND).borrow_mut().record_comparison(agrees, now);
        if self.agreement.record(agrees, now) {
            event!(
                "copies_differ",
                "feed={} position={} digest={own_digest:016x} relay_digest={:016x}",
                S::KIND,
                relay.position,
                relay.digest
            );
            self.reset_position();
        }
    }

    /// Applies a complete listing. `has_failed` says that calls to the store failed before.
    pub(super) fn apply_listing(
        &mut self,
        listing: LogListing,
        has_failed: bool,
        sent_at: BootInstant,
        now: Now,
    ) {
        self.enter_era(listing.era, now.instant);
        if has_failed {
            self.end_outage(&[], now);
        }
        let newest = listing.records.iter().map(|record| record.offset).max();
        event!(
            "log_listed",
            "feed={} records={} end={} newest={} era={}",
            S::KIND,
            listing.records.len(),
            listing.end,
            newest.map_or(-1, |offset| offset as i64),
            listing.era
        );
        self.replace_all(&listing.records, listing.end, now);
        self.set_position(listing.end);
        self.confirm(sent_at, now);
    }

    /// Applies records that the store returned for a read from the position on. The log held no
    /// others at `complete_at`, if these are the last ones. Returns whether they are.
    pub(super) fn apply_changes(
        &mut self,
        changes: LogChanges,
        has_failed: bool,
        complete_at: BootInstant,
        now: Now,
    ) -> bool {
        let LogChanges { records, next, end, era } = changes;
        if self.era != Some(era) {
            // the offset from which was read belongs to another era
            self.start_again(has_failed, now);
            return false;
        }
        if has_failed {
            self.end_outage(&records, now);
        }
        for record in &records {
            self.apply(record, now);
        }
        self.set_position(next);
        // a read that did not reach the end of the log must not confirm it
        if next >= end {
            self.confirm(complete_at, now);
        }
        next >= end
    }

    /// Records that the store answers again, with these changes.
    fn end_outage(&mut self, changes: &[RawRecord], now: Now) {
        let returned_at = match self.confirmations.age(now.instant) {
            Some(outage) => {
                let returned_at = self.sink.return_time(outage, changes, now.instant);
                self.sink.store_returned(outage, returned_at);
                returned_at
            }
            // the host has started in the outage
            None => now.instant,
        };
        self.confirmations.record_end_of_outage(returned_at);
    }

    fn replace_all(&mut self, records: &[RawRecord], end: Offset, now: Now) {
        let kept = self.sink.replace_all(records, now.instant);
        let mut published = self.peers.published_feed(S::KIND).borrow_mut();
        published.set_era(self.era.unwrap_or_default());
        published.replace_all(records, end, &kept, |key| self.sink.last_needed_until(key));
        let held_back = records
            .iter()
            .filter(|record| kept.contains(&record.key) && self.sink.holds_back(&record.key));
        held_back.for_each(|record| published.hold(record));
    }

    /// Applies all records of a relay: those in force, and then what the relay holds back and the
    /// endpoints that have left.
    fn apply_relayed_listing(&mut self, records: Vec<RawRecord>, end: Offset, now: Now) {
        let (listing, others) = split_listing(&records);
        self.replace_all(&listing, end, now);
        for (record, next) in with_next(&others) {
            if is_last(record, next) {
                self.sink.apply_last(record, now.instant);
                self.publish(record, Applied::InForce);
                continue;
            }
            let applied = match record.value.is_empty() {
                true => self.sink.apply(record, now.instant),
                false => self.sink.apply_held_back(record, now.instant),
            };
            if applied.is_news() {
                self.publish(record, applied);
            }
        }
    }

    fn apply(&mut self, record: &RawRecord, now: Now) {
        match self.sink.apply(record, now.instant) {
            Applied::Unused => {}
            Applied::Repeated => {
                self.peers.published_feed(S::KIND).borrow_mut().refresh(record);
            }
            applied => self.publish(record, applied),
        }
    }

    /// Passes a record that was applied on to the peers.
    fn publish(&self, record: &RawRecord, applied: Applied) {
        let mut published = self.peers.published_feed(S::KIND).borrow_mut();
        match applied {
            Applied::HeldBack => published.hold(record),
            Applied::Departed { last_needed_until } => published.remove(record, last_needed_until),
            Applied::Unused | Applied::Repeated | Applied::InForce => published.add(record),
        }
    }

    fn set_position(&mut self, position: Offset) {
        self.position = Some(position);
        let digest = self.sink.digest();
        self.peers.published_feed(S::KIND).borrow_mut().set_position(position, digest);
    }

    fn confirm(&mut self, at: BootInstant, now: Now) {
        if self.sink.is_ahead_of_store() {
            return;
        }
        let age = now.boot.saturating_duration_since(at);
        let instant = now.instant.checked_sub(age).unwrap_or(now.instant);
        self.confirmations.record(instant);
        self.sink.confirmed(Now { instant, boot: at });
        self.peers.confirm_feed(S::KIND, at, self.confirmations.continuity());
    }
}

/// Each record with the one after it.
fn with_next(records: &[RawRecord]) -> impl Iterator<Item = (&RawRecord, Option<&RawRecord>)> {
    records.iter().enumerate().map(|(index, record)| (record, records.get(index + 1)))
}

/// Whether a record is the last one of its key before the removal that comes next.
fn is_last(record: &RawRecord, next: Option<&RawRecord>) -> bool {
    let is_removal = |next: &RawRecord| next.key == record.key && next.value.is_empty();
    !record.value.is_empty() && next.is_some_and(is_removal)
}

/// Splits the records of a relay into those in force and the others: the records after the one in force
/// of the same key, and those of keys that were removed.
fn split_listing(records: &[RawRecord]) -> (Vec<RawRecord>, Vec<RawRecord>) {
    let mut keys = BTreeSet::new();
    let (listing, others): (Vec<_>, Vec<_>) = with_next(records).partition(|(record, next)| {
        keys.insert(record.key.clone()) && !record.value.is_empty() && !is_last(record, *next)
    });
    let records = |pairs: Vec<(&RawRecord, _)>| pairs.into_iter().map(|(r, _)| r.clone()).collect();
    (records(listing), records(others))
}
