//! A host with a copy of a log, for tests: it reads the store or follows another host as its relay.

use {
    super::{
        EndpointSink, endpoint_sink_tests::endpoint_sink, log_copy::LogCopy,
        record_sink::RecordSink, tests::peers,
    },
    crate::{
        clock::{BootInstant, Now},
        endpoints::Directory,
        peers::{PeerState, RelayedFeedStatus},
        records::{Era, LogChanges, LogListing, Offset, RawRecord},
    },
    std::{rc::Rc, time::Duration},
};

/// A host with a copy of a log. Times are seconds since its start.
pub(super) struct CopyHost<S> {
    peers: Rc<PeerState>,
    pub(super) copy: LogCopy<S>,
    started_at: Now,
}

impl<S: RecordSink> CopyHost<S> {
    pub(super) fn new(sink: S) -> CopyHost<S> {
        let peers = peers();
        CopyHost { copy: LogCopy::new(sink, peers.clone()), peers, started_at: Now::read() }
    }

    pub(super) fn after(&self, seconds: f64) -> Now {
        let time = Duration::from_secs_f64(seconds);
        Now { instant: self.started_at.instant + time, boot: self.started_at.boot + time }
    }

    pub(super) fn list(&mut self, seconds: f64, era: Era, end: Offset, records: &[RawRecord]) {
        let now = self.after(seconds);
        let listing = LogListing { records: records.to_vec(), end, era };
        self.copy.apply_listing(listing, false, now.boot, now);
    }

    /// Reads records from the store, the last ones of the log.
    pub(super) fn read(&mut self, seconds: f64, era: Era, has_failed: bool, records: &[RawRecord]) {
        let now = self.after(seconds);
        let next = self.copy.position().expect("a position") + records.len() as u64;
        let changes = LogChanges { records: records.to_vec(), next, end: next, era };
        self.copy.apply_changes(changes, has_failed, now.boot, now);
    }

    /// Takes the status of a relay over, and its records if need be. Returns whether the copy is current.
    pub(super) fn follow(&mut self, relay: &CopyHost<S>, seconds: f64) -> bool {
        let now = self.after(seconds);
        let feed = relay.peers.published_feed(S::KIND).borrow();
        let status = feed.status(now.boot);
        let age = status.confirmed_age_ms.map(Duration::from_millis);
        let span = Duration::from_millis(status.confirmed_span_ms);
        let status = RelayedFeedStatus {
            address: ([127, 0, 0, 1], 1).into(),
            position: status.position,
            last_change: status.changed,
            confirmed_at: age.and_then(|age| now.boot.checked_sub(age)),
            continuous_since: age.and_then(|age| now.instant.checked_sub(age + span)),
            follows_outage: status.follows_outage,
            digest: status.digest,
            era: status.era,
        };
        if let Some(from) = self.copy.missing_from(&status) {
            self.copy.apply_relayed(feed.changes(from), from, now);
        }
        self.copy.follow_status(&status, now)
    }

    /// The records that a host without any reads from this one as its relay.
    pub(super) fn passed_on(&self) -> Vec<(String, String)> {
        let feed = self.peers.published_feed(S::KIND).borrow();
        let records = feed.changes(0).records.into_iter();
        let text = |value| String::from_utf8(value).expect("text");
        records.map(|record| (record.key, text(record.value))).collect()
    }

    pub(super) fn follows_outage(&self) -> bool {
        let feed = self.peers.published_feed(S::KIND).borrow();
        feed.status(BootInstant::now()).follows_outage
    }
}

pub(super) fn endpoint_host() -> (CopyHost<EndpointSink>, Rc<Directory>) {
    let directory = Rc::new(Directory::default());
    (CopyHost::new(endpoint_sink(&directory)), directory)
}
