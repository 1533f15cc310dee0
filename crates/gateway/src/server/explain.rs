use {
    super::gateway::Gateway,
    crate::{
        blocklist::PartKey,
        callers::{PromptPrefix, Protocol},
        config::Route,
        dispatch::{CandidateLimits, with_candidates},
        placement::{PlacementRequest, choose_endpoint},
    },
    serde_json::{Value, json},
    std::time::Instant,
};

/// A hypothetical request whose routing and placement are explained; it is not sent.
pub(super) struct ExplainRequest<'a> {
    pub(super) host_name: &'a str,
    pub(super) path: &'a str,
    /// Hash and length of the prompt's prefix, as in the `prefix` and `shared_tokens` fields of
    /// `request_placed` events in the log.
    pub(super) prefix: Option<PromptPrefix>,
    /// Shared parts of the prompt, as in the `parts` field of `send_failed` events.
    pub(super) parts: Vec<PartKey>,
}

/// Returns the route of a request and, for each service of the route, the endpoint that this
/// host would choose now.
pub(super) fn explain<P: Protocol>(gateway: &Gateway<P>, request: &ExplainRequest<'_>) -> Value {
    let Some(config) = gateway.config.current() else {
        return json!({ "refused": "not_ready", "status": 503 });
    };
    let Some(route) = config.find_route(request.host_name, request.path) else {
        return json!({ "refused": "no_route", "status": 404, "config_version": config.version });
    };
    let shares: Vec<Value> = route
        .shares
        .iter()
        .map(|share| {
            json!({
                "service": &*share.service,
                "weight": share.weight,
                "placement": explain_placement(gateway, &share.service, request.prefix),
            })
        })
        .collect();
    json!({
        "config_version": config.version,
        "route": route_json(route),
        "needs_key": config.requires_api_key() && !route.is_anonymous_allowed,
        "services": shares,
        "prompt_parts": request
            .parts
            .iter()
            .map(|part| gateway.blocklist.explain(*part))
            .collect::<Vec<_>>(),
    })
}

fn route_json(route: &Route) -> Value {
    json!({
        "name": &*route.name,
        "path_prefix": &*route.path_prefix,
        "kind": route.kind.to_string(),
        "timeout_ms": route.timeout_ms,
        "target_latency_ms": route.target_latency_ms,
        "max_attempts": route.max_attempts,
        "priority": route.priority,
        "may_rerun": route.may_rerun(),
    })
}

/// The endpoint that would be chosen for a request to the service.
fn explain_placement<P: Protocol>(
    gateway: &Gateway<P>,
    service: &str,
    prefix: Option<PromptPrefix>,
) -> Value {
    let now = Instant::now();
    let closed = gateway.directory.closed_time_of_service(service, now);
    let reopens_in = closed.map(|closed| closed.until.saturating_duration_since(now));
    with_candidates(gateway, service, prefix, &CandidateLimits::NONE, |candidates| {
        let request = PlacementRequest {
            prefix_hash: prefix.map(|prefix| prefix.hash),
            shared_tokens: prefix.map_or(0, |prefix| prefix.shared_tokens),
            tie_breaker: 0,
        };
        let list = &candidates.list;
        match choose_endpoint(&request, list) {
            Some(placement) => json!({
                "endpoint": list[placement.target].id,
                "holds_prefix": list[placement.target].holds_prefix,
                "prefix_source": placement.prefix_source.map(|index| list[index].id),
                "candidates": list.len(),
            }),
            None => json!({
                "refused": "no_capacity",
                "status": 503,
                "candidates": list.len(),
                "reopens_ms": reopens_in.map(|time| time.as_millis()),
            }),
        }
    })
}
