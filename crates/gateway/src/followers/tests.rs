use {
    super::{ConfigSink, Follower, OperatorRecords, record_sink::RecordSink},
    crate::{
        clock::BootInstant,
        config::{CallerLimits, ConfigState, Evacuations, OperatorKey, RoutingConfig},
        peers::{MaxConfirmationAges, PeerState},
        records::{FeedError, LogChanges, LogListing, RawRecord, RecordFeed},
        telemetry::GatewayMetrics,
    },
    mango_wire::gossip::HostRecord,
    std::{
        cell::RefCell,
        collections::VecDeque,
        future::pending,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{task::LocalSet, time::timeout},
};

/// A log that returns prepared answers and then never answers again.
#[derive(Clone, Default)]
pub(super) struct ScriptedFeed {
    pub(super) listings: Rc<RefCell<VecDeque<Result<LogListing, FeedError>>>>,
    pub(super) changes: Rc<RefCell<VecDeque<Result<LogChanges, FeedError>>>>,
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

pub(super) fn peers() -> Rc<PeerState> {
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
    Ok(LogListing { records, end, era: 0 })
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
    feed.changes.borrow_mut().extend([
        Err(FeedError::Expired),
        Ok(LogChanges { records: Vec::new(), next: 2, end: 1, era: 0 }),
    ]);
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
        era: 0,
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

/// Guards against an evacuation that is missed, or that lasts after it was taken back while this
/// host did not follow the log; and against a record of an evacuation that is taken for a
/// configuration.
#[test]
fn evacuations_last_until_their_record_is_removed() {
    let state = Rc::new(ConfigState::new(Duration::from_secs(3)));
    let evacuations = Rc::new(Evacuations::new(Rc::new(GatewayMetrics::new())));
    let mut sink = config_sink(&state, &evacuations);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "config", "3"), raw(1, "zone-a", "{}")], now);
    assert!(evacuations.is_evacuated("a") && evacuations.ended_at("a").is_none());
    assert!(sink.apply(&raw(2, "zone-b", "{}"), now).is_news());
    assert!(!sink.apply(&raw(3, "zone-b", "{}"), now).is_news(), "it is evacuated already");
    assert!(sink.apply(&raw(4, "zone-a", ""), now).is_news());
    assert!(!evacuations.is_evacuated("a") && evacuations.ended_at("a").is_some());
    sink.replace_all(&[raw(0, "config", "3")], now);
    assert!(evacuations.zones().is_empty() && evacuations.ended_at("b").is_some());
    assert_eq!(state.version(), 3);
}

/// Guards against hosts that trust keys by a configuration which their relay could not confirm, since it
/// cannot read the newest one and did not pass it on.
#[test]
fn an_unreadable_configuration_is_passed_on() {
    let state = Rc::new(ConfigState::new(Duration::from_secs(3)));
    let evacuations = Rc::new(Evacuations::new(Rc::new(GatewayMetrics::new())));
    let mut sink = config_sink(&state, &evacuations);
    let now = Instant::now();
    sink.replace_all(&[raw(0, "config", "3")], now);
    assert!(sink.apply(&raw(1, "config", "torn"), now).is_news());
}
