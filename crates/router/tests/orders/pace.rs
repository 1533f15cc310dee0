use {
    crate::support::{
        carried_out, engines, fleet, owner, set_labels, set_order_settings, wait_until,
    },
    std::{collections::HashSet, time::Duration},
};

/// Time that an engine takes for a load.
const LOAD_TIME: Duration = Duration::from_millis(200);

/// Guards against owners on several hosts whose engines together load more at once than
/// `weight_loads` allows.
#[test]
fn concurrent_loads_are_limited_over_the_fleet() {
    let mut options = engines(6);
    options.iter_mut().for_each(|engine| engine.order_ms = LOAD_TIME.as_secs_f64() * 1e3);
    let fleet = fleet(3, options, |s| set_order_settings(s, 1, 0));
    set_labels(&fleet, |_| vec![("load.model", "m1")]);
    wait_until("all loads", Duration::from_secs(60), || {
        fleet.engines.iter().all(|engine| carried_out(&engine.orders()).len() == 1)
    });
    let owners: HashSet<usize> = (0..6).map(|i| owner(&fleet, &format!("engine-{i}"))).collect();
    assert!(owners.len() > 1, "one host owns all engines");
    let orders = fleet.engines.iter().flat_map(|engine| engine.orders());
    let mut starts: Vec<_> = orders.map(|order| order.at).collect();
    starts.sort();
    for pair in starts.windows(2) {
        assert!(pair[1] - pair[0] >= LOAD_TIME, "two loads {:?} apart", pair[1] - pair[0]);
    }
}
