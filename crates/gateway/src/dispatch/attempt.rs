use {
    super::{
        endpoint_call::EndpointCall,
        endpoint_request::EndpointRequest,
        event_splitter::EventSplitter,
        failure::{FailureCause, SendFailure},
        response_meta::ResponseMeta,
        stream_progress::StreamProgress,
    },
    crate::{
        callers::{AdmittedRequest, CallerSink, Protocol},
        config::RequestKind,
        endpoints::Endpoint,
        http1::ResponseHead,
        retry::SendOutcome,
        server::Gateway,
        telemetry::{ShownMs, event},
    },
    std::{net::SocketAddr, rc::Rc, time::Instant},
};

/// Longest answer that is held until it is whole, in bytes.
const MAX_WHOLE_BYTES: usize = 8 * 1024 * 1024;

/// How a send ended that needs nothing further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivered {
    Answered { status: u16 },
    CallerLost,
}

/// Where one send goes.
pub(super) struct Target<'a> {
    pub(super) endpoint: &'a Rc<Endpoint>,
    /// Endpoint that may hold the cache of the prompt's prefix.
    pub(super) prefix_source: Option<SocketAddr>,
}

/// Sends a request to an endpoint and passes its answer on.
pub(super) async fn attempt<P: Protocol>(
    gateway: &Gateway<P>,
    request: &AdmittedRequest,
    target: &Target<'_>,
    progress: &mut StreamProgress,
    sink: &mut CallerSink<'_, P>,
) -> Result<Delivered, SendFailure> {
    let endpoint = target.endpoint;
    let mut call = EndpointCall::open(gateway, endpoint, request).await?;
    let started_at = Instant::now();
    let (head, meta) = exchange(gateway, request, target, progress, &mut call)
        .await
        .map_err(|failure| explain_break(gateway, request, &call, failure))?;
    if let Some(load) = meta.load {
        let mut estimate = endpoint.load.get();
        estimate.record(load, endpoint.in_flight(), Instant::now());
        endpoint.load.set(estimate);
    }
    check_answer(&head, &meta, endpoint)?;
    let is_success = (200..300).contains(&head.status);
    if is_success && request.route.kind == RequestKind::Streaming {
        return pass_stream(gateway, request, call, &head, progress, sink).await;
    }
    let body = read_whole(&mut call).await?;
    call.finish();
    if request.route.kind != RequestKind::Streaming {
        endpoint
            .update_health(|health| health.record_response(started_at.elapsed(), Instant::now()));
    }
    if head.status >= 500 {
        let failure = SendFailure::new(SendOutcome::Failed, FailureCause::FailedStatus);
        return Err(SendFailure { answer: Some((head, body)), ..failure });
    }
    gateway.metrics.answered_after(request.route.kind.into(), request.elapsed().as_secs_f64());
    Ok(delivered(sink.send_whole(&head, &body).await, head.status))
}

async fn exchange<P: Protocol>(
    gateway: &Gateway<P>,
    request: &AdmittedRequest,
    target: &Target<'_>,
    progress: &StreamProgress,
    call: &mut EndpointCall,
) -> Result<(ResponseHead, ResponseMeta), SendFailure> {
    let mut head_bytes = Vec::with_capacity(1_024);
    let endpoint_id = target.endpoint.record.borrow().id.clone();
    let endpoint_request = EndpointRequest {
        head: &request.head,
        endpoint_id: &endpoint_id,
        team: request.team.as_deref(),
        time_left: request.time_left(),
        priority: request.route.has_prompt_prefix.then_some(request.priority),
        last_event_id: progress.last_event_id,
        prefix_source: target.prefix_source,
        body_bytes: request.body.len(),
    };
    gateway.protocol.write_endpoint_head(&endpoint_request, &mut head_bytes);
    call.send(&head_bytes, &request.body).await?;
    call.read_head(&gateway.protocol, &request.head.method, &request.caller.id).await
}

/// Tells a connection that the endpoint had forgotten from one that broke at work.
fn explain_break<P: Protocol>(
    gateway: &Gateway<P>,
    request: &AdmittedRequest,
    call: &EndpointCall,
    failure: SendFailure,
) -> SendFailure {
    let idle_time = match failure.cause {
        FailureCause::ConnectionBroken => call.idle_before_break(),
        _ => None,
    };
    let Some(idle_time) = idle_time else { return failure };
    let (id, now) = (&request.caller.id, Instant::now());
    let mut limit = gateway.idle_limit(&request.service);
    limit.record_broken_connection(idle_time, now);
    gateway.set_idle_limit(&request.service, limit);
    event!(
        "idle_connection_broken",
        "id={id} service={} idle_ms={} max_idle_ms={}",
        request.service,
        idle_time.as_millis(),
        ShownMs(limit.max_idle(false, now))
    );
    SendFailure { cause: FailureCause::IdleConnectionBroken, ..failure }
}

/// Only an answer that the endpoint vouches for may be passed on.
fn check_answer(
    head: &ResponseHead,
    meta: &ResponseMeta,
    endpoint: &Endpoint,
) -> Result<(), SendFailure> {
    if meta.is_misdirected {
        endpoint.set_leaving();
        return Err(SendFailure::new(SendOutcome::NotRun, FailureCause::Misdirected));
    }
    if meta.is_not_run {
        return Err(SendFailure::new(SendOutcome::NotRun, FailureCause::Refused));
    }
    if !meta.is_signed || meta.is_encoded || head.status < 200 {
        return Err(SendFailure::may_have_run(FailureCause::BadAnswer));
    }
    Ok(())
}

async fn read_whole(call: &mut EndpointCall) -> Result<Vec<u8>, SendFailure> {
    let mut body = Vec::new();
    while !call.read_body(&mut body).await? {
        if body.len() > MAX_WHOLE_BYTES {
            return Err(SendFailure::may_have_run(FailureCause::BadAnswer));
        }
    }
    Ok(body)
}

/// Passes whole events on as they arrive. The head waits for the first event, so
/// that an endpoint that fails before it can be replaced.
async fn pass_stream<P: Protocol>(
    gateway: &Gateway<P>,
    request: &AdmittedRequest,
    mut call: EndpointCall,
    head: &ResponseHead,
    progress: &mut StreamProgress,
    sink: &mut CallerSink<'_, P>,
) -> Result<Delivered, SendFailure> {
    let mut splitter = EventSplitter::default();
    loop {
        let is_whole = call.read_body(splitter.input()).await?;
        let events = splitter.take_whole(progress.last_event_id);
        if is_whole && splitter.has_partial_event() {
            return Err(SendFailure::may_have_run(FailureCause::Truncated));
        }
        if !progress.has_started && (is_whole || !events.bytes.is_empty()) {
            let elapsed = request.elapsed();
            gateway.metrics.answered_after(request.route.kind.into(), elapsed.as_secs_f64());
            progress.has_started = true;
            progress.last_event_id = events.last_id.or(progress.last_event_id);
            if sink.start_stream(head, &events.bytes).await.is_err() {
                return Ok(Delivered::CallerLost);
            }
        } else if !events.bytes.is_empty() {
            progress.last_event_id = events.last_id.or(progress.last_event_id);
            if sink.send_events(&events.bytes).await.is_err() {
                return Ok(Delivered::CallerLost);
            }
        }
        if is_whole {
            call.finish();
            return Ok(delivered(sink.end_stream().await, head.status));
        }
    }
}

fn delivered(written: std::io::Result<()>, status: u16) -> Delivered {
    match written {
        Ok(()) => Delivered::Answered { status },
        Err(_) => Delivered::CallerLost,
    }
}
