use {
    super::{
        admission::{admit, with_jitter},
        admitted_request::AdmittedRequest,
        caller_request::CallerRequest,
        caller_sink::CallerSink,
        protocol::Protocol,
        refusal::Refusal,
    },
    crate::{
        clock::BootInstant,
        config::{CallerLimits, RequestKind},
        dispatch::run_request,
        http1::{BodyDecoder, Connection, HeadError, RequestHead, set_socket_options},
        server::Gateway,
        telemetry::{OptionalMillis, event},
    },
    mango_wire::Reason,
    std::{io, pin::pin, rc::Rc, time::Duration},
    tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout},
};

/// Unacknowledged bytes of an answer break a caller's connection after this time.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for a caller to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a caller waits if it does not say how long.
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(60);
/// Bytes of following requests that are received while one is being served.
const MAX_PIPELINED_BYTES: usize = 16_384;

/// Serves the requests of one connection until it ends.
pub(crate) async fn serve_caller<P: Protocol>(gateway: Rc<Gateway<P>>, stream: TcpStream) {
    if let Err(error) = set_socket_options(&stream, CALLER_USER_TIMEOUT) {
        event!("caller_socket_failed", "reason={:?}", error.to_string());
        return;
    }
    let _open = gateway.count_connection();
    let mut connection = Connection::new(stream);
    loop {
        let next = match next_head(&gateway, &mut connection).await {
            Ok(Some(head)) => serve_request(&gateway, &mut connection, head).await,
            Ok(None) => return,
            Err(refusal) => {
                refuse_unread::<P>(&mut connection, &refusal).await;
                return;
            }
        };
        match next {
            Next::KeepAlive => {}
            Next::Close => return,
        }
    }
}

enum Next {
    KeepAlive,
    Close,
}

/// Waits for a request head. None: the connection is over.
async fn next_head<P: Protocol>(
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

/// Returns whether the caller sent something before the connection ended, idled
/// too long or the process stops.
async fn wait_for_bytes<P: Protocol>(gateway: &Gateway<P>, connection: &mut Connection) -> bool {
    let idle = Duration::from_millis(gateway.caller_limits().idle_timeout_ms);
    tokio::select! {
        biased;
        result = connection.read_more() => matches!(result, Ok(1..)),
        _ = tokio::time::sleep(idle) => false,
        _ = gateway.stop.closes_idle() => false,
    }
}

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

/// Answers a request that was not read whole, and ends the connection.
async fn refuse_unread<P: Protocol>(connection: &mut Connection, refusal: &Refusal) {
    let mut sink = CallerSink::<P>::new(&mut connection.writer, "", "", true);
    if sink.send_refusal(refusal).await.is_ok() {
        // unread bytes would turn the close into a reset that destroys the answer
        let _ = connection.writer.shutdown().await;
        let _ = timeout(Duration::from_millis(200), drain(connection)).await;
    }
}

async fn drain(connection: &mut Connection) {
    while let Ok(1..) = connection.read_more().await {
        connection.input.clear();
    }
}

async fn serve_request<P: Protocol>(
    gateway: &Rc<Gateway<P>>,
    connection: &mut Connection,
    head: RequestHead,
) -> Next {
    let received_at = BootInstant::now();
    let caller = match gateway.protocol.parse_caller_request(&head) {
        Ok(caller) => caller,
        Err(error) => {
            event!("request_refused", "status=400 header={}", error.header);
            refuse_unread::<P>(connection, &Refusal::client_error(400, Reason::BadHeader)).await;
            return Next::Close;
        }
    };
    let body_time = caller.time_left.unwrap_or(BODY_TIMEOUT).min(BODY_TIMEOUT);
    let body = match timeout(body_time, read_body(gateway, connection, &head)).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::Connection)) => return Next::Close,
        Ok(Err(BodyError::Refused(refusal))) => {
            event!(
                "request_refused",
                "id={} status={} reason={}",
                caller.id,
                refusal.status,
                refusal.reason
            );
            refuse_unread::<P>(connection, &refusal).await;
            return Next::Close;
        }
        Err(_) => {
            let refusal = Refusal::client_error(408, Reason::SlowCaller);
            event!("request_refused", "id={} status=408 reason={}", caller.id, refusal.reason);
            refuse_unread::<P>(connection, &refusal).await;
            return Next::Close;
        }
    };
    let closes = !head.keep_alive || gateway.stop.is_stopping();
    let request = match admitted(gateway, head, body, caller, received_at) {
        Ok(request) => request,
        Err((caller, refusal)) => {
            return refuse(gateway, connection, &caller, &refusal, closes).await;
        }
    };
    answer(gateway, connection, &request, closes).await
}

enum BodyError {
    Connection,
    Refused(Refusal),
}

impl From<io::Error> for BodyError {
    fn from(_: io::Error) -> BodyError {
        BodyError::Connection
    }
}

async fn read_body<P: Protocol>(
    gateway: &Gateway<P>,
    connection: &mut Connection,
    head: &RequestHead,
) -> Result<Vec<u8>, BodyError> {
    let max_bytes = gateway.caller_limits().body_bytes;
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    if !decoder.is_done() && head.headers.contains_token("expect", "100-continue") {
        connection.writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    loop {
        decoder
            .decode(&mut connection.input, &mut body)
            .map_err(|_| BodyError::Refused(Refusal::client_error(400, Reason::BadBody)))?;
        if body.len() > max_bytes {
            return Err(BodyError::Refused(Refusal::client_error(413, Reason::BodyTooLarge)));
        }
        if decoder.is_done() {
            return Ok(body);
        }
        if connection.read_more().await? == 0 {
            return Err(BodyError::Connection);
        }
    }
}

fn admitted<P: Protocol>(
    gateway: &Gateway<P>,
    head: RequestHead,
    body: Vec<u8>,
    caller: CallerRequest,
    received_at: BootInstant,
) -> Result<AdmittedRequest, (CallerRequest, Refusal)> {
    let refuses_unconfirmed = gateway.settings.bounds.refuses_unconfirmed_keys;
    let admitted = match admit(&gateway.config, refuses_unconfirmed, &head, &caller) {
        Ok(admitted) => admitted,
        Err(refusal) => return Err((caller, refusal)),
    };
    let route = admitted.route;
    let Some(service) = route.choose_service().cloned() else {
        let refusal = Refusal::unavailable(Reason::NoCapacity, with_jitter(Duration::from_secs(1)));
        return Err((caller, refusal));
    };
    let time_left = caller.time_left.unwrap_or(DEFAULT_TIME_LEFT);
    let deadline = received_at + time_left.min(Duration::from_millis(route.timeout_ms));
    let team_priority = admitted.team.as_ref().and_then(|team| team.priority);
    Ok(AdmittedRequest {
        head,
        body,
        caller,
        service,
        priority: team_priority.unwrap_or(route.priority),
        team: admitted.team.map(|team| team.name.clone()),
        route,
        received_at,
        deadline,
        config_version: admitted.config_version,
    })
}

async fn refuse<P: Protocol>(
    gateway: &Gateway<P>,
    connection: &mut Connection,
    caller: &CallerRequest,
    refusal: &Refusal,
    closes: bool,
) -> Next {
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
    let mut sink = CallerSink::<P>::new(&mut connection.writer, &caller.id, "", closes);
    match sink.send_refusal(refusal).await {
        Ok(()) if sink.is_connection_reusable() => Next::KeepAlive,
        _ => Next::Close,
    }
}

/// Runs a request and watches whether its caller leaves meanwhile.
async fn answer<P: Protocol>(
    gateway: &Rc<Gateway<P>>,
    connection: &mut Connection,
    request: &AdmittedRequest,
    closes: bool,
) -> Next {
    let id = &request.caller.id;
    let Connection { reader, writer, input } = connection;
    let mut sink = CallerSink::<P>::new(writer, id, &request.head.method, closes);
    let mut is_watching = true;
    let is_kept = {
        let mut run = pin!(run_request(gateway, request, &mut sink));
        loop {
            tokio::select! {
                biased;
                is_kept = &mut run => break is_kept,
                received = crate::http1::read_into(reader, input), if is_watching => match received {
                    Ok(1..) => is_watching = input.len() < MAX_PIPELINED_BYTES,
                    Ok(0) | Err(_) if request.route.kind == RequestKind::NonIdempotent => {
                        // breaking the call off would leave its outcome unknown
                        event!("caller_left", "id={id} call=continues");
                        is_watching = false;
                    }
                    Ok(0) | Err(_) => {
                        event!("caller_left", "id={id} elapsed_ms={}", request.elapsed().as_millis());
                        let (kind, team) = (request.route.kind.into(), request.team.as_deref());
                        gateway.metrics.count_ended_request(kind, team, "caller_left");
                        return Next::Close;
                    }
                },
            }
        }
    };
    if is_kept { Next::KeepAlive } else { Next::Close }
}
