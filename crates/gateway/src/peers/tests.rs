use {
    super::{
        announcer::{Step, step_after_read},
        changes_codec,
        load_sums::LoadSums,
        peer_state::{MaxConfirmationAges, PeerState},
        published_feed::{PublishedFeed, encode_changes},
        relay_election::{ElectionInputs, rank, should_relay},
        store_turn::StoreTurn,
    },
    crate::{
        clock::BootInstant,
        records::{FeedKind, RawRecord},
    },
    mango_wire::gossip::{
        EndpointLoad, FeedStatus, GossipMessage, HostRecord, RelayStatus, RelayedChanges,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// Hash of an endpoint's ID.
const ENDPOINT: u32 = 7;

fn host(name: &str) -> HostRecord {
    HostRecord {
        host_id: name.to_owned(),
        zone: "z".to_owned(),
        gossip_address: "127.0.0.1:7001".to_owned(),
        relay_address: "127.0.0.1:7002".to_owned(),
        link_mbps: 100,
    }
}

fn own_state() -> PeerState {
    let max_age = Duration::from_millis(1_500);
    PeerState::new(host("own"), MaxConfirmationAges { config: max_age, endpoints: max_age })
}

/// Builds a relay status that answers a report which `state` sends now.
fn answered_status(state: &PeerState, from: &str, age_ms: u64) -> GossipMessage {
    status(from, Some(report_timestamp(state)), age_ms, Vec::new())
}

fn status_of_fleet(from: &str, fleet_hosts: u32) -> GossipMessage {
    match status(from, None, 100, Vec::new()) {
        GossipMessage::RelayStatus(status) => {
            GossipMessage::RelayStatus(RelayStatus { fleet_hosts, ..status })
        }
        other => other,
    }
}

fn status(
    from: &str,
    echo_ms: Option<u64>,
    age_ms: u64,
    loads: Vec<EndpointLoad>,
) -> GossipMessage {
    let feed = FeedStatus {
        position: 10,
        changed: Some(9),
        confirmed_age_ms: Some(age_ms),
        confirmed_span_ms: 0,
        follows_outage: false,
        digest: 0,
        era: 0,
    };
    GossipMessage::RelayStatus(RelayStatus {
        host: host(from),
        echo_ms,
        config: feed.clone(),
        endpoints: feed,
        fleet_hosts: 5,
        successor_ranks: Vec::new(),
        loads,
        prefixes: Vec::new(),
    })
}

/// Returns the timestamp that a host writes into its reports. The host must already know a
/// peer to which it can send one.
fn report_timestamp(state: &PeerState) -> u64 {
    let messages = state.gossip_messages(&[], true);
    let report = messages.into_iter().find_map(|(_, message)| match message {
        GossipMessage::LoadReport(report) => Some(report.sent_at_ms),
        _ => None,
    });
    report.expect("a report")
}

/// Guards against two hosts that keep relaying for the same zone, and against a zone without
/// a relay.
#[test]
fn a_host_relays_only_while_no_better_relay_is_heard() {
    let fresh = Some(Duration::from_millis(300));
    let silent = ElectionInputs {
        since_better_relay: Some(Duration::from_secs(1)),
        since_start: Duration::from_secs(60),
        knows_hosts: true,
        hosts_before: 0,
        is_stopping: false,
        own_confirmation_age: fresh,
        max_confirmation_age: Duration::from_millis(1_500),
    };
    assert!(should_relay(&silent));
    // a stopping host would soon leave the zone without a relay again
    assert!(!should_relay(&ElectionInputs { is_stopping: true, ..silent }));
    // better-ranked hosts take over first
    assert!(!should_relay(&ElectionInputs { hosts_before: 4, ..silent }));
    assert!(!should_relay(&ElectionInputs { since_better_relay: Some(Duration::ZERO), ..silent }));
    // a host that cannot reach the store must not relay its records
    assert!(!should_relay(&ElectionInputs {
        own_confirmation_age: Some(Duration::from_secs(4)),
        ..silent
    }));
    assert!(!should_relay(&ElectionInputs { own_confirmation_age: None, ..silent }));
    // at the start of a zone, the first host in turn does not wait for a relay; one that knows no
    // other host first waits to hear of them
    let starting =
        ElectionInputs { since_better_relay: None, since_start: Duration::ZERO, ..silent };
    assert!(should_relay(&starting));
    assert!(!should_relay(&ElectionInputs { hosts_before: 1, ..starting }));
    assert!(!should_relay(&ElectionInputs { knows_hosts: false, ..starting }));
}

/// Guards against calls to the store that grow with the fleet: the hosts of a zone start or lose
/// their relay at the same time, the first ones do not run, and each reads when its turn comes
/// unless the relay has reached it by then.
#[test]
fn few_hosts_of_a_zone_read_the_store() {
    // from the first read to the status at the other hosts: the calls and two gossip rounds
    const RELAY_TIME: Duration = Duration::from_millis(450);
    const ZONE_HOSTS: u32 = 60;
    for (copy_age, missing_hosts) in [(None, 0), (None, 3), (Some(Duration::from_millis(900)), 0)] {
        let turn = |hosts_before, without_relay| StoreTurn {
            without_relay,
            hosts_before,
            knows_hosts: true,
            copy_age,
            max_copy_age: Duration::from_secs(3),
        };
        let mut reads_at = Vec::new();
        for at in (0..4_000).step_by(10).map(Duration::from_millis) {
            for host in missing_hosts..ZONE_HOSTS {
                let is_followed = reads_at.iter().any(|(_, first)| *first + RELAY_TIME <= at);
                let has_read = reads_at.iter().any(|(reader, _)| *reader == host);
                if !is_followed && !has_read && turn(host, at).has_come() {
                    reads_at.push((host, at));
                }
            }
        }
        assert!((1..=4).contains(&reads_at.len()), "{missing_hosts} missing: {reads_at:?}");
    }
}

/// Guards against a zone that serves late after all its hosts were killed: the first hosts in turn
/// do not wait for each other.
#[test]
fn the_first_hosts_of_a_zone_read_at_once() {
    let turn = |hosts_before| StoreTurn {
        without_relay: Duration::ZERO,
        hosts_before,
        knows_hosts: true,
        copy_age: None,
        max_copy_age: Duration::from_secs(3),
    };
    assert_eq!((0..60).filter(|&before| turn(before).has_come()).count(), 4);
}

/// Guards against a copy that becomes too old while its host waits for its turn, and against a host
/// that never starts because it knows no other.
#[test]
fn a_host_reads_the_store_in_time() {
    let waiting = StoreTurn {
        without_relay: Duration::from_millis(100),
        hosts_before: 30,
        knows_hosts: true,
        copy_age: Some(Duration::from_millis(2_900)),
        max_copy_age: Duration::from_secs(3),
    };
    assert!(!waiting.has_come());
    assert!(StoreTurn { copy_age: Some(Duration::from_secs(3)), ..waiting }.has_come());
    let alone = StoreTurn { knows_hosts: false, copy_age: None, ..waiting };
    assert!(!alone.has_come());
    assert!(StoreTurn { without_relay: Duration::from_secs(1), ..alone }.has_come());
    // the last host in turn waits no longer than the one before the maximum
    let last = StoreTurn { without_relay: Duration::from_millis(2_300), ..waiting };
    assert!(last.has_come());
}

/// Guards against an API key that stays valid because a relay status was in transit for long:
/// the age of the confirmation is counted from the time at which this host sent its report.
#[test]
fn a_relayed_confirmation_is_no_younger_than_the_report_it_answers() {
    let state = own_state();
    state.receive(status("peer", None, 400, Vec::new()));
    assert!(state.relayed_feed_status(FeedKind::Config).is_none(), "no report was answered");
    let sent_at_ms = report_timestamp(&state);
    std::thread::sleep(Duration::from_millis(60));
    state.receive(status("peer", Some(sent_at_ms), 0, Vec::new()));
    let relayed = state.relayed_feed_status(FeedKind::Config).expect("a relay");
    let at = relayed.confirmed_at.expect("a confirmation");
    let age = BootInstant::now().saturating_duration_since(at);
    assert!(age >= Duration::from_millis(59), "{age:?}");
}

/// Guards against an accepted echo of a timestamp that this process did not send, such as one
/// of an earlier process of the host.
#[test]
fn an_echo_from_another_process_confirms_nothing() {
    let state = own_state();
    state.receive(status("peer", None, 0, Vec::new()));
    let sent_at_ms = report_timestamp(&state);
    for echo_ms in [0, sent_at_ms - 3_600_000, sent_at_ms + 3_600_000, u64::MAX] {
        state.receive(status("peer", Some(echo_ms), 0, Vec::new()));
        assert!(state.relayed_feed_status(FeedKind::Config).is_none(), "echo {echo_ms}");
    }
}

/// Guards against a change that is applied too late because the relay lost the store, was
/// killed or hung: its last status is used only for a part of the time within which a change
/// must be applied.
#[test]
fn a_relay_is_followed_only_while_its_confirmation_is_recent() {
    let state = own_state();
    state.receive(status("peer", None, 100, Vec::new()));
    state.receive(answered_status(&state, "peer", 5_000));
    assert!(state.relayed_feed_status(FeedKind::Config).is_none(), "the relay lost the store");
    state.receive(answered_status(&state, "peer", 1_400));
    assert!(state.relayed_feed_status(FeedKind::Config).is_some());
    // its confirmation becomes too old before the relay itself times out
    std::thread::sleep(Duration::from_millis(150));
    assert!(
        state.relayed_feed_status(FeedKind::Config).is_none(),
        "its last confirmation is too old"
    );
}

/// Guards against flapping between two relays: the better-ranked one stays followed.
#[test]
fn the_better_ranked_of_two_relays_is_followed() {
    let state = own_state();
    let load = |requests| vec![EndpointLoad { endpoint: ENDPOINT, requests }];
    let mut names = ["p", "q"];
    names.sort_by_key(|name| rank(&host(name)));
    state.receive(status(names[1], None, 100, load(2)));
    state.receive(status(names[0], None, 100, load(5)));
    state.receive(status(names[1], None, 100, load(2)));
    assert_eq!(state.requests_by_other_hosts(ENDPOINT), Some(5));
    assert_eq!(state.requests_by_other_hosts(ENDPOINT + 1), Some(0));
}

/// Guards against sums that count a host's own requests twice.
#[test]
fn sums_leave_out_what_is_subtracted() {
    let loads = |requests| [EndpointLoad { endpoint: 1, requests }];
    let mut sums = LoadSums::default();
    sums.add(&loads(3));
    sums.add(&loads(4));
    sums.subtract(&loads(3));
    assert_eq!(sums.requests(1), 4);
    sums.subtract(&loads(9));
    assert_eq!((sums.requests(1), sums.to_loads().len()), (0, 0));
}

/// Guards against a peer that does not receive a removal or a change.
#[test]
fn a_relay_returns_the_newest_record_of_each_changed_key() {
    let record = |offset, key: &str, value: &[u8]| RawRecord {
        offset,
        key: key.into(),
        value: value.to_vec(),
    };
    let mut feed = PublishedFeed::default();
    feed.replace_all(&[record(1, "a", b"1"), record(2, "b", b"1")], 3, &[], |_| None);
    feed.add(&record(5, "a", b"2"));
    feed.add(&record(7, "b", b""));
    feed.set_position(9, 0);
    let read = |from| -> RelayedChanges {
        let bytes = encode_changes(&feed, from, 100).expect("within the limit");
        changes_codec::decode(&bytes).expect("a message")
    };
    let keys = |changes: &RelayedChanges| -> Vec<(u64, String, usize)> {
        changes.records.iter().map(|r| (r.offset, r.key.clone(), r.value.len())).collect()
    };
    assert_eq!(keys(&read(3)), [(5, "a".to_owned(), 1), (7, "b".to_owned(), 0)]);
    assert!(!read(3).is_complete);
    assert_eq!(keys(&read(6)), [(7, "b".to_owned(), 0)]);
    assert_eq!((keys(&read(8)).len(), read(8).position), (0, 9));
}

/// Guards against shares of the retry budget that add up to more than the budget: a new relay
/// that has received the loads of one zone only counts too few hosts, which would make every
/// share larger.
#[test]
fn the_number_of_hosts_does_not_decrease_at_once() {
    let state = own_state();
    state.receive(status_of_fleet("peer", 103));
    state.receive(status_of_fleet("peer", 35));
    assert_eq!(state.fleet_hosts(), 103);
    state.receive(status_of_fleet("peer", 104));
    assert_eq!(state.fleet_hosts(), 104);
}

/// Guards against parts of the retry allowance that add up to more than the allowance: a host
/// that has just started hears of few hosts, and after that of fewer than there are.
#[test]
fn a_limit_of_the_fleet_is_divided_among_all_registered_hosts() {
    let state = own_state();
    state.receive(status_of_fleet("peer", 2));
    assert_eq!(state.hosts_sharing_limits(), None, "few hosts may have been heard of");
    for number in 0..11 {
        state.add_host(&host(&format!("host-{number}")));
    }
    state.record_registry();
    assert_eq!(state.hosts_sharing_limits(), Some(13), "with this host and the relay");
    state.receive(status_of_fleet("peer", 2));
    assert_eq!(state.hosts_sharing_limits(), Some(13), "hosts that are silent may still run");
    state.receive(status_of_fleet("peer", 18));
    assert_eq!(state.hosts_sharing_limits(), Some(18), "hosts of other zones were added");
}

/// Guards against a relay whose link is too slow for its zone: over a link of 10 Mbit/s, a
/// configuration of 100 KB took two seconds for 25 hosts and delayed all other traffic.
#[test]
fn hosts_with_more_bandwidth_relay_and_slow_links_limit_responses() {
    let slow = |name| HostRecord { link_mbps: 10, ..host(name) };
    for name in ["a", "b", "c", "d"] {
        assert!(rank(&host("big")) < rank(&slow(name)));
    }
    let mut feed = PublishedFeed::default();
    // bytes that cannot be compressed
    let mut random = StdRng::seed_from_u64(1);
    let value = (0..20_000).map(|_| random.random()).collect();
    feed.add(&RawRecord { offset: 1, key: "config".into(), value });
    assert!(encode_changes(&feed, 0, 10).is_none());
    assert!(encode_changes(&feed, 0, 100).is_some());
}

/// Guards against a configuration that every host of a zone reads from the store because it is too
/// large for the relay's link, and against changes that do not reach the hosts unchanged.
#[test]
fn a_large_configuration_fits_a_slow_link() {
    let route = |number: usize| {
        format!(
            "{{\"name\":\"r-{number:x}\",\"host\":\"h{}.example\",\"pathPrefix\":\"/p{number}/\",\
             \"kind\":\"streaming\",\"timeoutMs\":12000,\"targetLatencyMs\":800,\"priority\":1,\
             \"service\":\"s\",\"maxAttempts\":2,\"allowAnonymous\":false,\"sticky\":true}}",
            number % 9
        )
    };
    let value: Vec<u8> = (0..600).map(route).collect::<Vec<_>>().join(",").into_bytes();
    assert!(value.len() > 80_000);
    let mut feed = PublishedFeed::default();
    feed.replace_all(
        &[RawRecord { offset: 4, key: "config".into(), value: value.clone() }],
        5,
        &[],
        |_| None,
    );
    feed.set_position(5, 0);
    let bytes = encode_changes(&feed, 0, 20).expect("within the limit");
    let changes = changes_codec::decode(&bytes).expect("a message");
    assert_eq!((changes.position, changes.records[0].value.as_slice()), (5, value.as_slice()));
    // a later record is not hidden by the response that was encoded before
    feed.add(&RawRecord { offset: 7, key: "config".into(), value: b"new".to_vec() });
    let bytes = encode_changes(&feed, 0, 20).expect("within the limit");
    let changes = changes_codec::decode(&bytes).expect("a message");
    assert_eq!(changes.records[0].value, b"new");
    assert!(changes_codec::decode(&bytes[..bytes.len() / 2]).is_err());
}

/// Guards against requests to an endpoint that was removed in the gap before a relay listed
/// the log again: peers that had read less receive the complete listing.
#[test]
fn a_removal_before_a_listing_reaches_peers() {
    let record = |offset, key: &str| RawRecord { offset, key: key.into(), value: vec![1] };
    let mut feed = PublishedFeed::default();
    feed.replace_all(&[record(1, "a"), record(2, "b")], 3, &[], |_| None);
    feed.replace_all(&[record(1, "a")], 9, &[], |_| None);
    feed.set_position(9, 0);
    let bytes = encode_changes(&feed, 5, 100).expect("within the limit");
    let changes: RelayedChanges = changes_codec::decode(&bytes).expect("a message");
    assert!(changes.is_complete);
    let keys: Vec<_> = changes.records.iter().map(|record| record.key.as_str()).collect();
    assert_eq!(keys, ["a"]);
}

/// Guards against endpoints that are used for good after an outage in which the records of hundreds
/// expired: the relay forgets the oldest removals, so a peer that has not read them must get all records.
#[test]
fn a_removal_that_the_relay_has_forgotten_reaches_peers() {
    let mut feed = PublishedFeed::default();
    let keys: Vec<String> = (0..700).map(|index| format!("e-{index}")).collect();
    let record = |offset, key: &str, value: &str| RawRecord {
        offset,
        key: key.into(),
        value: value.as_bytes().to_vec(),
    };
    let listed: Vec<_> = (0..).zip(&keys).map(|(offset, key)| record(offset, key, "1")).collect();
    feed.replace_all(&listed, 700, &[], |_| None);
    for (offset, key) in (700..).zip(&keys) {
        feed.add(&record(offset, key, ""));
    }
    feed.add(&record(1_400, "e-0", "2"));
    feed.set_position(1_401, 0);
    let changes = feed.changes(700);
    let is_told = |key: &String| changes.records.iter().any(|record| record.key == *key);
    assert!(changes.is_complete || keys.iter().all(is_told));
    let changes = feed.changes(1_400);
    assert!(!changes.is_complete && changes.records.len() == 1, "a peer that has read them");
}

/// Guards against calls to the registry that a start does not need, and against hosts that start
/// together and never find each other.
#[test]
fn a_host_writes_its_record_only_if_the_registry_lacks_it() {
    let own = host("own");
    assert_eq!(step_after_read(&own, &[host("a"), own.clone()]), None);
    let moved = HostRecord { gossip_address: "127.0.0.1:9".to_owned(), ..own.clone() };
    // after a write it reads again: another host may have written since the first read
    for hosts in [vec![host("a"), moved], vec![host("a")], vec![]] {
        assert_eq!(step_after_read(&own, &hosts), Some(Step::Write));
    }
}
