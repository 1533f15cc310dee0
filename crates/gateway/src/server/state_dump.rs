use {
    super::gateway::Gateway,
    crate::{
        callers::Protocol, clock::BootInstant, endpoints::Endpoint, peers::PublishedFeed,
        records::FeedKind,
    },
    serde_json::{Value, json},
    std::time::Instant,
};

/// State of the process as JSON for operators. Contains no API keys.
pub(super) fn state_dump<P: Protocol>(gateway: &Gateway<P>) -> Value {
    let now = BootInstant::now();
    let (settings, peers) = (&gateway.settings, &gateway.peers);
    let config = gateway.config.current();
    let feed = |kind| feed_json(&peers.published_feed(kind).borrow(), now);
    let endpoints: Vec<Value> =
        gateway.directory.all().iter().map(|endpoint| endpoint_json(gateway, endpoint)).collect();
    json!({
        "host": {
            "host": settings.host,
            "zone": settings.zone,
            "ready": gateway.is_ready(),
            "stopping": gateway.stop.is_stopping(),
            "caller_connections": gateway.connection_count(),
            "request_bytes": gateway.request_bytes.reserved_bytes(),
            "response_bytes": gateway.response_bytes.reserved_bytes(),
        },
        "config": {
            "version": gateway.config.version(),
            "routes": config.as_ref().map_or(0, |config| config.route_count()),
            "confirmation_age_ms": gateway.config.confirmation_age(now).map(|age| age.as_millis()),
            "keys_are_trusted": gateway.config.is_confirmed(now),
        },
        "feeds": { "config": feed(FeedKind::Config), "endpoints": feed(FeedKind::Endpoints) },
        "peers": {
            "relays": peers.is_relay(),
            "relay": peers.relay_host_id(),
            "hosts_known": peers.known_hosts(),
            "fleet_hosts": peers.fleet_hosts(),
            "hosts_sharing_limits": peers.hosts_sharing_limits(),
        },
        "evacuated_zones": gateway.evacuations.zones().iter().map(|zone| &**zone).collect::<Vec<_>>(),
        "overload_parts": gateway.overload_policy(),
        "stream_origins": gateway.origins.state(),
        "services": gateway.service_states(),
        "prompt_parts": gateway.blocklist.state(),
        "endpoints": endpoints,
    })
}

fn feed_json(feed: &PublishedFeed, now: BootInstant) -> Value {
    let comparison = feed.comparison().map(|comparison| {
        json!({ "agrees": comparison.agrees, "age_ms": comparison.at.elapsed().as_millis() })
    });
    json!({ "status": feed.status(now), "compared_with_relay": comparison })
}

fn endpoint_json<P>(gateway: &Gateway<P>, endpoint: &Endpoint) -> Value {
    let now = Instant::now();
    let record = endpoint.record.borrow();
    let (health, load) = (endpoint.health.get(), endpoint.load.get());
    let closed = gateway.directory.closed_time(&record, now);
    json!({
        "id": &*record.id,
        "service": &*record.service,
        "address": record.address.to_string(),
        "zone": &*record.zone,
        "software_version": &*record.software_version,
        "slots": record.slots,
        "leaving": endpoint.is_leaving(),
        "closed_ms": closed.map(|closed| closed.until.saturating_duration_since(now).as_millis()),
        "evacuated": gateway.evacuations.is_evacuated(&record.zone),
        "cold": endpoint.is_cold(now),
        "in_flight": endpoint.in_flight(),
        "requests_of_others": gateway.peers.requests_by_other_hosts(endpoint.hash),
        "waiting": load.waiting(now),
        "slowness": load.slowness(now),
        "latency_ms": health.latency_ms(now),
        "failure_share": endpoint.failure_share(now),
        "paused": health.is_paused(now),
        "idle_connections": endpoint.idle_connection_count(),
    })
}
