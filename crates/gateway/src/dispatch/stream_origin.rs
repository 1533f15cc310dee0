//! At which software versions a request may run.

use {
    super::stream_progress::StreamProgress,
    crate::{
        callers::{AdmittedRequest, Refusal, with_jitter},
        config::RequestKind,
        server::Gateway,
        stream_origins::{AllowedVersions, OriginUnknown, TakeUp, VersionHash},
    },
    mango_wire::Reason,
    std::time::Duration,
};

/// Mean `Retry-After` time of a request whose stream began at an unknown software version.
const MEAN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Finds the software version of the stream that a request goes on with; `None` if it goes on with
/// none.
pub(super) async fn find_origin<P>(
    gateway: &Gateway<P>,
    request: &AdmittedRequest,
) -> Result<Option<VersionHash>, Refusal> {
    if !request.takes_up_stream() {
        return Ok(None);
    }
    let take_up = TakeUp {
        request_id: &request.caller.id,
        service: &request.service,
        stream: request.stream(),
        time_left: request.time_left(),
    };
    gateway.origins.find(&take_up).await.map(Some).map_err(|OriginUnknown| {
        Refusal::unavailable(Reason::StreamOriginUnknown, with_jitter(MEAN_RETRY_AFTER))
    })
}

/// The software versions at which the next send of a request may run. A stream goes on only at the
/// version that began it.
pub(super) fn allowed_versions<P>(
    gateway: &Gateway<P>,
    request: &AdmittedRequest,
    progress: &StreamProgress,
) -> AllowedVersions {
    let route = &request.route;
    match progress.origin {
        Some(origin) => AllowedVersions::Only(origin),
        None if route.kind == RequestKind::Streaming && route.is_resumable => {
            gateway.origins.versions_to_begin(&request.service)
        }
        None => AllowedVersions::Any,
    }
}
