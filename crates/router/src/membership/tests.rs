use {
    super::{Membership, member_table::MemberTable},
    crate::{
        metrics::Metrics,
        peer::{PeerHandler, PeerNet, Replier},
        platform::{ConfirmedRead, LogTail, MemoryLog, TailSink},
    },
    mango_wire::{
        HostId, Offset,
        peer::{Alive, PeerMessage, Suspect},
        platform::LogRecord,
        records::{FleetRecord, Join, Leave},
        settings::Settings,
    },
    serde_json::json,
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const SUSPECT_TIMEOUT: Duration = Duration::from_millis(300);
const RETENTION_MS: u64 = 1_000;

struct Handler(Arc<Membership>);

impl PeerHandler for Handler {
    fn handle(&self, from: &HostId, message: PeerMessage, replier: Replier) {
        self.0.handle(from, replier.sender_identity(), &message);
    }

    fn link_down(&self, _host: &HostId) {}
}

struct FleetRecordSink(Arc<Membership>);

impl TailSink for FleetRecordSink {
    fn record(&mut self, record: &LogRecord) {
        match serde_json::from_str(&record.body).unwrap() {
            FleetRecord::Join(join) => self.0.apply_join(&join, record.at_ms),
            FleetRecord::Leave(leave) => self.0.apply_leave(&leave, record.at_ms),
            _ => {}
        }
    }

    fn confirmed(&mut self, confirmed: ConfirmedRead) {
        self.0.record_log_read(confirmed.read_started, confirmed.next_offset);
    }

    fn gap(&mut self, _first_offset: Offset) {}
}

struct Host {
    net: PeerNet,
    metrics: Metrics,
    membership: Arc<Membership>,
    log: MemoryLog,
    _tail: LogTail,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.membership.stop();
        self.net.stop();
    }
}

fn start_host(name: &str, log: MemoryLog, suspect_timeout: Option<Duration>) -> Host {
    let mut value = json!({
        "host_id": name, "region": "r", "zone": "z", "peer_secret": "a secret of the fleet",
        "peer_address": "127.0.0.1:0", "caller_address": "127.0.0.1:0",
        "operator_address": "127.0.0.1:0", "operator_token": "0123456789abcdef",
        "platform": {"host_list_url": "", "log_url": "", "weight_store_url": ""},
    });
    if let Some(timeout) = suspect_timeout {
        let ms = timeout.as_millis();
        value["membership"] = json!({"heartbeat_ms": ms / 5, "suspect_ms": ms});
    }
    let settings: Settings = serde_json::from_value(value).unwrap();
    let metrics = Metrics::new();
    let identity = format!("{name}-1");
    let net = PeerNet::bind(&settings, &identity, &metrics).unwrap();
    let membership =
        Membership::spawn(&settings, &identity, log.clone(), net.clone(), &metrics).unwrap();
    net.start(Arc::new(Handler(membership.clone())));
    let sink = FleetRecordSink(membership.clone());
    let tail = LogTail::spawn(log.clone(), "fleet", &settings.platform, sink).unwrap();
    Host { net, metrics, membership, log, _tail: tail }
}

fn start_hosts(count: usize, suspect_timeout: Option<Duration>) -> Vec<Host> {
    let log = MemoryLog::default();
    let hosts: Vec<_> =
        (0..count).map(|n| start_host(&format!("h{n}"), log.client(), suspect_timeout)).collect();
    wait_until("all hosts are live", || live_counts(&hosts).iter().all(|live| *live == count));
    hosts
}

fn live_counts(hosts: &[Host]) -> Vec<usize> {
    hosts.iter().map(|host| host.membership.live_hosts().len()).collect()
}

fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

// Guards against a crashed host that stays live for other hosts, also for those
// that do not monitor it, which keep sending work to it.
#[test]
fn crashed_host_is_dead_for_all() {
    let mut hosts = start_hosts(7, Some(SUSPECT_TIMEOUT));
    let crashed = hosts.remove(3);
    let started = Instant::now();
    drop(crashed);
    wait_until("the host is dead for all", || live_counts(&hosts).iter().all(|live| *live == 6));
    assert!(started.elapsed() < SUSPECT_TIMEOUT * 2, "{:?}", started.elapsed());
    assert!(hosts.iter().all(|host| host.membership.registered_count() == 7));
}

// Guards against a live host that stays dead for others after a false suspicion,
// and against an old suspicion that is accepted after its refutation.
#[test]
fn false_suspicion_is_refuted() {
    let hosts = start_hosts(3, Some(SUSPECT_TIMEOUT));
    let suspect_host = || {
        for host in &hosts[1..] {
            // as from a monitor that receives no heartbeats from the host
            host.membership.handle(&"h9".into(), "h9-1", &suspicion(0).into());
        }
    };
    suspect_host();
    // by then the grace period is over and the host has refuted the suspicion
    thread::sleep(SUSPECT_TIMEOUT);
    wait_until("the host is live again", || live_counts(&hosts) == [3, 3, 3]);
    suspect_host();
    for _ in 0..30 {
        assert_eq!(live_counts(&hosts), [3, 3, 3]);
        thread::sleep(SUSPECT_TIMEOUT / 30);
    }
}

fn suspicion(incarnation: u64) -> Suspect {
    Suspect { host_id: "h0".to_owned(), identity: "h0-1".to_owned(), incarnation }
}

// Guards against a suspicion that has no effect, and against a dead host that is
// live again after a heartbeat or refutation without a higher incarnation.
#[test]
fn suspected_host_is_dead_after_the_grace_period_until_it_refutes() {
    let start = Instant::now();
    let mut table = MemberTable::new("own", "own-1", 4, SUSPECT_TIMEOUT, RETENTION_MS);
    table.apply_join(&Join { host_id: "h0".to_owned(), ..join("h0-1") }, 0, start);
    assert!(table.apply_suspicion(&suspicion(3), start));
    assert_eq!(table.view().hosts.len(), 1, "may still refute");
    table.check_silence(start + SUSPECT_TIMEOUT / 5);
    assert_eq!(table.view().hosts.len(), 0);
    let to_refute = table.apply_heartbeat("h0", "h0-1", 3, start + SUSPECT_TIMEOUT);
    assert_eq!(to_refute.map(|suspect| suspect.incarnation), Some(3));
    assert_eq!(table.view().hosts.len(), 0);
    let alive =
        |incarnation| Alive { host_id: "h0".to_owned(), identity: "h0-1".to_owned(), incarnation };
    table.apply_refutation(&alive(3), start + SUSPECT_TIMEOUT);
    assert_eq!(table.view().hosts.len(), 0);
    table.apply_refutation(&alive(4), start + SUSPECT_TIMEOUT);
    assert_eq!(table.view().hosts.len(), 1);
    assert!(
        !table.apply_suspicion(&suspicion(3), start + SUSPECT_TIMEOUT),
        "older than the refutation"
    );
}

// Guards against heartbeats that do not report the age of the newest log read. Hosts
// use it to distinguish a log outage from their own lost connection to the log.
#[test]
fn heartbeats_report_log_reads() {
    let hosts = start_hosts(3, Some(SUSPECT_TIMEOUT));
    hosts[0].log.set_disconnected(true);
    thread::sleep(SUSPECT_TIMEOUT * 2);
    assert!(hosts[0].membership.log_age_ms() < 600, "heartbeats of others report their reads");
    hosts[1].log.set_down(true);
    thread::sleep(SUSPECT_TIMEOUT * 3);
    for host in &hosts {
        assert!(host.membership.log_age_ms() > 600, "{} ms", host.membership.log_age_ms());
    }
}

// Guards against heartbeat traffic per host that grows with the number of hosts.
#[test]
fn heartbeat_traffic_is_limited() {
    let hosts = start_hosts(20, None);
    let sent = || -> u64 {
        let line = "mangobridge_peer_sent_bytes_total ";
        let of = |host: &Host| {
            let text = host.metrics.encode().unwrap();
            text.lines().find_map(|l| l.strip_prefix(line)?.parse::<u64>().ok()).unwrap()
        };
        hosts.iter().map(of).sum()
    };
    thread::sleep(Duration::from_millis(1000)); // until the links are up
    let before = sent();
    thread::sleep(Duration::from_millis(2000));
    let bytes_per_s = (sent() - before) / 2 / 20;
    println!("heartbeats: {bytes_per_s} bytes/s per host");
    assert!(bytes_per_s < 1500, "{bytes_per_s} bytes/s per host");
}

fn join(identity: &str) -> Join {
    Join {
        at_ms: 0,
        host_id: "a".to_owned(),
        identity: identity.to_owned(),
        peer_address: "127.0.0.1:9".to_owned(),
        region: "r".to_owned(),
        zone: "z".to_owned(),
    }
}

// Guards against hosts that disagree on which hosts are registered, and against an
// identity that is registered again after it left.
#[test]
fn registration_follows_the_records() {
    let now = Instant::now();
    let mut table = MemberTable::new("own", "own-1", 4, SUSPECT_TIMEOUT, RETENTION_MS);
    assert!(table.apply_join(&join("a-1"), 0, now));
    assert!(table.apply_join(&join("a-1"), 900, now), "renewal");
    assert!(table.apply_join(&Join { host_id: "b".to_owned(), ..join("b-1") }, 1_800, now));
    assert!(table.is_registered("a", "a-1"), "renewed at 900");
    assert!(table.apply_join(&Join { host_id: "b".to_owned(), ..join("b-1") }, 2_000, now));
    assert!(!table.is_registered("a", "a-1"), "expired");
    assert!(table.apply_join(&join("a-2"), 2_000, now));
    let leave = Leave { host_id: "a".to_owned(), identity: "a-2".to_owned() };
    assert!(table.apply_leave(&leave, 2_001));
    assert!(!table.apply_join(&join("a-2"), 2_002, now), "left");
    assert!(table.apply_join(&join("a-3"), 2_003, now));
    assert!(table.apply_join(&join("a-4"), 2_004, now));
    assert!(!table.apply_join(&join("a-3"), 2_005, now), "replaced");
    assert!(!table.apply_join(
        &Join { peer_address: "nowhere".to_owned(), ..join("a-5") },
        2_006,
        now
    ));
}
