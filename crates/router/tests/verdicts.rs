//! Verdicts that callers get when attempts fail.

use {
    mango_standins::ServiceOptions,
    mango_testkit::{Caller, FleetOptions, LocalFleet, SERVICE_POOL},
    mango_wire::config::WorkClass,
    std::time::Duration,
};

/// Guards against the verdict `not_run` for a request whose first attempt was executed and
/// whose retry found no endpoint: the caller would repeat work that has taken effect.
#[test]
fn failed_retry_after_an_execution_is_may_have_run() {
    let options = FleetOptions {
        routers: 1,
        services: vec![ServiceOptions { service_ms: 1, max_in_flight: 8 }],
        ..FleetOptions::default()
    };
    let fleet = LocalFleet::spawn(options).expect("fleet");
    let objects = fleet
        .objects(2.0)
        .team("gold", 1.0, 10)
        .work("lookup", true, WorkClass::Normal, 1, 1000)
        .route("lookup", SERVICE_POOL, Some("ledger"))
        .build();
    fleet.apply(&objects).expect("configuration");
    fleet.await_ready(Duration::from_secs(10)).expect("ready");
    fleet.services[0].fail_after_effect(1);
    let caller = Caller::default();
    let address = fleet.caller_addresses()[0];
    let reply = caller.service(address, ("gold", "lookup"), "/services/ledger/x", None, "{}");
    assert_eq!(fleet.services[0].executions().len(), 1);
    assert_eq!(reply.verdict.as_deref(), Some("may_have_run"), "{reply:?}");
}
