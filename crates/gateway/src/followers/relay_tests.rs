//! Followers beside a relay of their zone.

use {
    super::{
        Follower,
        tests::{ScriptedFeed, config_sink, own_host, peers_of, raw},
    },
    crate::{
        clock::BootInstant,
        config::{ConfigState, Evacuations},
        peers::{PeerState, PublishedFeed, encode_changes},
        records::{Continuity, FeedError, FeedKind, LogListing, RawRecord},
        telemetry::GatewayMetrics,
    },
    mango_wire::gossip::{FeedStatus, GossipMessage, HostRecord, LoadReport, RelayStatus},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        rc::Rc,
        thread,
        time::Duration,
    },
    tokio::{
        task::{LocalSet, spawn_local},
        time::sleep,
    },
};

/// Time in which a host has to apply what its relay knows.
const APPLY_TIME: Duration = Duration::from_millis(400);
/// Time within which a change of the configuration must be in force.
const CONFIG_APPLY_TIME: Duration = Duration::from_millis(2_000);
/// Greatest age of a usable confirmation.
const MAX_AGE: Duration = Duration::from_millis(1_500);
const LINK_MBPS: u32 = 100;

/// Serves these records to peers, as the relay of a zone does. Returns its address.
fn serve_records(records: &[RawRecord], end: u64) -> SocketAddr {
    let mut feed = PublishedFeed::default();
    feed.replace_all(records, end, &[], |_| None);
    feed.set_position(end, 9);
    let body = encode_changes(&feed, 0, LINK_MBPS).expect("a few records").to_vec();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 1_024];
            if matches!(stream.read(&mut request), Ok(1..)) {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let _ = stream.write_all(&[head.as_bytes(), &body].concat());
            }
        }
    });
    address
}

/// Makes this number of running hosts known that would relay before the own one.
fn add_hosts_before(peers: &PeerState, count: usize) {
    for index in 0..count {
        let host = HostRecord {
            host_id: format!("host-{index}"),
            link_mbps: 1_000 * LINK_MBPS,
            ..own_host()
        };
        let (loads, prefixes) = (Vec::new(), Vec::new());
        let report = LoadReport { host, sent_at_ms: 1, loads, prefixes };
        peers.receive(GossipMessage::LoadReport(report));
    }
    assert_eq!(peers.hosts_before_own_turn(), count as u32);
}

/// The status of a relay that read its log up to `position` a moment ago, as an answer to a report
/// that this host sends now.
fn receive_status(peers: &PeerState, relay_address: SocketAddr, position: u64) {
    let reports = peers.gossip_messages(&[], true);
    let echo_ms = reports.iter().find_map(|(_, message)| match message {
        GossipMessage::LoadReport(report) => Some(report.sent_at_ms),
        _ => None,
    });
    assert!(echo_ms.is_some(), "no report was sent");
    let feed = FeedStatus {
        position,
        changed: position.checked_sub(1),
        confirmed_age_ms: Some(1),
        confirmed_span_ms: 1,
        follows_outage: true,
        digest: 9,
        era: 0,
    };
    let host = HostRecord {
        host_id: "host-0".to_owned(),
        link_mbps: 1_000 * LINK_MBPS,
        relay_address: relay_address.to_string(),
        ..own_host()
    };
    peers.receive(GossipMessage::RelayStatus(RelayStatus {
        host,
        echo_ms,
        config: feed.clone(),
        endpoints: feed,
        fleet_hosts: 1,
        successor_ranks: Vec::new(),
        loads: Vec::new(),
        prefixes: Vec::new(),
    }));
}

/// A follower of the configuration on the last host of a zone, whose copy is too old to be used.
struct LastHost {
    peers: Rc<PeerState>,
    state: Rc<ConfigState>,
    feed: ScriptedFeed,
}

impl LastHost {
    /// `listings` are the answers of the store, in order.
    fn new(listings: impl IntoIterator<Item = Result<LogListing, FeedError>>) -> LastHost {
        let peers = peers_of(HostRecord { link_mbps: 1, ..own_host() }, MAX_AGE);
        add_hosts_before(&peers, 30);
        let long_ago = BootInstant::now().checked_sub(MAX_AGE).expect("a time after the boot");
        peers.confirm_feed(FeedKind::Config, long_ago, Continuity::default());
        let feed = ScriptedFeed::default();
        feed.listings.borrow_mut().extend(listings);
        LastHost { peers, state: Rc::new(ConfigState::new(Duration::from_secs(3))), feed }
    }

    /// Runs the follower while `events` happen.
    fn run(&self, events: impl Future<Output = ()>) {
        let metrics = Rc::new(GatewayMetrics::new());
        let sink = config_sink(&self.state, &Rc::new(Evacuations::new(metrics.clone())));
        let follower = Follower::new(self.feed.clone(), sink, self.peers.clone(), metrics);
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            spawn_local(follower.run());
            events.await;
        });
    }
}

fn refused() -> Result<LogListing, FeedError> {
    Err(FeedError::Unavailable("refused".into()))
}

/// Guards against requests by an old configuration after an outage of the store: a host at the end of
/// the order of a large zone paused for seconds beside a relay that had the new one.
#[test]
fn a_pause_after_a_failed_call_ends_when_a_relay_is_heard() {
    let host = LastHost::new([refused()]);
    let relay_address = serve_records(&[raw(8, "config", "9")], 9);
    host.run(async {
        sleep(Duration::from_millis(200)).await;
        assert!(host.feed.listings.borrow().is_empty(), "the call to the store has failed");
        receive_status(&host.peers, relay_address, 9);
        sleep(APPLY_TIME).await;
    });
    assert_eq!(host.state.version(), 9);
}

/// Guards against the same fault in a zone whose first hosts do not run, so that none relays: the last
/// ones paused for longer than a change may take.
#[test]
fn a_pause_without_a_relay_is_shorter_than_a_change_may_take() {
    let listing = LogListing { records: vec![raw(8, "config", "9")], end: 9, era: 0 };
    let host = LastHost::new([refused(), Ok(listing)]);
    host.run(async { sleep(CONFIG_APPLY_TIME).await });
    assert_eq!(host.state.version(), 9);
}
