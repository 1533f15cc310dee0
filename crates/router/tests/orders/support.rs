use {
    mango_standins::{EngineOptions, ReceivedOrder},
    mango_testkit::{ENGINE_POOL, FleetOptions, LocalFleet, fetch_state},
    mango_wire::{
        config::{ConfigObject, WorkClass},
        platform::OrderKind,
        settings::{OrderSettings, Settings},
    },
    serde_json::Value,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

pub(crate) const TEAM: &str = "dispatch";
pub(crate) const WORK: &str = "question";
const ORDER_MS: u32 = 1_000;

/// Options of engines `engine-0` and so on.
pub(crate) fn engines(count: usize) -> Vec<EngineOptions> {
    let options = |index| EngineOptions {
        name: format!("engine-{index}"),
        step_ms: 5.0,
        prefill_us_per_token: 10.0,
        ..EngineOptions::default()
    };
    (0..count).map(options).collect()
}

pub(crate) fn set_order_settings(settings: &mut Settings, weight_loads: u32, kv_move_chats: u32) {
    settings.orders = Some(OrderSettings { weight_loads, order_ms: ORDER_MS, kv_move_chats });
}

/// A ready fleet whose engines have no labels for orders.
pub(crate) fn fleet(
    routers: usize,
    engines: Vec<EngineOptions>,
    adjust: fn(&mut Settings),
) -> LocalFleet {
    let options = FleetOptions { routers, zones: 2, engines, services: Vec::new(), adjust };
    let fleet = LocalFleet::spawn(options).unwrap();
    set_labels(&fleet, |_| Vec::new());
    fleet.await_ready(Duration::from_secs(20)).unwrap();
    fleet
}

/// Applies a configuration in which each engine has the labels that `labels` returns for
/// its index.
pub(crate) fn set_labels(
    fleet: &LocalFleet,
    labels: impl Fn(usize) -> Vec<(&'static str, &'static str)>,
) {
    let mut objects = fleet
        .objects(1.25)
        .team(TEAM, 1.0, 64)
        .work(WORK, true, WorkClass::Normal, 16, 10_000)
        .route(WORK, ENGINE_POOL, None)
        .build();
    let endpoints = objects.iter_mut().filter_map(|object| match object {
        ConfigObject::Endpoint(endpoint) => Some(endpoint),
        _ => None,
    });
    for (index, endpoint) in endpoints.enumerate() {
        // the label `ignores-fencing` clears `checks_fencing`; routers ignore the label
        for (key, value) in labels(index) {
            endpoint.checks_fencing &= key != "ignores-fencing";
            endpoint.labels.insert(key.to_owned(), value.to_owned());
        }
    }
    fleet.apply(&objects).unwrap();
}

/// Waits until `is_done` holds.
pub(crate) fn wait_until(what: &str, wait: Duration, mut is_done: impl FnMut() -> bool) {
    let deadline = Instant::now() + wait;
    while !is_done() {
        assert!(Instant::now() < deadline, "{what} not seen within {wait:?}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Orders that an engine carried out, as kind and name.
pub(crate) fn carried_out(orders: &[ReceivedOrder]) -> Vec<(OrderKind, String)> {
    let done = orders.iter().filter(|received| received.accepted);
    done.map(|received| (received.order.kind, received.order.name.clone())).collect()
}

/// State of an engine's orders at its owner; null if no router reports it.
pub(crate) fn order_state(fleet: &LocalFleet, engine: &str) -> Value {
    let states = fleet.routers.iter().filter_map(|r| fetch_state(r.operator_address()).ok());
    states.map(|s| s["orders"][engine].clone()).find(|s| !s.is_null()).unwrap_or_default()
}

/// Index of the router that owns an engine.
pub(crate) fn owner(fleet: &LocalFleet, engine: &str) -> usize {
    let state = fetch_state(fleet.routers[0].operator_address()).unwrap();
    let endpoints = state["endpoints"].as_array().unwrap();
    let endpoint = endpoints.iter().find(|e| e["id"] == engine).unwrap();
    let owner = endpoint["owner"].as_str().unwrap();
    owner.strip_prefix("host-").unwrap().parse().unwrap()
}
