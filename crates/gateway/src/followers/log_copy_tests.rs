use {
    super::{
        EndpointSink,
        endpoint_sink_tests::endpoint_sink,
        log_copy::LogCopy,
        record_sink::RecordSink,
        tests::{own_host, peers_of, raw},
    },
    crate::{
        clock::Now,
        endpoints::Directory,
        peers::{PeerState, RelayedFeedStatus},
        records::{FeedKind, LogChanges, LogListing},
    },
    mango_wire::gossip::{RelayedChanges, RelayedRecord},
    std::{rc::Rc, time::Duration},
};

/// A host that listed the endpoints `a` and `b`.
struct Host {
    peers: Rc<PeerState>,
    directory: Rc<Directory>,
    copy: LogCopy<EndpointSink>,
    listed_at: Now,
}

impl Host {
    fn new() -> Host {
        let directory = Rc::new(Directory::default());
        let peers = peers_of(own_host(), Duration::from_millis(1_500));
        let mut copy = LogCopy::new(endpoint_sink(&directory), peers.clone());
        let records = vec![raw(0, "a", "1"), raw(1, "b", "1")];
        let listed_at = Now::read();
        let listing = LogListing { records, end: 2, era: 0 };
        copy.apply_listing(listing, false, listed_at.boot, listed_at);
        Host { peers, directory, copy, listed_at }
    }

    fn after(&self, seconds: f64) -> Now {
        let time = Duration::from_secs_f64(seconds);
        Now { instant: self.listed_at.instant + time, boot: self.listed_at.boot + time }
    }

    /// Reads the removal of `a` from a relay, after this number of seconds.
    fn take_removal(&mut self, seconds: f64, relay: &RelayedFeedStatus, has_failed: bool) {
        let now = self.after(seconds);
        self.copy.record_outage(relay, has_failed, now);
        let removal = RelayedRecord { offset: 2, key: "a".to_owned(), value: Vec::new() };
        let changes =
            RelayedChanges { position: 3, records: vec![removal], is_complete: false, era: 0 };
        self.copy.apply_relayed(changes, 2, now);
    }

    /// Takes a status over after this number of seconds.
    fn confirm(&mut self, relay: &RelayedFeedStatus, seconds: f64) {
        assert!(self.copy.follow_status(relay, self.after(seconds)), "the copy is current");
    }
}

/// The status of a relay that has read the removal of `a`, confirmed at the time of the last argument.
fn relay_status(
    continuous_since: Now,
    follows_outage: bool,
    confirmed_at: Now,
) -> RelayedFeedStatus {
    RelayedFeedStatus {
        address: ([127, 0, 0, 1], 1).into(),
        position: 3,
        last_change: Some(2),
        confirmed_at: Some(confirmed_at.boot),
        continuous_since: Some(continuous_since.instant),
        follows_outage,
        digest: 0,
        era: 0,
    }
}

/// Guards against an outage that is measured from before the last confirmation by a relay, which
/// keeps endpoints in use that have left: a host had followed a relay for 40 s, then the store
/// refused its calls for 1.5 s.
#[test]
fn an_outage_begins_after_the_last_confirmation_by_a_relay() {
    let mut host = Host::new();
    let status = RelayedFeedStatus {
        position: 2,
        last_change: Some(1),
        ..relay_status(host.listed_at, false, host.after(40.0))
    };
    assert!(host.copy.follow_status(&status, host.after(40.0)));
    let changes = LogChanges { records: vec![raw(2, "a", "")], next: 3, end: 3, era: 0 };
    host.copy.apply_changes(changes, true, host.after(41.5).boot, host.after(41.5));
    assert_eq!(host.directory.len(), 1);
}

/// Guards against a zone without endpoints: the relay kept those whose records had expired in an
/// outage of the store, its followers dropped them.
#[test]
fn a_host_keeps_expired_endpoints_as_long_as_its_relay() {
    let mut host = Host::new();
    let returned_at = host.after(5.0);
    host.take_removal(5.5, &relay_status(returned_at, true, host.after(5.4)), false);
    assert_eq!(host.directory.len(), 2);
    host.confirm(&relay_status(returned_at, true, host.after(6.8)), 6.9);
    host.copy.sink.expire(host.after(6.9).instant);
    assert_eq!(host.directory.len(), 2, "it may be back");
    host.confirm(&relay_status(returned_at, true, host.after(7.1)), 7.2);
    host.copy.sink.expire(host.after(7.2).instant);
    assert_eq!(host.directory.len(), 1, "it would be back");
}

/// Guards against the same loss where the relay has started in the outage and has not seen it.
#[test]
fn a_host_keeps_expired_endpoints_beside_a_relay_that_has_just_started() {
    let mut host = Host::new();
    let started_at = host.after(5.0);
    host.take_removal(5.5, &relay_status(started_at, false, host.after(5.4)), true);
    assert_eq!(host.directory.len(), 2);
}

/// Guards against requests to an endpoint that left while only this host could not reach the store:
/// its relay followed the log all the time.
#[test]
fn a_removal_applies_at_once_beside_a_relay_that_saw_no_outage() {
    let mut host = Host::new();
    host.take_removal(5.5, &relay_status(host.listed_at, true, host.after(5.4)), true);
    assert_eq!(host.directory.len(), 1);
}

/// Guards against the same requests after a relay was lost: the host was without one for a while, but
/// no call to the store failed.
#[test]
fn a_removal_applies_at_once_if_no_call_to_the_store_failed() {
    let mut host = Host::new();
    let started_at = host.after(5.0);
    host.take_removal(5.5, &relay_status(started_at, false, host.after(5.4)), false);
    assert_eq!(host.directory.len(), 1);
}

/// Guards against a host that never learns of a record which its relay has: for whatever reason, what
/// both know from the same records differs.
#[test]
fn a_copy_that_differs_from_that_of_the_relay_is_read_again() {
    let mut host = Host::new();
    let status = |seconds, digest| RelayedFeedStatus {
        position: 2,
        last_change: Some(1),
        digest,
        ..relay_status(host.listed_at, false, host.after(seconds))
    };
    let statuses = [0.2, 0.6, 1.1, 1.3].map(|seconds| (seconds, status(seconds, 1)));
    for (seconds, status) in &statuses[..3] {
        host.copy.follow_status(status, host.after(*seconds));
        assert_eq!(host.copy.missing_from(status), None, "after {seconds} s");
    }
    let (seconds, status) = &statuses[3];
    host.copy.follow_status(status, host.after(*seconds));
    assert_eq!(host.copy.missing_from(status), Some(0));
}

/// Guards against a host that never confirms its copy beside a relay whose log grows by records that say
/// nothing new.
#[test]
fn records_that_are_not_passed_on_do_not_delay_a_confirmation() {
    let mut host = Host::new();
    for seconds in [1.0, 2.0, 3.0] {
        let status = RelayedFeedStatus {
            position: 2 + seconds as u64,
            last_change: Some(1),
            digest: host.copy.sink.digest(),
            ..relay_status(host.listed_at, false, host.after(seconds))
        };
        assert!(host.copy.follow_status(&status, host.after(seconds)), "after {seconds} s");
    }
}

/// Guards against a host that lacks an endpoint until it reads all records again. The endpoint was removed
/// and returned while this host was away, and its relay told of the return only, which says nothing new
/// here. A host that has read the removal from the store needs the return.
#[test]
fn what_a_relay_tells_is_passed_on() {
    let mut host = Host::new();
    let now = host.after(1.0);
    let returned = RelayedRecord { offset: 9, key: "a".to_owned(), value: b"2".to_vec() };
    let changes =
        RelayedChanges { position: 10, records: vec![returned], is_complete: false, era: 0 };
    host.copy.apply_relayed(changes, 2, now);
    let feed = host.peers.published_feed(FeedKind::Endpoints).borrow();
    let keys: Vec<_> = feed.changes(6).records.into_iter().map(|record| record.key).collect();
    assert_eq!(keys, ["a"]);
}
