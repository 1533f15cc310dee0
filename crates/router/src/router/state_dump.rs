use {
    super::router_parts::RouterParts,
    serde_json::{Value, json},
};

/// Returns the state of this router as JSON for operators. It contains no secrets.
pub(crate) fn state_dump(parts: &RouterParts, identity: &str) -> Value {
    let config = parts.config.current();
    let hosts: Vec<Value> = parts
        .membership
        .live_hosts()
        .iter()
        .map(|h| {
            json!({
                "host_id": h.host_id, "identity": h.identity, "region": h.region,
                "zone": h.zone, "peer_address": h.peer_address.to_string(),
            })
        })
        .collect();
    let endpoints: Vec<Value> = config
        .endpoints()
        .map(|e| {
            let owner = parts.resources.with(e.key, |resource| parts.ownership.owner(resource));
            let load = parts.loads.load(e.key);
            json!({
                "id": e.id, "kind": e.kind, "address": e.address.to_string(), "zone": e.zone,
                "slots": e.slots, "weight": e.weight,
                "owner": owner.as_ref().map(|o| &o.host_id),
                "epoch": owner.as_ref().map(|o| o.epoch),
                "in_flight": load.as_ref().map(|l| l.in_flight),
                "queued": load.as_ref().map(|l| l.queued),
                "weight_permille": load.as_ref().map(|l| l.weight_permille),
            })
        })
        .collect();
    let owned: std::collections::BTreeMap<String, u64> = parts
        .ownership
        .owned_resources()
        .into_iter()
        .map(|(resource, epoch)| (resource.to_string(), epoch))
        .collect();
    let orders: serde_json::Map<String, Value> = config
        .endpoints()
        .filter_map(|e| parts.orders.engine_state(e.key).map(|state| (e.id.clone(), state)))
        .collect();
    json!({
        "host": {
            "host_id": parts.settings.host_id,
            "identity": identity,
            "region": parts.settings.region,
            "zone": parts.settings.zone,
            "ready": parts.is_ready(),
            "requests_in_progress": parts.in_flight.total(),
        },
        "config": parts.config.status(),
        "members": { "live": hosts, "registered": parts.membership.registered_count() },
        "ownership": {
            "mode": format!("{:?}", parts.ownership.mode()),
            "log_age_ms": parts.membership.log_age_ms(),
            "resources": owned,
        },
        "endpoints": endpoints,
        "owned_engines": parts.admission.engine_states(),
        "orders": orders,
        "decisions": parts.decisions.list(),
    })
}
