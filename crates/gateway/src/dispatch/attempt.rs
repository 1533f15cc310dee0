use {
    super::{
        answer_watch::AnswerWatch,
        endpoint_call::EndpointCall,
        endpoint_request::EndpointRequest,
        event_splitter::EventSplitter,
        failure::{FailureCause, SendFailure},
        held_response::HeldResponse,
        response_meta::ResponseMeta,
        stream_progress::StreamProgress,
    },
    crate::{
        callers::{AdmittedRequest, CallerSink, Protocol},
        config::RequestKind,
        endpoints::Endpoint,
        http1::{BodyFraming, ResponseHead},
        queueing::Permit,
        retry::SendOutcome,
        server::Gateway,
        stream_origins::{OpenStream, VersionHash},
        telemetry::{OptionalMillis, event},
    },
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Longest response body that is buffered until it is complete, in bytes.
const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;

/// Longest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Result of a send after which the request is finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// The endpoint's response was forwarded.
    Completed { status: u16 },
    /// The connection to the caller broke.
    CallerDisconnected,
}

/// The endpoint of one send.
pub(super) struct Target<'a, P: Protocol> {
    pub(super) watch: &'a AnswerWatch<'a, P>,
    pub(super) endpoint: &'a Rc<Endpoint>,
    /// Software version of the endpoint.
    pub(super) version: VersionHash,
    pub(super) permit: &'a Permit,
    /// Address of an endpoint that may hold the cache of the prompt's prefix.
    pub(super) prefix_source: Option<SocketAddr>,
    /// Whether an idle connection may carry the request.
    pub(super) may_reuse_connection: bool,
}

/// Sends a request to an endpoint and forwards the response to the caller.
pub(super) async fn attempt<P: Protocol>(
    gateway: &Gateway<P>,
    request: &AdmittedRequest,
    target: &Target<'_, P>,
    progress: &mut StreamProgress,
    sink: &mut CallerSink<'_, P>,
) -> Result<Delivery, SendFailure> {
    let endpoint = target.endpoint;
    progress.has_begun_send = false;
    let mut call =
        EndpointCall::open(gateway, endpoint, request, target.may_reuse_connection).await?;
    let started_at = Instant::now();
    let (head, meta) = exchange(gateway, request, target, progress, &mut call)
        .await
        .map_err(|failure| classify_failure(gateway, request, &call, failure))?;
    if let Some(idle_time) = call.idle_time() {
        let mut limit = gateway.idle_limit(&request.service);
        limit.record_working_connection(idle_time);
        gateway.set_idle_limit(&request.service, limit);
    }
    if let Some(load) = meta.load {
        let mut estimate = endpoint.load.get();
        estimate.record(load, endpoint.in_flight(), Instant::now());
        endpoint.load.set(estimate);
    }
    check_response(&head, &meta, endpoint)?;
    let is_success = (200..300).contains(&head.status);
    if is_success && request.route.kind == RequestKind::Streaming {
        return forward_stream(gateway, request, target, call, &head, progress, sink).await;
    }
    let body = read_full_body(&mut call, head.framing).await?;
    let response = HeldResponse { head, body, _reservation: call.finish() };
    if progress.has_started {
        // the caller has a part of a stream, to which this is no continuation
        return Err(SendFailure::new(SendOutcome::Failed, FailureCause::FailedStatus));
    }
    if request.route.kind != RequestKind::Streaming {
        endpoint
            .update_health(|health| health.record_response(started_at.elapsed(), Instant::now()));
    }
    if response.head.status >= 500 {
        let failure = SendFailure::new(SendOutcome::Failed, FailureCause::FailedStatus);
        return Err(SendFailure { response: Some(response), ..failure });
    }
    match is_success {
        true => target.watch.record_answer(),
        false => target.watch.stop(),
    }
    gateway.blocklist.record_response(&request.part_keys);
    record_response_start(gateway, request, target.permit);
    let written = sink.send_response(&response.head, &response.body).await;
    Ok(delivery_result(written, response.head.status))
}

/// Writes the request and reads the head of its response.
async fn exchange<P: Protocol>(
    gateway: &Gateway<P>,
    request: &AdmittedRequest,
    target: &Target<'_, P>,
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
    request.has_been_sent.set(true);
    call.send(gateway, request, &head_bytes).await?;
    call.read_head(gateway, &request.head.method, &request.caller.id).await
}

/// Changes the cause of a failure to `IdleConnectionBroken` if the connection broke as soon as
/// it was reused, and updates the idle limit of the service.
fn classify_failure<P: Protocol>(
    gateway: &Gateway<P>,
    request: &AdmittedRequest,
    call: &EndpointCall,
    failure: SendFailure,
) -> SendFailure {
    if failure.cause == FailureCause::ConnectionBroken {
        gateway.record_possible_restart(call.endpoint());
    }
    let idle_time = match failure.cause {
        FailureCause::ConnectionBroken => call.idle_time_before_early_break(),
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
        OptionalMillis(limit.max_idle(false, now))
    );
    SendFailure { cause: FailureCause::IdleConnectionBroken, ..failure }
}

/// Accepts only responses that are signed by the endpoint and not changed by an intermediary.
/// If another endpoint has the address now, the intended one is marked as leaving.
fn check_response(
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

/// Reads the complete body of a response that is not forwarded as a stream.
async fn read_full_body(
    call: &mut EndpointCall,
    framing: BodyFraming,
) -> Result<Vec<u8>, SendFailure> {
    let too_large = || SendFailure::may_have_run(FailureCause::TooLarge);
    if matches!(framing, BodyFraming::Length(length) if length > MAX_BUFFERED_BYTES as u64) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    loop {
        let is_complete = call.read_body(&mut body).await?;
        if body.len() > MAX_BUFFERED_BYTES {
            return Err(too_large());
        }
        call.reserve_buffer(body.capacity())?;
        if is_complete {
            return Ok(body);
        }
    }
}

/// Forwards complete events as they arrive. The head is sent with the first event, so that the
/// request can go to another endpoint if this one fails before that.
async fn forward_stream<P: Protocol>(
    gateway: &Gateway<P>,
    request: &AdmittedRequest,
    target: &Target<'_, P>,
    mut call: EndpointCall,
    head: &ResponseHead,
    progress: &mut StreamProgress,
    sink: &mut CallerSink<'_, P>,
) -> Result<Delivery, SendFailure> {
    let mut splitter = EventSplitter::default();
    loop {
        let is_complete = call.read_body(splitter.buffer()).await?;
        let events = splitter.take_complete(progress.last_event_id);
        // the events and their copy in a chunk are held until the caller has read them
        call.reserve_buffer(splitter.buffer().capacity() + 2 * events.bytes.capacity())?;
        if splitter.buffer().len() > MAX_EVENT_BYTES {
            return Err(SendFailure::may_have_run(FailureCause::TooLarge));
        }
        if is_complete && splitter.has_partial_event() {
            return Err(SendFailure::may_have_run(FailureCause::Truncated));
        }
        if !progress.has_begun_send && (is_complete || !events.bytes.is_empty()) {
            progress.has_begun_send = true;
            target.watch.record_answer();
            gateway.blocklist.record_response(&request.part_keys);
        }
        if !progress.has_started && (is_complete || !events.bytes.is_empty()) {
            record_response_start(gateway, request, target.permit);
            progress.has_started = true;
            let origin = *progress.origin.get_or_insert(target.version);
            progress.open_stream = open_stream(gateway, request, origin);
            progress.last_event_id = events.last_id.or(progress.last_event_id);
            if sink.start_stream(head, &events.bytes).await.is_err() {
                return Ok(Delivery::CallerDisconnected);
            }
        } else if !events.bytes.is_empty() {
            progress.last_event_id = events.last_id.or(progress.last_event_id);
            if sink.send_events(&events.bytes).await.is_err() {
                return Ok(Delivery::CallerDisconnected);
            }
        }
        if is_complete {
            call.finish();
            let delivery = delivery_result(sink.end_stream().await, head.status);
            if delivery != Delivery::CallerDisconnected
                && let Some(stream) = progress.open_stream.take()
            {
                stream.complete();
            }
            return Ok(delivery);
        }
    }
}

/// Records the software version of a stream that its caller may take up again.
fn open_stream<P>(
    gateway: &Gateway<P>,
    request: &AdmittedRequest,
    origin: VersionHash,
) -> Option<OpenStream> {
    let stream = request.stream().filter(|_| request.route.is_resumable)?;
    Some(gateway.origins.open(&request.service, stream, origin))
}

/// Records that a response, or the first event of a stream, is forwarded.
fn record_response_start<P: Protocol>(
    gateway: &Gateway<P>,
    request: &AdmittedRequest,
    permit: &Permit,
) {
    let route = &request.route;
    gateway.metrics.observe_latency(route.kind.into(), request.elapsed().as_secs_f64());
    permit.record_start(Duration::from_millis(route.target_latency_ms));
}

/// Converts the result of writing the end of a response to the caller.
fn delivery_result(written: std::io::Result<()>, status: u16) -> Delivery {
    match written {
        Ok(()) => Delivery::Completed { status },
        Err(_) => Delivery::CallerDisconnected,
    }
}
