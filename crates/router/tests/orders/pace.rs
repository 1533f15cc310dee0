use {
    crate::support::{carried_out, engines, fleet, label, owner, wait_until, with_orders},
    std::{collections::HashSet, time::Duration},
};

const LOAD: Duration = Duration::from_millis(200);

/// Guards against owners on several hosts that together load more at once than the
/// weight store allows.
#[test]
fn loads_keep_the_pace_over_the_fleet() {
    let mut options = engines(6);
    options.iter_mut().for_each(|engine| engine.order_ms = LOAD.as_secs_f64() * 1e3);
    let fleet = fleet(3, options, |s| with_orders(s, 1, 0));
    label(&fleet, |_| vec![("load.model", "m1")]);
    wait_until("all loads", Duration::from_secs(60), || {
        fleet.engines.iter().all(|engine| carried_out(&engine.orders()).len() == 1)
    });
    let owners: HashSet<usize> = (0..6).map(|i| owner(&fleet, &format!("engine-{i}"))).collect();
    assert!(owners.len() > 1, "one host owns all engines");
    let orders = fleet.engines.iter().flat_map(|engine| engine.orders());
    let mut starts: Vec<_> = orders.map(|order| order.at).collect();
    starts.sort();
    for pair in starts.windows(2) {
        assert!(pair[1] - pair[0] >= LOAD, "two loads {:?} apart", pair[1] - pair[0]);
    }
}
