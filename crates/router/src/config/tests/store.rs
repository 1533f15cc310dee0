//! Tests the store against a log that fails, expires records and loses replies.

use {
    super::{
        decisions::{change, object},
        memory_log::MemoryLog,
    },
    crate::{
        config::{ConfigStore, PublishError, SnapshotSource},
        metrics::Metrics,
        platform::RecordLog,
    },
    mango_wire::{
        HostId,
        config::ConfigObject,
        peer::{ConfigReply, ConfigRequest},
        settings::PlatformSettings,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Snapshot source whose peers are other stores of the test.
#[derive(Clone, Default)]
pub(crate) struct StorePeers(pub(crate) Vec<Arc<ConfigStore<MemoryLog>>>);

impl SnapshotSource for StorePeers {
    fn hosts(&self) -> Vec<HostId> {
        (0..self.0.len()).map(|n| n.to_string()).collect()
    }

    fn request(
        &self,
        host: &HostId,
        request: ConfigRequest,
        _: Instant,
    ) -> Result<ConfigReply, String> {
        let index: usize = host.parse().map_err(|_| "unknown host".to_owned())?;
        Ok(self.0[index].handle_request(&request))
    }
}

fn settings(retention_ms: u64) -> PlatformSettings {
    let json = serde_json::json!({
        "log_url": "http://log", "host_list_url": "http://list", "weight_store_url": "http://store",
        "poll_ms": 20, "reconnect_max_ms": 40, "retention_ms": retention_ms,
    });
    serde_json::from_value(json).expect("settings")
}

pub(crate) fn store(log: &MemoryLog, peers: StorePeers) -> Arc<ConfigStore<MemoryLog>> {
    let settings = settings(86_400_000);
    ConfigStore::spawn(log.clone(), peers, || false, &settings, &Metrics::new()).expect("spawns")
}

fn team(id: &str, weight: f64) -> ConfigObject {
    object(&format!(r#"{{"team":{{"id":"{id}","weight":{weight}}}}}"#))
}

fn test_deadline() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let deadline = test_deadline();
    while !condition() {
        assert!(Instant::now() < deadline, "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// If two operators publish conflicting changes on two routers, one is accepted,
/// the other rejection names the accepted change, and both routers apply it.
#[test]
fn race_on_two_routers_has_one_winner() {
    let log = MemoryLog::default();
    let stores = [store(&log, StorePeers::default()), store(&log, StorePeers::default())];
    stores[0].publish(change("base", 0, vec![team("t", 1.0)]), test_deadline()).expect("accepted");
    let results: Vec<_> = thread::scope(|scope| {
        let publish = |n: usize| {
            let store = &stores[n];
            let change = change(&format!("race-{n}"), 1, vec![team("t", 2.0 + n as f64)]);
            scope.spawn(move || store.publish(change, test_deadline()))
        };
        let racers = [publish(0), publish(1)];
        racers.into_iter().map(|racer| racer.join().expect("no panic")).collect()
    });
    let winners: Vec<_> = results.iter().filter_map(|result| result.as_ref().ok()).collect();
    assert_eq!(winners.len(), 1, "{results:?}");
    let loser = results.iter().find_map(|result| result.as_ref().err()).expect("a loser");
    let PublishError::Rejected(rejection) = loser else { panic!("{loser}") };
    let preceding = rejection.preceded_by.as_ref().expect("the winner is named");
    assert_eq!(preceding.version, *winners[0]);
    for store in &stores {
        wait_for("the winner is in force", || store.current().version() == *winners[0]);
        store.stop();
    }
}

/// If the reply to an append is lost, the change must neither be reported as
/// failed nor be applied twice.
#[test]
fn lost_answer_is_recognised_by_the_change_id() {
    let log = MemoryLog::default();
    let store = store(&log, StorePeers::default());
    log.lose_answers(true);
    let version =
        store.publish(change("only", 0, vec![team("t", 1.0)]), test_deadline()).expect("accepted");
    assert_eq!((store.current().version(), log.bodies().len()), (version, 1));
    log.lose_answers(false);
    log.set_down(true);
    let result = store.publish(change("next", version, vec![team("t", 2.0)]), test_deadline());
    assert!(matches!(result, Err(PublishError::NotApplied(_))), "{result:?}");
    store.stop();
}

/// Without a snapshot the contents of the expired records are unknown, so a
/// starting router must not put a configuration into force.
#[test]
fn expired_log_without_snapshot_gives_no_configuration() {
    let log = MemoryLog::default();
    let first = store(&log, StorePeers::default());
    let v1 =
        first.publish(change("a", 0, vec![team("a", 1.0)]), test_deadline()).expect("accepted");
    let v2 =
        first.publish(change("b", v1, vec![team("b", 1.0)]), test_deadline()).expect("accepted");
    log.expire(v2);
    let late = store(&log, StorePeers::default());
    wait_for("the reason is shown", || {
        let trouble = late.status().trouble.unwrap_or_default();
        trouble.contains("no usable snapshot")
    });
    assert_eq!(late.current().version(), 0);
    let deadline = Instant::now() + Duration::from_millis(50);
    let result = late.publish(change("c", 0, vec![team("c", 1.0)]), deadline);
    assert!(matches!(result, Err(PublishError::NotReady(_))), "{result:?}");
    assert_eq!(first.current().version(), v2, "a running router keeps its configuration");
    first.stop();
    late.stop();
}

/// A router that starts after records expired must load the owner's snapshots,
/// and only the owner may write them.
#[test]
fn snapshots_of_the_owner_replace_expired_records() {
    let log = MemoryLog::default();
    let owns = Arc::new(AtomicBool::new(false));
    let spawn = |owns: Arc<AtomicBool>| {
        let owns_config = move || owns.load(Ordering::Acquire);
        let peers = StorePeers::default();
        ConfigStore::spawn(log.clone(), peers, owns_config, &settings(300), &Metrics::new())
            .expect("spawns")
    };
    let owner = spawn(owns.clone());
    let version =
        owner.publish(change("a", 0, vec![team("a", 1.0)]), test_deadline()).expect("accepted");
    let snapshots = || log.bodies().iter().filter(|body| body.contains("snapshot")).count();
    thread::sleep(Duration::from_millis(150));
    assert_eq!(snapshots(), 0, "a host wrote a snapshot without owning `config`");
    owns.store(true, Ordering::Release);
    wait_for("snapshots repeat", || snapshots() >= 2);
    assert!(owner.current().version() == version, "a snapshot changed the version");
    log.expire(version + 1);
    let late = spawn(Arc::default());
    wait_for("the late router has the configuration", || late.current().version() == version);
    let next = late
        .publish(change("b", version, vec![team("b", 1.0)]), test_deadline())
        .expect("accepted");
    wait_for("the owner has the next change", || owner.current().version() == next);
    owner.stop();
    late.stop();
}

/// During a log outage a starting router must adopt the configuration of its
/// peers, and follow the log once it is back.
#[test]
fn starting_router_takes_the_configuration_of_peers() {
    let log = MemoryLog::default();
    let stores = vec![store(&log, StorePeers::default()), store(&log, StorePeers::default())];
    let version =
        stores[0].publish(change("a", 0, vec![team("a", 1.0)]), test_deadline()).expect("accepted");
    wait_for("both routers have the configuration", || stores[1].current().version() == version);
    log.set_down(true);
    let late = store(&log, StorePeers(stores.clone()));
    wait_for("the configuration is taken from peers", || late.current().version() == version);
    log.set_down(false);
    let next = stores[1]
        .publish(change("b", version, vec![team("b", 1.0)]), test_deadline())
        .expect("accepted");
    wait_for("the late router follows the log", || late.current().version() == next);
    late.stop();
    stores.iter().for_each(|store| store.stop());
}

/// A change above the record size limit must be refused before it is appended.
#[test]
fn too_large_change_is_not_appended() {
    let log = MemoryLog::default();
    let store = store(&log, StorePeers::default());
    let teams = (0..40_000).map(|n| team(&format!("t{n}"), 1.0)).collect();
    let result = store.publish(change("a", 0, teams), test_deadline());
    let expected = match &result {
        Err(PublishError::TooLarge { .. }) => true,
        // keys of ids may collide, which is checked before the size
        Err(PublishError::Rejected(rejection)) => rejection.detail.contains("collides"),
        _ => false,
    };
    assert!(expected, "{result:?}");
    assert_eq!(log.bodies().len(), 0);
    let offset = log.append("config", "{", test_deadline()).expect("appended");
    wait_for("a malformed record is skipped", || store.next() > offset);
    store.stop();
}
