use {
    crate::support::{engines, fleet, owner, set_labels, set_order_settings, wait_until},
    mango_testkit::LocalFleet,
    mango_wire::platform::{Order, OrderKind},
    std::time::{Duration, Instant},
};

/// When one router stops, the other two are the majority of the registered hosts that a
/// takeover needs.
const ROUTERS: usize = 3;
/// Longer than a takeover takes without the wait for the previous owner's orders.
const LONG_ORDER_MS: u32 = 5_000;
const WAIT: Duration = Duration::from_secs(30);

/// Highest fencing number of the role orders that the engine received.
fn highest_fencing(fleet: &LocalFleet) -> u64 {
    let orders = fleet.engines[0].orders();
    let roles = orders.iter().filter(|o| o.order.kind == OrderKind::SetRole);
    roles.map(|o| o.order.fencing).max().unwrap_or(0)
}

/// Sends an order straight to the engine, without the checks of a router, like a
/// previous owner that paused between its checks and the send.
fn post_order(fleet: &LocalFleet, fencing: u64, name: &str) -> u16 {
    let (order_id, name) = ("late".to_owned(), name.to_owned());
    let order = Order { order_id, fencing, kind: OrderKind::SetRole, name };
    ureq::post(format!("http://{}/v1/orders", fleet.engines[0].address()))
        .config()
        .http_status_as_error(false)
        .build()
        .content_type("application/json")
        .send(serde_json::to_string(&order).unwrap())
        .unwrap()
        .status()
        .as_u16()
}

/// Guards against a new owner that does not send the desired state again, and against a
/// late order of the previous owner that is carried out.
#[test]
fn a_new_owner_orders_again_and_the_old_one_is_refused() {
    let fleet = fleet(ROUTERS, engines(1), |s| set_order_settings(s, 4, 0));
    set_labels(&fleet, |_| vec![("role", "decode")]);
    wait_until("the first order", WAIT, || highest_fencing(&fleet) > 0);
    let old = highest_fencing(&fleet);
    fleet.routers[owner(&fleet, "engine-0")].stop();
    wait_until("the new owner's order", WAIT, || highest_fencing(&fleet) > old);
    assert_eq!(post_order(&fleet, old, "prefill"), 409);
    let last = fleet.engines[0].orders().pop().unwrap();
    assert!(last.order.order_id == "late" && !last.accepted);
}

/// Guards against a late order of the previous owner that undoes the new owner's order to
/// an engine without fencing, because the new owner did not wait long enough.
#[test]
fn an_engine_without_fencing_is_ordered_after_the_predecessors_deadlines() {
    let mut options = engines(1);
    options[0].checks_fencing = false;
    let fleet = fleet(ROUTERS, options, |s| {
        set_order_settings(s, 4, 0);
        s.orders.as_mut().unwrap().order_ms = LONG_ORDER_MS;
    });
    set_labels(&fleet, |_| vec![("role", "decode"), ("ignores-fencing", "yes")]);
    wait_until("the first order", WAIT, || highest_fencing(&fleet) > 0);
    let old = highest_fencing(&fleet);
    let stopped_at = Instant::now();
    fleet.routers[owner(&fleet, "engine-0")].stop();
    // a late order of the previous owner, within its deadline
    assert_eq!(post_order(&fleet, old, "prefill"), 200);
    wait_until("the new owner's order", WAIT, || highest_fencing(&fleet) > old);
    let last = fleet.engines[0].orders().pop().unwrap();
    assert_eq!(last.order.name, "decode");
    // the new owner waits 10% longer than the time-out of the previous owner's orders
    let wait = Duration::from_millis(u64::from(LONG_ORDER_MS) * 11 / 10);
    assert!(last.at - stopped_at > wait, "{:?}", last.at - stopped_at);
}
