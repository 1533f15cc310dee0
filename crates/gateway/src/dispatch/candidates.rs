use {
    crate::{
        callers::PromptPrefix,
        endpoints::{Endpoint, EndpointId, EndpointRecord},
        placement::Candidate,
        server::Gateway,
    },
    std::{cell::Ref, rc::Rc, time::Instant},
};

/// Endpoints that a request has been sent to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptedEndpoints<'a> {
    pub(crate) tried: &'a [EndpointId],
    /// Those that refused the request.
    pub(crate) refused_by: &'a [EndpointId],
}

/// Endpoints of a service with what placement is to know of them; the lists have the
/// same order.
pub(crate) struct Candidates<'a> {
    pub(crate) endpoints: &'a [Rc<Endpoint>],
    pub(crate) records: &'a [Ref<'a, EndpointRecord>],
    pub(crate) list: Vec<Candidate<'a>>,
}

/// Gathers what is known of a service's endpoints now, and hands it to `choose`.
pub(crate) fn with_candidates<P, T>(
    gateway: &Gateway<P>,
    service: &str,
    prefix: Option<PromptPrefix>,
    asked: AttemptedEndpoints<'_>,
    choose: impl FnOnce(&Candidates<'_>) -> T,
) -> T {
    let now = Instant::now();
    let endpoints = gateway.directory.of_service(service);
    let records: Vec<_> = endpoints.iter().map(|endpoint| endpoint.record.borrow()).collect();
    let list = endpoints
        .iter()
        .zip(&records)
        .map(|(endpoint, record)| candidate(gateway, endpoint, record, prefix, asked, now))
        .collect();
    choose(&Candidates { endpoints: &endpoints, records: &records, list })
}

fn candidate<'a, P>(
    gateway: &Gateway<P>,
    endpoint: &Endpoint,
    record: &'a EndpointRecord,
    prefix: Option<PromptPrefix>,
    asked: AttemptedEndpoints<'_>,
    now: Instant,
) -> Candidate<'a> {
    let (health, load) = (endpoint.health.get(), endpoint.load.get());
    let others = gateway.peers.requests_by_other_hosts(endpoint.hash);
    Candidate {
        id: &record.id,
        requests: load.requests(endpoint.in_flight(), others, now),
        reported_requests: f64::from(others.unwrap_or(0)),
        waiting: load.waiting(now),
        slots: record.slots,
        slowness: load.slowness(now),
        latency_ms: health.latency_ms(now),
        failure_share: health.failure_share(now),
        is_paused: health.is_paused(now),
        is_excluded: asked.tried.contains(&record.id),
        has_refused: asked.refused_by.contains(&record.id),
        holds_prefix: prefix
            .is_some_and(|prefix| gateway.peers.endpoint_holds_prefix(prefix.hash, endpoint.hash)),
        is_leaving: endpoint.is_leaving(),
        is_recently_added: endpoint.is_recently_added(now),
        is_same_zone: *record.zone == *gateway.settings.zone,
    }
}
