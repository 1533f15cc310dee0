use {
    super::{
        ConfigSink, EndpointSink, FeedError, Follower, LogChanges, LogListing, OperatorRecords,
        RawRecord, RecordFeed, feed_health::FeedHealth, record_sink::RecordSink,
    },
    crate::{
        clock::BootInstant,
        config::{CallerLimits, ConfigState, Evacuations, OperatorKey, RoutingConfig},
        endpoints::{Directory, EndpointRecord, EndpointState},
        peers::{MaxConfirmationAges, PeerState},
        telemetry::GatewayMetrics,
    },
    mango_wire::gossip::HostRecord,
    std::{cell::RefCell, collections::VecDeque, future::pending, rc::Rc, time::Duration},
    tokio::{task::LocalSet, time::timeout},
};

/// A log that returns prepared answers and then never answers again.
#[derive(Clone, Default)]
pub(super) struct ScriptedFeed {
    pub(super) listings: Rc<RefCell<VecDeque<Result<LogListing, FeedError>>>>,
    changes: Rc<RefCell<VecDeque<Result<LogChanges, FeedError>>>>,
}

impl RecordFeed for ScriptedFeed {
    async fn list_newest(&mut self) -> Result<LogListing, FeedError> {
        let next = self.listings.borrow_mut().pop_front();
        match next {
            Some(answer) => answer,
            None => pending().await,
        }
    }

    async fn changes(&mut self, _from: u64, _wait: Duration) -> Result<LogChanges, FeedError> {
        let next = self.changes.borrow_mut().pop_front();
        match next {
            Some(answer) => answer,
            None => pending().await,
        }
    }
}

pub(super) fn raw(offset: u64, key: &str, value: &str) -> RawRecord {
    RawRecord { offset, key: key.into(), value: value.as_bytes().to_vec() }
}

fn decode_version(_key: &str, bytes: &[u8]) -> Result<Rc<RoutingConfig>, Box<str>> {
    let text = std::str::from_utf8(bytes).map_err(|_| "not text")?;
    let version = text.parse().map_err(|_| "not a number")?;
    let limits = CallerLimits::default();
    Ok(Rc::new(RoutingConfig::new(version, limits, Vec::new(), Vec::new(), None)))
}

/// Decodes `SEQUENCE` or `SEQUENCE draining`.
fn decode_endpoint(key: &str, bytes: &[u8]) -> Result<EndpointRecord, Box<str>> {
    let text = std::str::from_utf8(bytes).map_err(|_| "not text")?;
    let (text, state) = match text.strip_suffix(" draining") {
        Some(sequence) => (sequence, EndpointState::Draining),
        None => (text, EndpointState::Ready),
    };
    Ok(EndpointRecord {
        id: key.into(),
        service: "s".into(),
        address: "127.0.0.1:9".parse().map_err(|_| "address")?,
        zone: "z".into(),
        slots: 1,
        state,
        cold_ms: 0,
        started_at_unix_ms: None,
        sequence: text.parse().map_err(|_| "not a number")?,
    })
}

pub(super) fn own_host() -> HostRecord {
    HostRecord {
        host_id: "own".to_owned(),
        zone: "z".to_owned(),
        gossip_address: "127.0.0.1:1".to_owned(),
        relay_address: "127.0.0.1:2".to_owned(),
        link_mbps: 100,
    }
}

/// The state of a host that has read the registry.
pub(super) fn peers_of(own: HostRecord, max_age: Duration) -> Rc<PeerState> {
    let peers = PeerState::new(own, MaxConfirmationAges { config: max_age, endpoints: max_age });
    peers.record_registry();
    Rc::new(peers)
}

fn peers() -> Rc<PeerState> {
    peers_of(own_host(), Duration::from_millis(1_500))
}

fn operator_key(key: &str) -> Option<OperatorKey> {
    match key.strip_prefix("zone-") {
        Some(zone) => Some(OperatorKey::Evacuation { zone: zone.into() }),
        None => Some(OperatorKey::Config),
    }
}

pub(super) fn config_sink(state: &Rc<ConfigState>, evacuations: &Rc<Evacuations>) -> ConfigSink {
    let records = OperatorRecords { key: operator_key, decode_config: decode_version };
    let metrics = Rc::new(GatewayMetrics::new());
    let poll_wait = Duration::from_millis(100);
    ConfigSink::new(state.clone(), evacuations.clone(), records, poll_wait, metrics)
}

/// Runs a follower of the configuration until the prepared answers are used up.
fn follow_config(feed: ScriptedFeed) -> Rc<ConfigState> {
    let state = Rc::new(ConfigState::new(Duration::from_secs(3)));
    let metrics = Rc::new(GatewayMetrics::new());
    let evacuations = Rc::new(Evacuations::new(metrics.clone()));
    let sink = config_sink(&state, &evacuations);
    let follower = Follower::new(feed, sink, peers(), metrics);
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let _ = timeout(Duration::from_millis(600), follower.run()).await;
    });
    state
}

fn listing(records: Vec<RawRecord>, end: u64) -> Result<LogListing, FeedError> {
    Ok(LogListing { records, end })
}

/// Guards against a follower that stops after its records expired or the log was rewound, and
/// against an older version in force afterwards.
#[test]
fn expired_and_rewound_logs_are_listed_again() {
    let feed = ScriptedFeed::default();
    feed.listings.borrow_mut().extend([
        listing(vec![raw(4, "config", "7")], 5),
        listing(vec![raw(1, "config", "6")], 2),
        listing(vec![raw(2, "config", "9")], 3),
    ]);
    feed.changes
        .borrow_mut()
        .extend([Err(FeedError::Expired), Ok(LogChanges { records: Vec::new(), next: 2, end: 1 })]);
    let state = follow_config(feed);
    assert_eq!(state.version(), 9);
    assert!(state.is_confirmed(BootInstant::now()));
}

/// Guards against a confirmation by a read whose newest record cannot be decoded.
#[test]
fn an_unreadable_end_confirms_nothing() {
    let feed = ScriptedFeed::default();
    feed.listings.borrow_mut().push_back(listing(vec![raw(0, "config", "torn")], 1));
    feed.changes.borrow_mut().push_back(Ok(LogChanges {
        records: vec![raw(1, "config", "also torn")],
        next: 2,
        end: 2,
    }));
    let state = follow_config(feed);
    assert!(!state.is_confirmed(BootInstant::now()));
}

/// Guards against a follower that stops reading the store after one failed call.
#[test]
fn a_failed_call_is_repeated() {
    let feed = ScriptedFeed::default();
    let unavailable = || Err(FeedError::Unavailable("refused".into()));
    feed.listings.borrow_mut().extend([
        Err(FeedError::Unavailable("refused".into())),
        listing(vec![raw(0, "config", "3")], 1),
    ]);
    feed.changes.borrow_mut().push_back(unavailable());
    assert_eq!(follow_config(feed).version(), 3);
}

fn endpoint_sink(directory: &Rc<Directory>) -> EndpointSink {
    let metrics = Rc::new(GatewayMetrics::new());
    EndpointSink::new(
        directory.clone(),
        decode_endpoint,
        Duration::from_millis(1_000),
        Duration::from_millis(750),
        metrics,
    )
}

/// This number of heartbeats of the endpoints `a` and `b`.
fn heartbeats(count: usize) -> Vec<RawRecord> {
    (0..count).map(|index| raw(2 + index as u64, ["a", "b"][index % 2], "2")).collect()
}

/// Guards against an empty directory after an outage of the store that was longer than the
/// lifetime of its records.
#[test]
fn records_that_expired_in_an_outage_are_kept_for_a_while() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    sink.replace_all(&[raw(0, "a", "1"), raw(1, "b", "1")]);
    sink.store_recovered(Duration::from_secs(6), &heartbeats(2));
    sink.apply(&raw(2, "a", ""));
    assert_eq!(directory.len(), 2);
    assert!(sink.expire(std::time::Instant::now()).is_some());
}

/// Guards against requests to endpoints that left while only this host could not reach the
/// store: the log then holds the heartbeats of the other endpoints.
#[test]
fn removals_apply_at_once_when_endpoints_reached_the_store() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    sink.replace_all(&[raw(0, "a", "1"), raw(1, "b", "1")]);
    sink.store_recovered(Duration::from_secs(6), &heartbeats(11));
    sink.apply(&raw(2, "a", ""));
    assert_eq!(directory.len(), 1);
}

/// Guards against requests to an endpoint that leaves shortly after the store's recovery: a
/// host that reaches the store later than others keeps removed endpoints only for the rest of
/// the time in which endpoints write expired records again.
#[test]
fn expired_records_are_kept_from_the_recovery_of_the_store_on() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    sink.replace_all(&[raw(0, "a", "1"), raw(1, "b", "1")]);
    // both endpoints write one heartbeat per second: the store has been back for a second
    sink.store_recovered(Duration::from_secs(9), &heartbeats(2));
    sink.apply(&raw(4, "a", ""));
    let now = std::time::Instant::now();
    let until = sink.expire(now).expect("a time");
    assert!(until - now <= Duration::from_millis(1_150), "{:?}", until - now);
    assert!(until - now >= Duration::from_millis(900), "{:?}", until - now);
}

/// Guards against endpoints that are dropped although their records are about to be written again:
/// the removals in the log were taken for heartbeats, as if the store had been back for a while.
#[test]
fn removals_do_not_shorten_the_time_for_which_expired_records_are_kept() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    sink.replace_all(&[raw(0, "a", "1"), raw(1, "b", "1")]);
    let removals = [raw(2, "a", ""), raw(3, "b", "")];
    sink.store_recovered(Duration::from_secs(6), &removals);
    assert!(removals.iter().all(|removal| sink.apply(removal)));
    let now = std::time::Instant::now();
    let until = sink.expire(now).expect("a time");
    // the time within which endpoints are back
    assert!(until - now >= Duration::from_millis(1_950), "{:?}", until - now);
}

/// Guards against an outage that is measured from before the last confirmation by a relay, which
/// keeps endpoints in use that have left: a host had followed a relay for 40 s, then the store
/// refused its calls for 1.5 s.
#[test]
fn an_outage_begins_after_the_last_confirmation_by_a_relay() {
    let mut health = FeedHealth::new("endpoints", Rc::new(GatewayMetrics::new()));
    assert_eq!(health.record_success(), None);
    health.record_failure(&FeedError::Unavailable("refused".into()));
    std::thread::sleep(Duration::from_millis(120));
    let confirmed_at = BootInstant::now();
    health.record_relay_confirmation(confirmed_at);
    health.record_failure(&FeedError::Unavailable("refused".into()));
    let outage = health.record_success().expect("an outage");
    let since = BootInstant::now().saturating_duration_since(confirmed_at);
    assert!(outage <= since, "{outage:?}, confirmed {since:?} ago");
}

/// Guards against invalid records of other writers that prevent valid records from being applied.
#[test]
fn unreadable_records_add_no_endpoint() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    sink.replace_all(&[raw(0, "a", "torn"), raw(1, "b", "1")]);
    assert!(!sink.apply(&raw(2, "b", "\u{fffd}")));
    assert_eq!(directory.len(), 1);
}

/// Guards against an endpoint that some hosts never learn of again: they listed the log while its
/// newest record was unreadable, and take changes from a relay that saw no change.
#[test]
fn the_record_after_an_unreadable_one_is_passed_on() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    sink.replace_all(&[raw(0, "a", "1")]);
    assert!(!sink.apply(&raw(1, "a", "torn")));
    assert!(sink.apply(&raw(2, "a", "2")));
    assert!(!sink.apply(&raw(3, "a", "3")), "a heartbeat changes nothing");
    sink.replace_all(&[raw(4, "a", "torn")]);
    assert_eq!(directory.len(), 1, "the endpoint keeps its last record");
}

/// Guards against requests to an endpoint that has left: a relay that did not know the endpoint, since
/// it had followed a host that lost it, passed its removal on to none of the hosts that knew it.
#[test]
fn the_removal_of_an_endpoint_that_the_relay_does_not_know_is_passed_on() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    sink.replace_all(&[raw(0, "a", "1")]);
    assert!(sink.apply(&raw(1, "b", "")));
}

/// Guards against hosts that lose an endpoint for good: the relay kept an endpoint whose record had
/// expired in an outage, passed the removal on, and did not pass on that the record was back.
#[test]
fn a_record_that_is_back_is_passed_on_by_a_relay_that_kept_the_endpoint() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    sink.replace_all(&[raw(0, "a", "1"), raw(1, "b", "1")]);
    sink.store_recovered(Duration::from_secs(6), &[]);
    assert!(sink.apply(&raw(2, "a", "")));
    assert_eq!(directory.len(), 2, "the endpoint is kept");
    assert!(sink.apply(&raw(3, "a", "2")));
}

/// Guards against a draining record that is not passed on, because a misdirected request had already
/// marked the endpoint as leaving.
#[test]
fn a_drain_is_passed_on_even_if_the_endpoint_is_already_leaving() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    sink.replace_all(&[raw(0, "a", "1")]);
    directory.of_service("s")[0].set_leaving();
    assert!(sink.apply(&raw(1, "a", "2 draining")));
}

/// Guards against a record of another writer whose sequence number hides all later records of the
/// endpoint.
#[test]
fn a_record_with_an_impossible_number_hides_no_later_one() {
    let directory = Rc::new(Directory::default());
    let mut sink = endpoint_sink(&directory);
    sink.replace_all(&[raw(0, "a", "1")]);
    sink.apply(&raw(1, "a", "18446744073709551615"));
    let sequence = || directory.of_service("s")[0].record.borrow().sequence;
    assert_eq!(sequence(), 1);
    sink.apply(&raw(2, "a", "2"));
    assert_eq!(sequence(), 2);
}

/// Guards against an evacuation that is missed, or that lasts after it was taken back while this
/// host did not follow the log; and against a record of an evacuation that is taken for a
/// configuration.
#[test]
fn evacuations_last_until_their_record_is_removed() {
    let state = Rc::new(ConfigState::new(Duration::from_secs(3)));
    let evacuations = Rc::new(Evacuations::new(Rc::new(GatewayMetrics::new())));
    let mut sink = config_sink(&state, &evacuations);
    sink.replace_all(&[raw(0, "config", "3"), raw(1, "zone-a", "{}")]);
    assert!(evacuations.is_evacuated("a") && evacuations.ended_at("a").is_none());
    assert!(sink.apply(&raw(2, "zone-b", "{}")));
    assert!(!sink.apply(&raw(3, "zone-b", "{}")), "it is evacuated already");
    assert!(sink.apply(&raw(4, "zone-a", "")));
    assert!(!evacuations.is_evacuated("a") && evacuations.ended_at("a").is_some());
    sink.replace_all(&[raw(0, "config", "3")]);
    assert!(evacuations.zones().is_empty() && evacuations.ended_at("b").is_some());
    assert_eq!(state.version(), 3);
}
