use {
    crate::{
        callers::{PromptPrefix, Protocol},
        endpoints::{ColdLimit, Endpoint, EndpointId, EndpointRecord},
        placement::Candidate,
        server::Gateway,
        stream_origins::AllowedVersions,
    },
    std::{
        cell::Ref,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// What limits the endpoints of one request.
#[derive(Clone, Debug)]
pub(crate) struct CandidateLimits<'a> {
    /// Endpoints that were chosen for it, including those to which no connection could be opened.
    pub(crate) tried: &'a [EndpointId],
    /// Endpoints that reported that they did not run it.
    pub(crate) refused_by: &'a [EndpointId],
    pub(crate) versions: AllowedVersions,
}

impl CandidateLimits<'_> {
    /// The limits of a request that was not sent yet and may run at any software version.
    pub(crate) const NONE: CandidateLimits<'static> =
        CandidateLimits { tried: &[], refused_by: &[], versions: AllowedVersions::Any };
}

/// Endpoints of a service with their records and placement candidates, all in the same order.
pub(crate) struct Candidates<'a> {
    pub(crate) endpoints: &'a [Rc<Endpoint>],
    pub(crate) records: &'a [Ref<'a, EndpointRecord>],
    pub(crate) list: Vec<Candidate<'a>>,
}

/// Calls `choose` with the current candidates of a service.
pub(crate) fn with_candidates<P: Protocol, T>(
    gateway: &Gateway<P>,
    service: &str,
    prefix: Option<PromptPrefix>,
    limits: &CandidateLimits<'_>,
    choose: impl FnOnce(&Candidates<'_>) -> T,
) -> T {
    let now = Instant::now();
    let endpoints = gateway.directory.of_service(service);
    let context = CandidateContext {
        prefix,
        limits,
        cold_limit: gateway.cold_limit(service),
        cold_start: gateway.cold_start(service),
        now,
    };
    let records: Vec<_> = endpoints.iter().map(|endpoint| endpoint.record.borrow()).collect();
    let list = endpoints
        .iter()
        .zip(&records)
        .map(|(endpoint, record)| candidate(gateway, endpoint, record, &context))
        .collect();
    choose(&Candidates { endpoints: &endpoints, records: &records, list })
}

/// What is the same for all candidates of a request.
struct CandidateContext<'a> {
    prefix: Option<PromptPrefix>,
    limits: &'a CandidateLimits<'a>,
    cold_limit: ColdLimit,
    cold_start: Duration,
    now: Instant,
}

/// Whether this host sends no requests to an endpoint now.
fn is_closed<P: Protocol>(
    gateway: &Gateway<P>,
    endpoint: &Endpoint,
    record: &EndpointRecord,
    context: &CandidateContext<'_>,
) -> bool {
    let now = context.now;
    if endpoint.is_leaving()
        || !context.limits.versions.contains(&record.software_version)
        || gateway.directory.closed_time(record, now).is_some()
        || gateway.evacuations.is_evacuated(&record.zone)
    {
        return true;
    }
    // endpoints of a zone that was evacuated may be cold again before their records tell so
    if let Some(ended_at) = gateway.evacuations.ended_at(&record.zone) {
        let rest = (ended_at + context.cold_start).saturating_duration_since(now);
        endpoint.record_cold(rest, now);
    }
    !endpoint.may_send(&context.cold_limit, now)
}

fn candidate<'a, P: Protocol>(
    gateway: &Gateway<P>,
    endpoint: &Endpoint,
    record: &'a EndpointRecord,
    context: &CandidateContext<'_>,
) -> Candidate<'a> {
    let CandidateContext { prefix, limits, now, .. } = *context;
    let (health, load) = (endpoint.health.get(), endpoint.load.get());
    let peer_requests = gateway.peers.requests_by_other_hosts(endpoint.hash);
    Candidate {
        id: &record.id,
        requests: load.requests(endpoint.in_flight(), peer_requests, now),
        reported_requests: f64::from(peer_requests.unwrap_or(0)),
        waiting: load.waiting(now),
        slots: record.slots,
        slowness: load.slowness(now),
        latency_ms: health.latency_ms(now),
        failure_share: endpoint.failure_share(now),
        is_paused: health.is_paused(now),
        was_tried: limits.tried.contains(&record.id),
        has_refused: limits.refused_by.contains(&record.id),
        holds_prefix: prefix
            .is_some_and(|prefix| gateway.peers.endpoint_holds_prefix(prefix.hash, endpoint.hash)),
        is_closed: is_closed(gateway, endpoint, record, context),
        is_recently_added: endpoint.is_recently_added(now),
        has_idle_connection: endpoint.idle_connection_count() > 0,
        is_same_zone: *record.zone == *gateway.settings.zone,
    }
}
