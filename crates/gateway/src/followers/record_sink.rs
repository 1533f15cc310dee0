use {
    super::record_feed::RawRecord,
    crate::{clock::BootInstant, peers::FeedKind},
    std::time::{Duration, Instant},
};

/// Reads the content of a record by its key. The error says what is wrong with it.
pub type RecordDecoder<V> = fn(&str, &[u8]) -> Result<V, Box<str>>;

/// State that is kept from the records of one log.
pub(crate) trait RecordSink {
    const KIND: FeedKind;

    /// Pause after a read that reached the end of the log.
    const POLL_PAUSE: Duration;

    /// How long the store holds a read without news.
    fn poll_wait(&self) -> Duration;

    /// Takes the newest record of every key.
    fn replace_all(&mut self, records: &[RawRecord]);

    /// Takes one record. Returns whether it changed the state.
    fn apply(&mut self, record: &RawRecord) -> bool;

    /// All records up to this time were applied.
    fn confirmed(&mut self, at: BootInstant);

    /// The log is known again after this time, in which it got so many records.
    fn store_returned(&mut self, away: Duration, records: usize);

    /// Does what has become due, and says when to come again.
    fn expire(&mut self, now: Instant) -> Option<Instant>;
}
