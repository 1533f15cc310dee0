use {
    super::{
        admission::{admit, with_jitter},
        admitted_request::AdmittedRequest,
        caller_request::CallerRequest,
        caller_sink::CallerSink,
        protocol::Protocol,
        refusal::Refusal,
        request_body::RequestBody,
    },
    crate::{
        blocklist::part_keys,
        clock::BootInstant,
        config::{CallerLimits, RequestKind},
        dispatch::run_request,
        http1::{BodyDecoder, BodyFraming, Connection, HeadError, RequestHead, read_into},
        server::Gateway,
        telemetry::{OptionalMillis, event},
    },
    mango_wire::Reason,
    std::{
        cell::Cell,
        io,
        pin::pin,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout},
};

/// TCP user timeout of callers' connections: the kernel closes a connection whose sent data
/// stays unacknowledged for this long.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time until the deadline of a request if the caller sets none.
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(60);
/// Mean `Retry-After` time while the memory for request bodies is used up.
const MEAN_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Mean `Retry-After` time of a request that this process cannot end before it stops: another host
/// can take it at once.
const MEAN_STOP_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Buffered bytes of pipelined requests at which the router stops reading from the connection
/// until the current request has its response.
const MAX_PIPELINED_BYTES: usize = 16_384;

/// Serves the requests on a caller's connection until it is closed.
pub(crate) async fn serve_caller<P: Protocol>(gateway: Rc<Gateway<P>>, stream: TcpStream) {
    let mut connection = match Connection::open_watched(stream, CALLER_USER_TIMEOUT) {
        Ok(connection) => connection,
        Err(error) => {
            event!("caller_socket_failed", "reason={:?}", error.to_string());
            return;
        }
    };
    let _connection_guard = gateway.count_connection();
    loop {
        let next = match receive_head(&gateway, &mut connection).await {
            Ok(Some(head)) => serve_request(&gateway, &mut connection, head).await,
            Ok(None) => NextAction::Close,
            Err(refusal) => {
                refuse_and_close::<P>(&mut connection, "", &refusal).await;
                NextAction::Close
            }
        };
        match next {
            NextAction::KeepAlive => {}
            NextAction::Close => break,
        }
    }
    connection.prepare_close();
}

/// What happens to the connection after a request.
enum NextAction {
    KeepAlive,
    Close,
}

/// Receives the head of the next request. `None` means that the connection is to be closed
/// without a response.
async fn receive_head<P: Protocol>(
    gateway: &Gateway<P>,
    connection: &mut Connection,
) -> Result<Option<RequestHead>, Refusal> {
    if connection.input.is_empty() && !wait_for_bytes(gateway, connection).await {
        return Ok(None);
    }
    let limits = gateway.caller_limits();
    let head_timeout = Duration::from_millis(limits.head_timeout_ms);
    match timeout(head_timeout, read_head(connection, &limits)).await {
        Ok(result) => result,
        Err(_) => Err(Refusal::client_error(408, Reason::SlowCaller)),
    }
}

/// Waits for the first bytes of a request. Returns false if the connection ends, the idle
/// timeout passes or idle connections are closed for a stop of the process.
async fn wait_for_bytes<P: Protocol>(gateway: &Gateway<P>, connection: &mut Connection) -> bool {
    let idle = Duration::from_millis(gateway.caller_limits().idle_timeout_ms);
    tokio::select! {
        biased;
        result = connection.read_more() => matches!(result, Ok(1..)),
        _ = tokio::time::sleep(idle) => false,
        _ = gateway.stop.wait_for_close_idle() => false,
    }
}

/// Reads until the head is complete. `None` means that the caller closed the connection.
async fn read_head(
    connection: &mut Connection,
    limits: &CallerLimits,
) -> Result<Option<RequestHead>, Refusal> {
    loop {
        match RequestHead::decode(&mut connection.input, limits.head_bytes) {
            Ok(Some(head)) => return Ok(Some(head)),
            Ok(None) => {}
            Err(HeadError::TooLarge) => {
                return Err(Refusal::client_error(431, Reason::HeadersTooLarge));
            }
            Err(_) => return Err(Refusal::client_error(400, Reason::BadHeader)),
        }
        match connection.read_more().await {
            Ok(1..) => {}
            Ok(0) | Err(_) => return Ok(None),
        }
    }
}

/// Refuses a request that was not completely read, and closes the connection. `method` is empty if it
/// was not read either.
async fn refuse_and_close<P: Protocol>(
    connection: &mut Connection,
    method: &str,
    refusal: &Refusal,
) {
    let mut sink =
        CallerSink::<P>::new(&mut connection.writer, &connection.watch, "", method, true);
    if sink.send_refusal(refusal).await.is_ok() {
        // closing a socket with unread bytes sends a reset, which may discard the response
        // before the caller has read it
        let _ = connection.writer.shutdown().await;
        let _ = timeout(Duration::from_millis(200), discard_input(connection)).await;
    }
}

/// Reads and discards bytes until the caller closes the connection.
async fn discard_input(connection: &mut Connection) {
    while let Ok(1..) = connection.read_more().await {
        connection.input.clear();
    }
}

/// Receives the body of a request and serves it.
async fn serve_request<P: Protocol>(
    gateway: &Rc<Gateway<P>>,
    connection: &mut Connection,
    head: RequestHead,
) -> NextAction {
    let received_at = BootInstant::now();
    let caller = match gateway.protocol.parse_caller_request(&head) {
        Ok(caller) => caller,
        Err(error) => {
            event!("request_refused", "status=400 header={}", error.header);
            let refusal = Refusal::client_error(400, Reason::BadHeader);
            refuse_and_close::<P>(connection, &head.method, &refusal).await;
            return NextAction::Close;
        }
    };
    let body_timeout = caller.time_left.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT);
    let body = match timeout(body_timeout, read_body(gateway, connection, &head)).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::ConnectionBroken)) => return NextAction::Close,
        Ok(Err(BodyError::Refused(refusal))) => {
            event!(
                "request_refused",
                "id={} status={} reason={}",
                caller.id,
                refusal.status,
                refusal.reason
            );
            refuse_and_close::<P>(connection, &head.method, &refusal).await;
            return NextAction::Close;
        }
        Err(_) => {
            let refusal = Refusal::client_error(408, Reason::SlowCaller);
            event!("request_refused", "id={} status=408 reason={}", caller.id, refusal.reason);
            refuse_and_close::<P>(connection, &head.method, &refusal).await;
            return NextAction::Close;
        }
    };
    let closes_connection = !head.keep_alive || gateway.stop.is_stopping();
    let method = head.method.clone();
    let request = match admit_request(gateway, head, body, caller, received_at) {
        Ok(request) => request,
        Err(refused) => {
            let RefusedRequest { caller, refusal } = *refused;
            let Connection { writer, watch, .. } = connection;
            let mut sink = CallerSink::new(writer, watch, &caller.id, &method, closes_connection);
            return refuse_request(gateway, &mut sink, &caller, &refusal).await;
        }
    };
    respond(gateway, connection, &request, closes_connection).await
}

/// Why a request body was not received.
enum BodyError {
    ConnectionBroken,
    Refused(Refusal),
}

impl From<io::Error> for BodyError {
    fn from(_: io::Error) -> BodyError {
        BodyError::ConnectionBroken
    }
}

/// Receives the request body. Refuses a malformed body or one beyond the size limit.
async fn read_body<P: Protocol>(
    gateway: &Gateway<P>,
    connection: &mut Connection,
    head: &RequestHead,
) -> Result<RequestBody, BodyError> {
    let max_bytes = gateway.caller_limits().body_bytes;
    let too_large = || BodyError::Refused(Refusal::client_error(413, Reason::BodyTooLarge));
    if matches!(head.framing, BodyFraming::Length(length) if length > max_bytes as u64) {
        return Err(too_large());
    }
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    let mut reservation = gateway.request_bytes.reserve();
    if !decoder.is_done() && head.headers.contains_token("expect", "100-continue") {
        connection.writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    loop {
        decoder
            .decode(&mut connection.input, &mut body)
            .map_err(|_| BodyError::Refused(Refusal::client_error(400, Reason::BadBody)))?;
        if body.len() > max_bytes {
            return Err(too_large());
        }
        if reservation.resize(body.capacity()).is_err() {
            let retry_after = with_jitter(MEAN_MEMORY_RETRY_AFTER);
            return Err(BodyError::Refused(Refusal::unavailable(Reason::NoCapacity, retry_after)));
        }
        if decoder.is_done() {
            return Ok(RequestBody::new(body, reservation));
        }
        if connection.read_more().await? == 0 {
            return Err(BodyError::ConnectionBroken);
        }
    }
}

/// A request that was not admitted, with its parsed headers, which are needed to log it.
struct RefusedRequest {
    caller: CallerRequest,
    refusal: Refusal,
}

/// Admits a received request and chooses its service.
fn admit_request<P: Protocol>(
    gateway: &Gateway<P>,
    head: RequestHead,
    body: RequestBody,
    caller: CallerRequest,
    received_at: BootInstant,
) -> Result<AdmittedRequest, Box<RefusedRequest>> {
    let refuses_unconfirmed = gateway.settings.bounds.refuses_unconfirmed_keys;
    let admission = match admit(&gateway.config, refuses_unconfirmed, &head, &caller) {
        Ok(admission) => admission,
        Err(refusal) => return Err(Box::new(RefusedRequest { caller, refusal })),
    };
    let route = admission.route;
    // a stream goes on at the service that began it
    let key = caller.first_request().unwrap_or(&caller.id);
    let Some(service) = route.choose_service(key).cloned() else {
        let refusal = Refusal::unavailable(Reason::NoCapacity, with_jitter(Duration::from_secs(1)));
        return Err(Box::new(RefusedRequest { caller, refusal }));
    };
    let time_left = caller.time_left.unwrap_or(DEFAULT_TIME_LEFT);
    let deadline = received_at + time_left.min(Duration::from_millis(route.timeout_ms));
    let slowest_run = gateway.permits.slowest_run(&service, &route.name);
    let left = deadline.saturating_duration_since(BootInstant::now());
    if !gateway.stop.may_finish(left, slowest_run, Instant::now()) {
        let refusal = Refusal::unavailable(Reason::Draining, with_jitter(MEAN_STOP_RETRY_AFTER));
        return Err(Box::new(RefusedRequest { caller, refusal }));
    }
    let part_keys = part_keys(&service, &caller.shared_parts);
    let team_priority = admission.team.as_ref().and_then(|team| team.priority);
    Ok(AdmittedRequest {
        head,
        body,
        caller,
        service,
        part_keys,
        priority: team_priority.unwrap_or(route.priority),
        team: admission.team.map(|team| team.name.clone()),
        route,
        received_at,
        deadline,
        config_version: admission.config_version,
        has_been_sent: Cell::new(false),
    })
}

/// Logs and counts a refused request and sends the refusal.
async fn refuse_request<P: Protocol>(
    gateway: &Gateway<P>,
    sink: &mut CallerSink<'_, P>,
    caller: &CallerRequest,
    refusal: &Refusal,
) -> NextAction {
    let age = gateway.config.confirmation_age(BootInstant::now());
    event!(
        "request_refused",
        "id={} status={} reason={} config_version={} config_age_ms={}",
        caller.id,
        refusal.status,
        refusal.reason,
        gateway.config.version(),
        OptionalMillis(age)
    );
    gateway.metrics.count_ended_request("unrouted", None, refusal.reason.into());
    match sink.send_refusal(refusal).await {
        Ok(()) if sink.is_connection_reusable() => NextAction::KeepAlive,
        _ => NextAction::Close,
    }
}

/// Runs a request and sends its response. If the caller disconnects meanwhile, the run is
/// cancelled unless the request is non-idempotent and an endpoint may have received it.
async fn respond<P: Protocol>(
    gateway: &Rc<Gateway<P>>,
    connection: &mut Connection,
    request: &AdmittedRequest,
    closes_connection: bool,
) -> NextAction {
    let id = &request.caller.id;
    let Connection { reader, writer, input, watch, .. } = connection;
    let method = &request.head.method;
    let mut sink = CallerSink::<P>::new(writer, watch, id, method, closes_connection);
    let (mut reads_input, mut is_watched) = (true, true);
    let is_reusable = {
        let mut run = pin!(run_request(gateway, request, &mut sink));
        loop {
            tokio::select! {
                biased;
                is_reusable = &mut run => break is_reusable,
                received = read_into(reader, input), if reads_input => {
                    if matches!(received, Ok(1..)) {
                        reads_input = input.len() < MAX_PIPELINED_BYTES;
                        continue;
                    }
                    reads_input = false;
                }
                _ = watch.lost(reader.as_ref()), if is_watched => {
                    (reads_input, is_watched) = (false, false);
                }
            }
            if request.route.kind == RequestKind::NonIdempotent && request.has_been_sent.get() {
                // a cancelled run would leave the outcome of the request unknown
                event!("caller_left", "id={id} call=continues");
                continue;
            }
            event!("caller_left", "id={id} elapsed_ms={}", request.elapsed().as_millis());
            let (kind, team) = (request.route.kind.into(), request.team.as_deref());
            gateway.metrics.count_ended_request(kind, team, "caller_left");
            return NextAction::Close;
        }
    };
    if is_reusable { NextAction::KeepAlive } else { NextAction::Close }
}
