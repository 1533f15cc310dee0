use {
    crate::{
        clock::Now,
        records::{Era, FeedKind, RawRecord},
    },
    std::time::{Duration, Instant},
};

/// Decodes a record from its key and value. The error says why the record is invalid.
pub type RecordDecoder<V> = fn(&str, &[u8]) -> Result<V, Box<str>>;

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    /// It says nothing that peers need, or is not used.
    Unused,
    /// It says the same as the record in force, and is newer.
    Repeated,
    /// It is in force now.
    InForce,
    /// It is held back; an older one stays in force.
    HeldBack,
    /// It removes its key. Peers need the last record of the key as well until this time.
    Departed { last_needed_until: Instant },
}

impl Applied {
    /// Whether peers need the record: it says something that the records before it did not.
    pub(crate) fn is_news(self) -> bool {
        match self {
            Applied::Unused | Applied::Repeated => false,
            Applied::InForce | Applied::HeldBack | Applied::Departed { .. } => true,
        }
    }

    /// A record that is in force if peers need it, and not used otherwise.
    pub(super) fn from_news(is_news: bool) -> Applied {
        if is_news { Applied::InForce } else { Applied::Unused }
    }
}

/// State that is built from the records of one log.
pub(crate) trait RecordSink {
    const KIND: FeedKind;

    /// Pause after a read that reached the end of the log.
    fn poll_pause(&self) -> Duration;

    /// Longest time for which the store holds a read open while there are no new records.
    fn poll_wait(&self) -> Duration;

    /// Called with the era of the first listing, before its records are applied.
    fn era_known(&mut self, era: Era, now: Instant);

    /// Called when the store has come back from an older copy, before its records are listed: they may
    /// be older than what this host knows, and lack what is about to be written again.
    fn era_changed(&mut self, era: Era, now: Instant);

    /// Whether the store has not got back yet what this host knows, so that nothing is confirmed.
    fn is_ahead_of_store(&self) -> bool;

    /// Replaces the state by the newest record of every key. Returns the keys whose listed record is
    /// not in force: this host knows a newer one, or holds the listed one back.
    fn replace_all(&mut self, records: &[RawRecord], now: Instant) -> Vec<Box<str>>;

    /// Applies one record.
    fn apply(&mut self, record: &RawRecord, now: Instant) -> Applied;

    /// Takes note of the last record of a key, whose removal comes next: it is not in force any more.
    fn apply_last(&mut self, _record: &RawRecord, _now: Instant) {}

    /// Applies a record of a listing that the relay holds back, after the one that it has in force.
    fn apply_held_back(&mut self, record: &RawRecord, now: Instant) -> Applied {
        self.apply(record, now)
    }

    /// Called after records that say nothing new were skipped, since the relay does not pass them on.
    fn records_skipped(&mut self) {}

    /// Until when peers need the last record of a key that was removed; `None` if they do not.
    fn last_needed_until(&self, _key: &str) -> Option<Instant> {
        None
    }

    /// Whether the newest record of a key is held back, so that an older one stays in force.
    fn holds_back(&self, _key: &str) -> bool {
        false
    }

    /// Digest of what the records say; equal on hosts that agree.
    fn digest(&self) -> u64;
    /// Called when all records up to this time are applied.
    fn confirmed(&mut self, at: Now);

    /// Estimates when the store was back that now answers again after failed calls. `outage` is the
    /// time since the log was last confirmed, `changes` are the records since then; empty if the
    /// answer is a listing.
    fn return_time(&self, outage: Duration, changes: &[RawRecord], now: Instant) -> Instant;
    /// Called when the store is back after failed calls, before records are applied that were read
    /// since then. `outage` is the time since the log was last confirmed.
    fn store_returned(&mut self, outage: Duration, at: Instant);
    /// Removes what has expired by `now`. Returns when the next removal is due.
    fn expire(&mut self, now: Instant) -> Option<Instant>;
}
