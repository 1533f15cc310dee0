use {
    super::{
        Ownership, OwnershipMode, ResourceId, fleet_sink::FleetSink,
        ownership_metrics::OwnershipMetrics, shared::Shared,
    },
    crate::{
        membership::{Membership, unix_ms},
        metrics::Metrics,
        peer::{PeerHandler, PeerNet, Replier},
        platform::{ConfirmedRead, MemoryLog, TailSink},
    },
    mango_wire::{
        HostId, Offset,
        peer::PeerMessage,
        records::{FleetRecord, Join, Take},
        settings::Settings,
    },
    serde_json::json,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// Lease of the hosts with `Timing::Short`.
const LEASE: Duration = Duration::from_millis(400);

struct Handler {
    membership: Arc<Membership>,
    ownership: Arc<Ownership>,
}

impl PeerHandler for Handler {
    fn handle(&self, from: &HostId, message: PeerMessage, replier: Replier) {
        self.membership.handle(from, replier.sender_identity(), &message);
        self.ownership.handle(from, &message, replier);
    }

    fn link_down(&self, _host: &HostId) {}

    fn accepts(&self, host: &HostId, identity: &str) -> bool {
        self.membership.accepts(host, identity)
    }
}

#[derive(Clone)]
struct Host {
    id: HostId,
    log: MemoryLog,
    net: PeerNet,
    membership: Arc<Membership>,
    ownership: Arc<Ownership>,
}

impl Host {
    /// Stops the threads and closes the links without a release or a leave.
    fn crash(&self) {
        self.net.stop();
        self.membership.stop();
        self.ownership.stop();
    }

    fn acts_on(&self, resource: &ResourceId) -> bool {
        self.ownership.acting_epoch(resource).is_some()
    }

    /// Points this host's link to another host at a port where nothing listens.
    fn make_unreachable(&self, other: &Host) {
        self.net.set_address(&other.id, "127.0.0.1:1".parse().unwrap());
    }
}

struct Fleet {
    hosts: Vec<Host>,
    log: MemoryLog,
    resources: Vec<ResourceId>,
    overlaps: Arc<AtomicUsize>,
    watching: Arc<AtomicBool>,
    watcher: Option<JoinHandle<()>>,
}

impl Fleet {
    fn start(names: &[&str], timing: Timing) -> Self {
        let log = MemoryLog::default();
        let resources: Vec<_> = (0..12).map(|n| ResourceId::engine(&n.to_string())).collect();
        let mut fleet = Self {
            hosts: Vec::new(),
            log,
            resources,
            overlaps: Arc::default(),
            watching: Arc::new(AtomicBool::new(true)),
            watcher: None,
        };
        for name in names {
            fleet.add_host(name, timing);
        }
        fleet
    }

    fn add_host(&mut self, name: &str, timing: Timing) {
        self.add_process(name, &format!("{name}-1"), timing);
    }

    fn add_process(&mut self, name: &str, identity: &str, timing: Timing) {
        let host = start_host(name, identity, self.log.client(), timing);
        let resources = self.resources.iter().map(|r| (r.clone(), "r".to_owned())).collect();
        host.ownership.set_resources(resources);
        self.hosts.push(host);
    }

    /// Waits until exactly one of the hosts acts on each resource.
    fn wait_all_acting(&self, hosts: &[Host]) {
        wait_until("each resource has an acting owner", || {
            self.resources.iter().all(|r| hosts.iter().filter(|h| h.acts_on(r)).count() == 1)
        });
    }

    /// Waits until all hosts are live, each resource has an acting owner and the owners stay
    /// the same for a lease.
    fn wait_settled(&self) {
        wait_until("all hosts are live", || {
            self.hosts.iter().all(|h| h.membership.live_hosts().len() == self.hosts.len())
        });
        self.wait_all_acting(&self.hosts);
        let mut owners = self.owners();
        wait_until("the owners stay the same", || {
            thread::sleep(LEASE);
            let before = std::mem::replace(&mut owners, self.owners());
            before == owners && owners.iter().all(Option::is_some)
        });
    }

    fn owners(&self) -> Vec<Option<HostId>> {
        let owner = |r| Some(self.hosts[0].ownership.owner(r)?.host_id);
        self.resources.iter().map(owner).collect()
    }

    /// Starts counting how often two hosts act on a resource at the same time.
    fn watch_for_overlaps(&mut self) {
        let hosts = self.hosts.clone();
        let resources = self.resources.clone();
        let (overlaps, watching) = (self.overlaps.clone(), self.watching.clone());
        let watcher = thread::spawn(move || {
            while watching.load(Ordering::SeqCst) {
                let found = resources.iter().filter(|r| two_hosts_act(&hosts, r)).count();
                overlaps.fetch_add(found, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(1));
            }
        });
        self.watcher = Some(watcher);
    }

    /// Stops counting and returns the count.
    fn stop_and_count_overlaps(&mut self) -> usize {
        self.watching.store(false, Ordering::SeqCst);
        self.watcher.take().unwrap().join().unwrap();
        self.overlaps.load(Ordering::SeqCst)
    }

    fn takes(&self) -> Vec<Take> {
        let take = |body: String| match serde_json::from_str(&body).unwrap() {
            FleetRecord::Take(take) => Some(take),
            _ => None,
        };
        self.log.bodies("fleet").into_iter().filter_map(take).collect()
    }

    /// Returns the times in milliseconds at which each host took each resource over from
    /// another owner, by the records from offset `from` on. A Take that names an old epoch
    /// has no effect and is skipped.
    fn takeovers_ms(&self, from: Offset) -> HashMap<(HostId, String), Vec<u64>> {
        let mut epochs: HashMap<String, Offset> = HashMap::new();
        let mut takeovers: HashMap<(HostId, String), Vec<u64>> = HashMap::new();
        for record in self.log.records("fleet") {
            match serde_json::from_str(&record.body).unwrap() {
                FleetRecord::Take(take) if !take.renew => {
                    for seen in take.resources {
                        let epoch = epochs.entry(seen.resource.clone()).or_default();
                        if *epoch != seen.epoch {
                            continue;
                        }
                        *epoch = record.offset;
                        if seen.epoch != 0 && record.offset >= from {
                            let key = (take.host_id.clone(), seen.resource);
                            takeovers.entry(key).or_default().push(record.at_ms);
                        }
                    }
                }
                FleetRecord::Release(release) => {
                    for seen in release.resources {
                        epochs.entry(seen.resource).and_modify(|epoch| {
                            if *epoch == seen.epoch {
                                *epoch = 0;
                            }
                        });
                    }
                }
                _ => {}
            }
        }
        takeovers
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.watching.store(false, Ordering::SeqCst);
        for host in &self.hosts {
            host.crash();
        }
    }
}

/// Whether two hosts act on the resource at the same time: one host acts at the same epoch
/// before and after another host was seen to act.
fn two_hosts_act(hosts: &[Host], resource: &ResourceId) -> bool {
    hosts.iter().enumerate().any(|(i, first)| {
        let Some(epoch) = first.ownership.acting_epoch(resource) else {
            return false;
        };
        let others = hosts.iter().enumerate().filter(|(j, _)| *j != i);
        let another = others.map(|(_, host)| host).any(|host| host.acts_on(resource));
        another && first.ownership.acting_epoch(resource) == Some(epoch)
    })
}

/// Intervals and timeouts of a test's hosts.
#[derive(Clone, Copy)]
enum Timing {
    /// Shorter than the default settings, to speed up the test.
    Short,
    Default,
}

fn settings(name: &str, timing: Timing) -> Settings {
    let mut value = json!({
        "host_id": name, "region": "r", "zone": "z", "peer_secret": "a secret of the fleet",
        "peer_address": "127.0.0.1:0", "caller_address": "127.0.0.1:0",
        "operator_address": "127.0.0.1:0", "operator_token": "0123456789abcdef",
        "platform": {"host_list_url": "", "log_url": "", "weight_store_url": ""},
    });
    if let Timing::Short = timing {
        value["membership"] = json!({"heartbeat_ms": 60, "suspect_ms": 400});
        value["ownership"] = json!({"lease_ms": LEASE.as_millis(), "rebalance_ms": 50});
        value["platform"]["poll_ms"] = json!(60);
        value["platform"]["request_ms"] = json!(300);
        value["platform"]["reconnect_max_ms"] = json!(80);
    }
    serde_json::from_value(value).unwrap()
}

fn start_host(name: &str, identity: &str, log: MemoryLog, timing: Timing) -> Host {
    let settings = settings(name, timing);
    let metrics = Metrics::new();
    let net = PeerNet::bind(&settings, identity, &metrics).unwrap();
    let membership =
        Membership::spawn(&settings, identity, log.clone(), net.clone(), &metrics).unwrap();
    let ownership = Ownership::spawn(
        &settings,
        identity,
        log.clone(),
        net.clone(),
        membership.clone(),
        &metrics,
    )
    .unwrap();
    net.start(Arc::new(Handler { membership: membership.clone(), ownership: ownership.clone() }));
    Host { id: name.to_owned(), log, net, membership, ownership }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

// Guards against two hosts acting on one resource because each considers the other dead,
// and against such hosts taking it from each other without a hold-off.
#[test]
fn hosts_that_do_not_reach_each_other_never_both_act() {
    let mut fleet = Fleet::start(&["a", "b", "c"], Timing::Short);
    fleet.wait_settled();
    fleet.watch_for_overlaps();
    let from = fleet.log.records("fleet").len() as Offset + 1;
    let [a, b, _] = &fleet.hosts[..] else { unreachable!() };
    a.make_unreachable(b);
    b.make_unreachable(a);
    wait_until("one considers the other dead", || {
        !a.membership.is_live(&b.id) || !b.membership.is_live(&a.id)
    });
    thread::sleep(LEASE * 6);
    let takeovers = fleet.takeovers_ms(from);
    assert!(!takeovers.is_empty(), "no takeover");
    // the hold-off starts when the Take is read back, so the appends are further apart than
    // that; rounding may lose one millisecond
    let hold_off_ms = (LEASE * 5).as_millis() as u64 - 1;
    for ((host, resource), times) in takeovers {
        let held = times.windows(2).all(|pair| pair[1] - pair[0] >= hold_off_ms);
        assert!(held, "{host} took {resource} over at {times:?} ms");
    }
    assert_eq!(fleet.stop_and_count_overlaps(), 0);
}

// Guards against an owner that can't read the log and acts after its lease, while another
// host has taken its resources over.
#[test]
fn owner_partitioned_from_the_log_stops_and_is_replaced() {
    let mut fleet = Fleet::start(&["a", "b", "c"], Timing::Short);
    fleet.wait_settled();
    fleet.watch_for_overlaps();
    let a = fleet.hosts[0].clone();
    let owned: Vec<_> = fleet.resources.iter().filter(|r| a.acts_on(r)).cloned().collect();
    assert!(!owned.is_empty());
    a.log.set_disconnected(true);
    thread::sleep(LEASE + Duration::from_millis(10));
    assert!(owned.iter().all(|r| !a.acts_on(r)), "acts after its lease");
    assert_eq!(a.ownership.mode(), OwnershipMode::Lapsed);
    fleet.wait_all_acting(&fleet.hosts[1..]);
    a.log.set_disconnected(false);
    wait_until("the host gets its share back", || owned.iter().all(|r| a.acts_on(r)));
    assert_eq!(fleet.stop_and_count_overlaps(), 0);
}

// Guards against two faults after the answer to an append was lost: a host that neither
// finds that it owns the resources nor takes them again, and a second Take.
#[test]
fn lost_append_answer_is_found_by_request_id() {
    let mut fleet = Fleet::start(&["a"], Timing::Short);
    let a = &fleet.hosts[0];
    wait_until("the host is registered", || a.membership.registered_count() == 1);
    a.log.lose_next_answer();
    fleet.watch_for_overlaps();
    fleet.wait_all_acting(&fleet.hosts);
    assert!(fleet.log.answer_was_lost() && fleet.hosts[0].log.answer_was_lost());
    let taken: Vec<_> = fleet.takes().iter().map(|take| take.resources.len()).collect();
    assert_eq!(taken, [fleet.resources.len()]);
    assert_eq!(fleet.stop_and_count_overlaps(), 0);
}

// Guards against an outage that ends at the start of the next read instead of its answer.
// Until the answer this host reports to probes that it can't read the log, so an owner may
// verify an outage and claim keys in memory. If this host does not record that outage, it
// serves such keys as new once it is the owner.
#[test]
fn time_until_a_read_is_confirmed_counts_as_outage() {
    let fleet = Fleet::start(&["a"], Timing::Short);
    let (wake, _woken) = crossbeam::channel::bounded(1);
    let metrics = OwnershipMetrics::register(&Metrics::new());
    let shared = Arc::new(Shared::new("a", "a-1", LEASE, 60_000, wake, metrics));
    let mut sink = FleetSink::new(shared.clone(), fleet.hosts[0].membership.clone());
    let first = Instant::now();
    sink.confirmed(ConfirmedRead { read_started: first, next_offset: 1 });
    // the next read starts within the lease, but its answer takes longer
    thread::sleep(LEASE * 12 / 10);
    sink.confirmed(ConfirmedRead { read_started: first + LEASE / 2, next_offset: 1 });
    assert_eq!(shared.outages_ms().len(), 1);
}

// Guards against a fleet that stops serving, or changes owners, while the log is down.
#[test]
fn verified_outage_keeps_the_owners() {
    let mut fleet = Fleet::start(&["a", "b", "c"], Timing::Short);
    fleet.wait_settled();
    fleet.watch_for_overlaps();
    let before = fleet.owners();
    fleet.log.set_down(true);
    wait_until("the leases end", || {
        fleet.hosts.iter().all(|h| h.ownership.mode() != OwnershipMode::Leased)
    });
    fleet.wait_all_acting(&fleet.hosts);
    // the outage stays verified over several probes
    let mut gaps = 0;
    for _ in 0..100 {
        thread::sleep(LEASE / 20);
        gaps +=
            usize::from(fleet.hosts.iter().any(|h| h.ownership.mode() == OwnershipMode::Lapsed));
    }
    assert!(gaps <= 10, "lapsed in {gaps} of 100 samples");
    fleet.log.set_down(false);
    wait_until("the leases are back", || {
        fleet.hosts.iter().all(|h| h.ownership.mode() == OwnershipMode::Leased)
    });
    wait_until("the outage is recorded", || {
        fleet.hosts.iter().all(|h| !h.ownership.outages_ms().is_empty())
    });
    assert_eq!(fleet.owners(), before);
    assert_eq!(fleet.stop_and_count_overlaps(), 0);
}

// Guards against a new owner that serves unknown keys as new because it started after an
// outage that is not recorded yet. The previous owner, which crashed during the outage, may
// have granted these keys from memory.
#[test]
fn successor_learns_of_an_unrecorded_outage_before_it_acts() {
    let mut fleet = Fleet::start(&["a", "b", "c"], Timing::Short);
    fleet.wait_settled();
    let a = fleet.hosts[0].clone();
    let owned: Vec<_> = fleet.resources.iter().filter(|r| a.acts_on(r)).cloned().collect();
    assert!(!owned.is_empty());
    fleet.log.set_down(true);
    wait_until("the outage is verified", || {
        matches!(a.ownership.mode(), OwnershipMode::VerifiedOutage { .. })
    });
    let in_outage_ms = unix_ms();
    a.crash();
    for survivor in &fleet.hosts[1..] {
        survivor.log.set_read_only(true);
    }
    fleet.log.set_down(false);
    fleet.add_process("a", "a-2", Timing::Short);
    let successor = fleet.hosts[3].clone();
    wait_until("the successor acts", || owned.iter().all(|r| successor.acts_on(r)));
    let bodies = fleet.log.bodies("fleet");
    assert!(!bodies.iter().any(|body| body.contains("outage")), "the log holds an Outage record");
    let outages = successor.ownership.outages_ms();
    assert!(
        outages.iter().any(|(began, ended)| (*began..=*ended).contains(&in_outage_ms)),
        "{outages:?} without {in_outage_ms}"
    );
}

// Guards against both sides of a partition acting during an outage of the log: the minority
// can't tell whether the majority has taken its resources over.
#[test]
fn minority_stops_in_an_outage() {
    let fleet = Fleet::start(&["a", "b", "c"], Timing::Short);
    fleet.wait_settled();
    let [a, b, c] = &fleet.hosts[..] else { unreachable!() };
    for other in [b, c] {
        a.make_unreachable(other);
        other.make_unreachable(a);
    }
    fleet.log.set_down(true);
    wait_until("the majority verifies the outage", || {
        [b, c].iter().all(|h| matches!(h.ownership.mode(), OwnershipMode::VerifiedOutage { .. }))
    });
    for _ in 0..40 {
        assert_eq!(a.ownership.mode(), OwnershipMode::Lapsed);
        assert!(fleet.resources.iter().all(|r| !a.acts_on(r)));
        thread::sleep(LEASE / 20);
    }
}

// Guards against verifying an outage although one host can read the log.
#[test]
fn outage_is_not_verified_while_a_host_reads_the_log() {
    let fleet = Fleet::start(&["a", "b", "c"], Timing::Short);
    fleet.wait_settled();
    for host in &fleet.hosts[..2] {
        host.log.set_disconnected(true);
    }
    thread::sleep(LEASE + Duration::from_millis(10));
    for _ in 0..40 {
        for host in &fleet.hosts[..2] {
            assert_eq!(host.ownership.mode(), OwnershipMode::Lapsed);
        }
        thread::sleep(LEASE / 20);
    }
}

// Guards against a takeover that takes longer than 3 s after a crash, with the default
// settings.
#[test]
fn takeover_after_a_crash_within_3_s() {
    let mut fleet = Fleet::start(&["a", "b", "c", "d"], Timing::Default);
    wait_until("all hosts are registered", || {
        fleet.hosts.iter().all(|h| h.membership.live_hosts().len() == 4)
    });
    fleet.wait_all_acting(&fleet.hosts);
    let owner = fleet.owners()[0].clone().unwrap();
    let index = fleet.hosts.iter().position(|h| h.id == owner).unwrap();
    let crashed = fleet.hosts.remove(index);
    let owned: Vec<_> = fleet.resources.iter().filter(|r| crashed.acts_on(r)).cloned().collect();
    assert!(!owned.is_empty());
    let started = Instant::now();
    crashed.crash();
    wait_until("the others act on its resources", || {
        owned.iter().all(|r| fleet.hosts.iter().any(|h| h.acts_on(r)))
    });
    println!("takeover: {:?}", started.elapsed());
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
}

// Guards against resources that stay without an owner or wait for the end of a lease when a
// host leaves as planned, and against the identity that left becoming live again.
#[test]
fn planned_leave_hands_over_at_once() {
    let mut fleet = Fleet::start(&["a", "b", "c"], Timing::Short);
    fleet.wait_settled();
    fleet.watch_for_overlaps();
    let a = fleet.hosts[0].clone();
    let owned: Vec<_> = fleet.resources.iter().filter(|r| a.acts_on(r)).cloned().collect();
    assert!(!owned.is_empty());
    a.ownership.release_all();
    a.membership.leave();
    let started = Instant::now();
    fleet.wait_all_acting(&fleet.hosts[1..]);
    println!("handover: {:?}", started.elapsed());
    assert!(started.elapsed() < LEASE, "{:?} {:#?}", started.elapsed(), fleet.log.bodies("fleet"));
    a.crash();
    let b = &fleet.hosts[1];
    wait_until("the leave is read", || b.membership.registered_count() == 2);
    assert!(!b.membership.accepts(&a.id, "a-1"));
    let rejoined = start_host("a", "a-1", fleet.log.client(), Timing::Short);
    thread::sleep(LEASE);
    assert!(!b.membership.is_live(&a.id), "an identity that left is live again");
    rejoined.crash();
    assert_eq!(fleet.stop_and_count_overlaps(), 0);
}

// Guards against a join that moves resources to other hosts than the joining one.
#[test]
fn join_moves_only_its_share() {
    let mut fleet = Fleet::start(&["a", "b", "c"], Timing::Short);
    fleet.wait_settled();
    let before = fleet.owners();
    fleet.add_host("d", Timing::Short);
    wait_until("the new host acts", || fleet.resources.iter().any(|r| fleet.hosts[3].acts_on(r)));
    fleet.wait_settled();
    let after = fleet.owners();
    let moved = before.iter().zip(&after).filter(|(b, a)| a != b);
    assert!(moved.clone().all(|(_, a)| a.as_deref() == Some("d")), "{before:?} {after:?}");
    assert!(moved.count() > 0);
}

// Guards against a membership that grows with each restart of a host, and against a paused
// process that is accepted again after a newer process of its host has joined.
#[test]
fn newer_identity_replaces_the_older() {
    let fleet = Fleet::start(&["a", "b"], Timing::Short);
    let [a, b] = &fleet.hosts[..] else { unreachable!() };
    wait_until("both are live", || [a, b].iter().all(|h| h.membership.live_hosts().len() == 2));
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    for identity in ["a-2", "a-1"] {
        let join = Join {
            at_ms: 0,
            host_id: "a".to_owned(),
            identity: identity.to_owned(),
            peer_address: address.to_string(),
            region: "r".to_owned(),
            zone: "z".to_owned(),
        };
        b.membership.apply_join(&join, 0);
    }
    let registered: HashMap<_, _> = b.membership.registered_hosts();
    assert_eq!(registered.get("a").map(String::as_str), Some("a-2"));
    assert!(!b.membership.accepts(&a.id, "a-1"));
}

// Guards against a resource that stays unowned because its next owner appended a Take before
// it had read the Release, which made that Take void, and then held off.
#[test]
fn void_take_is_followed_by_a_valid_one() {
    let fleet = Fleet::start(&["a", "b", "c"], Timing::Short);
    fleet.wait_settled();
    let a = fleet.hosts[0].clone();
    assert!(fleet.resources.iter().any(|r| a.acts_on(r)));
    // the others learn that the host leaves before they have read its Release, which is in
    // the log before their Takes
    let others = &fleet.hosts[1..];
    for host in others {
        host.log.delay_reads(LEASE / 4);
    }
    a.ownership.release_all();
    a.membership.leave();
    let started = Instant::now();
    fleet.wait_all_acting(others);
    assert!(started.elapsed() < LEASE, "{:?} {:#?}", started.elapsed(), fleet.log.bodies("fleet"));
}
