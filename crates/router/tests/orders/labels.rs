use {
    crate::support::{
        TEAM, WORK, carried_out, engines, fleet, order_state, set_labels, set_order_settings,
        wait_until,
    },
    mango_standins::Outage,
    mango_testkit::{Caller, ChatTurn},
    mango_wire::platform::OrderKind,
    std::{thread, time::Duration},
};

const WAIT: Duration = Duration::from_secs(20);

/// Guards against a label change that leads to no order, to one for another engine or to
/// repeated ones, and against an order that unloads something when a label is removed.
#[test]
fn a_label_change_is_carried_out_once() {
    let fleet = fleet(2, engines(2), |s| set_order_settings(s, 4, 0));
    set_labels(&fleet, |i| match i {
        0 => vec![("load.model", "m1"), ("load.version", "v1"), ("role", "prefill")],
        _ => Vec::new(),
    });
    let engine = &fleet.engines[0];
    wait_until("three orders", WAIT, || carried_out(&engine.orders()).len() == 3);
    set_labels(&fleet, |i| if i == 0 { vec![("load.version", "v2")] } else { Vec::new() });
    wait_until("the new version", WAIT, || carried_out(&engine.orders()).len() == 4);
    // several times the interval at which the owner compares the labels with what is loaded
    thread::sleep(Duration::from_millis(500));
    let done = carried_out(&engine.orders());
    let expected = [
        (OrderKind::SetRole, "prefill"),
        (OrderKind::LoadModel, "m1"),
        (OrderKind::LoadVersion, "v1"),
        (OrderKind::LoadVersion, "v2"),
    ];
    assert_eq!(done, expected.map(|(kind, name)| (kind, name.to_owned())));
    assert!(fleet.engines[1].orders().is_empty());
    let state = order_state(&fleet, "engine-0");
    assert_eq!(state["desired"]["load_version"], "v2");
    let loaded: Vec<_> = state["loaded"].as_array().unwrap().iter().collect();
    assert!(loaded.contains(&&"m1".into()) && loaded.contains(&&"v2".into()), "{state}");
}

/// Guards against a restarted engine that does not get the models of its labels again.
#[test]
fn a_restarted_engine_is_loaded_again() {
    let fleet = fleet(1, engines(1), |s| set_order_settings(s, 4, 0));
    set_labels(&fleet, |_| vec![("load.model", "m1")]);
    let engine = &fleet.engines[0];
    wait_until("the load", WAIT, || carried_out(&engine.orders()).len() == 1);
    engine.restart();
    wait_until("the second load", WAIT, || {
        engine.orders().iter().any(|o| o.accepted && o.identity == engine.identity())
    });
}

/// Guards against an outage of the weight store that takes an engine out of service or
/// makes its owner send orders without pauses, and against a load that is not retried
/// after the outage.
#[test]
fn an_outage_of_the_weight_store_unloads_nothing() {
    let fleet = fleet(1, engines(1), |s| set_order_settings(s, 4, 0));
    let engine = &fleet.engines[0];
    engine.set_weight_store(fleet.platform.weight_store_url());
    set_labels(&fleet, |_| vec![("load.model", "m1")]);
    wait_until("the load", WAIT, || order_state(&fleet, "engine-0")["loaded"][0] == "m1");
    fleet.platform.set_weight_store_outage(Outage::Refuse);
    set_labels(&fleet, |_| vec![("load.model", "m1"), ("load.version", "v2")]);
    wait_until("a failed load", WAIT, || order_state(&fleet, "engine-0")["last_error"].is_string());
    thread::sleep(Duration::from_secs(3));
    let state = order_state(&fleet, "engine-0");
    assert_eq!(state["loaded"][0], "m1", "{state}");
    // pauses of at least 125, 250, 500, 1,000 and 2,000 ms lie between the tries
    let tries = engine.orders().len() - 1;
    assert!((2..=6).contains(&tries), "{tries} tries in 3 s");
    let reply = Caller::default()
        .chat(fleet.caller_addresses()[0], &ChatTurn::new(TEAM, WORK, "are you there", 2));
    assert!(reply.complete, "{reply:?}");
    fleet.platform.set_weight_store_outage(Outage::None);
    wait_until("the load after the outage", WAIT, || {
        let state = order_state(&fleet, "engine-0");
        state["loaded"].as_array().is_some_and(|loaded| loaded.len() == 2)
    });
    assert!(order_state(&fleet, "engine-0")["last_error"].is_null());
}
