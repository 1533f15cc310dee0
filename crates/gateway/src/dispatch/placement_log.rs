use {
    super::{candidates::Candidates, stream_progress::StreamProgress},
    crate::{callers::AdmittedRequest, placement::Placement, telemetry::event},
};

/// Logs the endpoint that was chosen for a request, and what was known of it. `sends` is the number
/// of endpoints that were chosen for the request before.
pub(super) fn log_placement(
    request: &AdmittedRequest,
    progress: &StreamProgress,
    sends: usize,
    candidates: &Candidates<'_>,
    placement: &Placement,
) {
    let chosen = &candidates.list[placement.target];
    let source = placement.prefix_source.map(|index| candidates.list[index].id);
    let prefix = request.caller.prefix;
    event!(
        "request_placed",
        "id={} route={} kind={} endpoint={} version={} resumes={} after_event={} load={:.1} \
         reported={:.0} failures={:.2} slowness={:.2} waiting={} candidates={} prefix={:016x} \
         shared_tokens={} holds_prefix={} prefix_source={} config_version={} sends={sends} \
         time_left_ms={}",
        request.caller.id,
        request.route.name,
        request.route.kind,
        chosen.id,
        candidates.records[placement.target].software_version,
        request.caller.resumed_request.as_deref().unwrap_or("-"),
        progress.last_event_id.map_or_else(|| "-".to_owned(), |id| id.to_string()),
        chosen.requests,
        chosen.reported_requests,
        chosen.failure_share,
        chosen.slowness,
        chosen.waiting,
        candidates.list.len(),
        prefix.map_or(0, |prefix| prefix.hash),
        prefix.map_or(0, |prefix| prefix.shared_tokens),
        chosen.holds_prefix,
        source.unwrap_or("-"),
        request.config_version,
        request.time_left().as_millis()
    );
}
