//! Copies of a log whose store has come back from an older copy, or has been away.

use {
    super::{
        ConfigSink, Follower,
        copy_host::{CopyHost, endpoint_host},
        record_sink::RecordSink,
        tests::{ScriptedFeed, config_sink, peers, raw},
    },
    crate::{
        clock::BootInstant,
        config::{ConfigState, Evacuations},
        peers::PeerState,
        records::{FeedError, FeedKind, LogChanges, LogListing, Offset, RecordFeed},
        telemetry::GatewayMetrics,
    },
    std::{cell::Cell, future::pending, rc::Rc, time::Duration},
    tokio::{
        task::LocalSet,
        time::{sleep, timeout},
    },
};

fn config_host() -> (CopyHost<ConfigSink>, Rc<Evacuations>) {
    let state = Rc::new(ConfigState::new(Duration::from_secs(3)));
    let evacuations = Rc::new(Evacuations::new(Rc::new(GatewayMetrics::new())));
    (CopyHost::new(config_sink(&state, &evacuations)), evacuations)
}

/// Runs a follower of the configuration until its feed gives no more answers.
fn follow<F: RecordFeed>(feed: F, state: &Rc<ConfigState>, peers: Rc<PeerState>) {
    let metrics = Rc::new(GatewayMetrics::new());
    let evacuations = Rc::new(Evacuations::new(metrics.clone()));
    let follower = Follower::new(feed, config_sink(state, &evacuations), peers, metrics);
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let _ = timeout(Duration::from_millis(600), follower.run()).await;
    });
}

/// Guards against hosts that never get a configuration from their relay: the relay had it when the store
/// came back from a copy without any, and did not pass on that it was written again.
#[test]
fn a_configuration_that_an_older_copy_lacks_is_passed_on_once_it_is_back() {
    let (mut host, _) = config_host();
    host.list(0.0, 0, 1, &[raw(0, "config", "3")]);
    host.list(1.0, 1, 0, &[]);
    let age = host.copy.confirmation_age(host.after(1.0).instant);
    assert_eq!(age, Some(Duration::from_secs(1)), "the store lacks the configuration");
    host.read(2.0, 1, false, &[raw(0, "config", "3")]);
    assert_eq!(host.passed_on(), [("config".to_owned(), "3".to_owned())]);
    assert_eq!(host.copy.confirmation_age(host.after(2.0).instant), Some(Duration::ZERO));
}

/// Guards against a configuration that is confirmed although the store has an older one: the first record
/// after the return could not be read.
#[test]
fn an_unreadable_configuration_in_an_older_copy_confirms_no_older_one() {
    let (mut host, _) = config_host();
    host.list(0.0, 0, 1, &[raw(0, "config", "7")]);
    host.list(1.0, 1, 1, &[raw(0, "config", "torn")]);
    host.read(2.0, 1, false, &[raw(1, "config", "6")]);
    assert_eq!(host.copy.confirmation_age(host.after(2.0).instant), Some(Duration::from_secs(2)));
    host.read(3.0, 1, false, &[raw(2, "config", "7")]);
    assert_eq!(host.passed_on(), [("config".to_owned(), "7".to_owned())]);
}

/// Guards against requests to an evacuated zone: the evacuation was missing in an older copy, and the host
/// listed the records again, or read all those of its relay, before it was back.
#[test]
fn an_evacuation_that_an_older_copy_lacks_outlasts_another_listing() {
    let (mut host, evacuations) = config_host();
    host.list(0.0, 0, 2, &[raw(0, "config", "3"), raw(1, "zone-a", "{}")]);
    host.list(1.0, 1, 1, &[raw(0, "config", "3")]);
    host.copy.reset_position();
    host.list(2.0, 1, 2, &[raw(0, "config", "3"), raw(1, "zone-b", "{}")]);
    assert!(evacuations.is_evacuated("a") && evacuations.is_evacuated("b"));
    host.copy.sink.expire(host.after(5.9).instant);
    assert!(evacuations.is_evacuated("a"), "it may be written again");
    host.copy.sink.expire(host.after(6.1).instant);
    assert!(!evacuations.is_evacuated("a") && evacuations.is_evacuated("b"));
}

/// Guards against requests to an evacuated zone: the operators wrote their records again in order, and
/// an older configuration before the evacuation.
#[test]
fn an_evacuation_is_kept_until_the_newest_configuration_is_back() {
    let (mut host, evacuations) = config_host();
    host.list(0.0, 0, 4, &[raw(1, "zone-a", "{}"), raw(3, "config", "7")]);
    host.list(1.0, 1, 1, &[raw(0, "config", "5")]);
    host.read(1.2, 1, false, &[raw(1, "config", "6")]);
    assert!(evacuations.is_evacuated("a"), "the records up to version 7 are not back");
    host.read(1.4, 1, false, &[raw(2, "config", "7")]);
    assert!(!evacuations.is_evacuated("a"), "it was taken back meanwhile");
}

/// A log whose second answer has only a record with a key that is not used, and takes longer than the
/// wait of the read.
struct SlowFeed {
    answers: u32,
    read_at: Rc<Cell<Option<BootInstant>>>,
}

impl RecordFeed for SlowFeed {
    async fn list_newest(&mut self) -> Result<LogListing, FeedError> {
        Ok(LogListing { records: vec![raw(0, "config", "3")], end: 1, era: 0 })
    }

    async fn changes(&mut self, from: Offset, wait: Duration) -> Result<LogChanges, FeedError> {
        self.answers += 1;
        if self.answers > 1 {
            return pending().await;
        }
        self.read_at.set(Some(BootInstant::now()));
        sleep(wait + Duration::from_millis(20)).await;
        Ok(LogChanges { records: Vec::new(), next: from + 1, end: from + 1, era: 0 })
    }
}

/// Guards against a confirmation of a time at which the store had not looked: it answered at once with a
/// record that this host does not use, and the answer was as late as one after the whole wait.
#[test]
fn an_answer_with_unused_records_does_not_confirm_the_end_of_the_wait() {
    let state = Rc::new(ConfigState::new(Duration::from_secs(3)));
    let read_at = Rc::default();
    follow(SlowFeed { answers: 0, read_at: Rc::clone(&read_at) }, &state, peers());
    let half_wait = Duration::from_millis(50);
    let age = state.confirmation_age(read_at.get().expect("a read") + half_wait);
    assert!(age.is_some_and(|age| age >= half_wait), "{age:?}");
}

/// Guards against endpoints that peers lose after an outage of which they do not learn: the first answer
/// after it was of another era.
#[test]
fn an_outage_that_ends_with_another_era_is_recorded() {
    let (mut host, _) = endpoint_host();
    host.list(0.0, 0, 2, &[raw(0, "a", "1"), raw(1, "b", "1")]);
    host.read(6.0, 1, true, &[]);
    host.list(6.1, 1, 0, &[]);
    assert!(host.follows_outage());
}

/// Guards against the same where the first answer after the outage shows that the log was rewound.
#[test]
fn an_outage_that_ends_with_a_rewound_log_is_recorded() {
    let feed = ScriptedFeed::default();
    let listing =
        |offset| LogListing { records: vec![raw(offset, "config", "3")], end: offset + 1, era: 0 };
    feed.listings.borrow_mut().extend([Ok(listing(4)), Ok(listing(1))]);
    feed.changes.borrow_mut().extend([
        Err(FeedError::Unavailable("refused".into())),
        Ok(LogChanges { records: Vec::new(), next: 5, end: 2, era: 0 }),
    ]);
    let (state, peers) = (Rc::new(ConfigState::new(Duration::from_secs(3))), peers());
    follow(feed, &state, peers.clone());
    let feed = peers.published_feed(FeedKind::Config).borrow();
    assert!(feed.status(BootInstant::now()).follows_outage);
}

/// Guards against endpoints that are lost in an outage: they were missing in an older copy, and the time
/// to write again passed while the store was away.
#[test]
fn an_endpoint_that_an_older_copy_lacks_is_kept_while_the_store_is_away() {
    let (mut host, directory) = endpoint_host();
    host.list(0.0, 0, 2, &[raw(0, "a", "1"), raw(1, "b", "1")]);
    host.list(1.0, 1, 1, &[raw(0, "b", "1")]);
    let due = host.copy.sink.expire(host.after(5.0).instant);
    assert_eq!(directory.len(), 2, "the store has been away since 1.0");
    assert!(due.is_none_or(|due| due > host.after(5.0).instant), "a follower would not pause");
    host.read(6.0, 1, true, &[]);
    host.copy.sink.expire(host.after(6.1).instant);
    assert_eq!(directory.len(), 2, "it may be back");
    host.read(8.0, 1, false, &[]);
    host.copy.sink.expire(host.after(8.2).instant);
    assert_eq!(directory.len(), 1, "it would be back");
}

/// Guards against hosts that hold a running endpoint back for seconds, since its heartbeats are not passed on:
/// their relay had started after the store came back from an older copy.
#[test]
fn a_relay_that_starts_after_an_older_copy_passes_heartbeats_on() {
    let (mut host, _) = endpoint_host();
    host.list(0.0, 1, 1, &[raw(0, "a", "1")]);
    host.read(1.0, 1, false, &[raw(1, "a", "2")]);
    assert_eq!(host.passed_on(), [("a".to_owned(), "2".to_owned())]);
    host.read(7.5, 1, false, &[raw(2, "a", "3")]);
    assert_eq!(host.passed_on(), [("a".to_owned(), "2".to_owned())], "no host waits for it");
}

/// Guards against a host that refuses keys for good: it had a newer configuration than the store, and so did
/// its relay, which had it from another host and did not pass on that it was written again.
#[test]
fn a_host_that_was_ahead_of_the_store_is_confirmed_once_its_configuration_is_back() {
    let ((mut host, _), (mut relay, _)) = (config_host(), config_host());
    for copy in [&mut host, &mut relay] {
        copy.list(0.0, 0, 2, &[raw(1, "config", "2")]);
    }
    host.list(1.0, 1, 1, &[raw(0, "config", "1")]);
    relay.follow(&host, 1.2);
    relay.read(1.5, 1, false, &[]);
    host.follow(&relay, 1.8);
    relay.read(3.0, 1, false, &[raw(1, "config", "2")]);
    assert!(host.follow(&relay, 3.2), "the store has the configuration");
}

/// Guards against the same after a configuration that none of the hosts could read: what replaced it said
/// nothing new to the relay.
#[test]
fn a_host_is_confirmed_once_an_unreadable_configuration_is_replaced() {
    let ((mut host, _), (mut relay, _)) = (config_host(), config_host());
    for copy in [&mut host, &mut relay] {
        copy.list(0.0, 0, 2, &[raw(1, "config", "2")]);
    }
    relay.read(1.0, 0, false, &[raw(2, "config", "torn")]);
    host.follow(&relay, 1.2);
    relay.read(2.0, 0, false, &[raw(3, "config", "1")]);
    assert!(host.follow(&relay, 2.2), "the store has a readable configuration");
    assert_eq!(host.passed_on(), [("config".to_owned(), "1".to_owned())]);
}

/// Guards against an old address of an endpoint that is used for many seconds: the same outage was counted
/// with each attempt to read from a relay, and each put off a record that was held back.
#[test]
fn an_outage_puts_off_a_record_only_once() {
    let (mut host, directory) = endpoint_host();
    host.list(0.0, 0, 1, &[raw(0, "a", "1")]);
    host.read(0.1, 0, false, &[raw(1, "a", "2 address=127.0.0.1:10")]);
    let returned_at = host.after(5.0).instant;
    for tenths in 0..3 {
        let outage = Duration::from_millis(5_000 + tenths * 100);
        host.copy.sink.store_returned(outage, returned_at);
    }
    // 3.5 heartbeats and the outage after the record was read
    host.read(8.9, 0, false, &[]);
    host.copy.sink.expire(host.after(9.0).instant);
    let address = directory.of_service("s")[0].record.borrow().address;
    assert_eq!(address.port(), 10);
}
