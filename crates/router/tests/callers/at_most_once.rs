use {
    crate::support::{BOOKING_WORK, TEAM, fleet},
    mango_testkit::{Caller, LocalFleet, ServiceReply},
    std::{thread, time::Duration},
    uuid::Uuid,
};

fn book(fleet: &LocalFleet, router: usize, key: &str, body: &str) -> ServiceReply {
    let address = fleet.routers[router].caller_address();
    let path = "/services/bookings/visits";
    Caller::default().service(address, (TEAM, BOOKING_WORK), path, Some(key), body)
}

/// Number of executions of the booking with this key. If the service got a port that the
/// fleet of another test has freed, requests of that fleet may reach it too; these have
/// other keys or none.
fn execution_count(fleet: &LocalFleet, key: &str) -> usize {
    let executions = fleet.services[0].executions();
    executions.iter().filter(|e| e.idempotency_key.as_deref() == Some(key)).count()
}

/// Guards against a second booking when a caller repeats the request through another
/// router.
#[test]
fn repeat_through_another_router_gets_the_first_answer() {
    let fleet = fleet(|_| {});
    let key = Uuid::now_v7().to_string();
    let first = book(&fleet, 0, &key, "{\"visit\":1}");
    let again = book(&fleet, 1, &key, "{\"visit\":1}");
    assert_eq!((first.status, again.status), (200, 200), "{first:?} {again:?}");
    assert_eq!(first.body, again.body);
    let other = book(&fleet, 1, &key, "{\"visit\":2}");
    assert_eq!((other.status, other.reason.as_deref()), (422, Some("key_reused")));
    assert_eq!(execution_count(&fleet, &key), 1);
}

/// Guards against a second execution while the first one is in progress.
#[test]
fn repeats_at_the_same_time_run_once() {
    let fleet = fleet(|_| {});
    fleet.services[0].set_service_time(Duration::from_millis(300));
    let key = Uuid::now_v7().to_string();
    let replies: Vec<ServiceReply> = thread::scope(|scope| {
        let calls: Vec<_> = (0..4)
            .map(|i| {
                scope.spawn({
                    let (f, k) = (&fleet, &key);
                    move || book(f, i % 2, k, "{}")
                })
            })
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    assert!(replies.iter().all(|r| r.status == 200 && r.body == replies[0].body), "{replies:?}");
    assert_eq!(execution_count(&fleet, &key), 1);
}

/// Guards against a second execution of work that took effect but whose answer was lost.
#[test]
fn lost_answer_is_reported_as_may_have_run() {
    let fleet = fleet(|_| {});
    fleet.services[0].fail_after_effect(1);
    let key = Uuid::now_v7().to_string();
    let first = book(&fleet, 0, &key, "{}");
    assert_eq!(first.verdict.as_deref(), Some("may_have_run"), "{first:?}");
    let again = book(&fleet, 1, &key, "{}");
    assert_eq!(again.verdict.as_deref(), Some("may_have_run"), "{again:?}");
    assert_eq!(execution_count(&fleet, &key), 1);
}

/// Guards against idempotency keys that stay in use after a request that was not sent to
/// any service.
#[test]
fn key_can_be_used_again_when_nothing_ran() {
    let fleet = fleet(|settings| {
        settings.dispatch = Some(serde_json::from_str(r#"{"connect_ms":200}"#).unwrap());
    });
    fleet.services[0].crash();
    let key = Uuid::now_v7().to_string();
    let address = fleet.routers[0].caller_address();
    let first = book(&fleet, 0, &key, "{}");
    assert_eq!(first.verdict.as_deref(), Some("not_run"), "{first:?} at {address}");
    fleet.services[0].restart();
    let again = book(&fleet, 1, &key, "{}");
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(execution_count(&fleet, &key), 1);
}
