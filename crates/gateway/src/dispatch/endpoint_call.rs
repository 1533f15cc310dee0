use {
    super::{
        failure::{FailureCause, SendFailure},
        response_meta::ResponseMeta,
    },
    crate::{
        callers::{AdmittedRequest, Protocol},
        endpoints::{Endpoint, IdleConnection, InFlightGuard},
        http1::{BodyDecoder, Connection, HeadError, ResponseHead, connect, read_into},
        memory::Reservation,
        retry::SendOutcome,
        server::Gateway,
    },
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::io::AsyncWriteExt,
};

/// Time limit for opening a connection, after which another endpoint is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an idle connection is kept if the endpoint does not report a keep-alive time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(3_000);
/// An idle connection is closed this much earlier than the endpoint would close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(600);
/// A reused connection that breaks within this time had been dropped by the endpoint while it
/// was idle: the reset arrives after about one round trip.
const EARLY_BREAK_TIME: Duration = Duration::from_millis(60);
/// Most responses to earlier requests that are skipped before the expected one.
const MAX_STALE_RESPONSES: u32 = 3;
/// Longest body of a stale response that is skipped, in bytes.
const MAX_STALE_BYTES: usize = 262_144;
/// Most interim responses (1xx) that are skipped before the final one.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// One request on a connection to an endpoint. Dropping it before `finish` resets the
/// connection, which makes the endpoint cancel the request, also while it still reads the body.
pub(super) struct EndpointCall {
    endpoint: Rc<Endpoint>,
    connection: Connection,
    /// Decoder of the response body; `None` until the head was read.
    decoder: Option<BodyDecoder>,
    is_reusable: bool,
    /// How long the endpoint keeps the connection open while it is idle.
    keep_alive: Duration,
    /// How long the connection was idle before this request; `None` if it is new.
    idle_time: Option<Duration>,
    /// When the connection was opened or reused.
    opened_at: Instant,
    /// Memory of the received bytes that are not forwarded yet.
    reservation: Reservation,
    _in_flight: InFlightGuard,
}

impl EndpointCall {
    /// Reuses an idle connection within the idle limit of the service if `may_reuse`, or opens a
    /// new one.
    pub(super) async fn open<P: Protocol>(
        gateway: &Gateway<P>,
        endpoint: &Rc<Endpoint>,
        request: &AdmittedRequest,
        may_reuse: bool,
    ) -> Result<EndpointCall, SendFailure> {
        let in_flight = endpoint.start_request();
        gateway.peers.rising_loads.record(endpoint.hash);
        let now = Instant::now();
        let max_idle = match may_reuse {
            true => gateway.idle_limit(&request.service).max_idle(request.route.may_rerun(), now),
            false => Some(Duration::ZERO),
        };
        let (mut connection, idle_time) = match endpoint.take_idle_connection(max_idle, now) {
            Some(idle) => {
                let idle_time = idle.idle_time(now);
                (idle.connection, Some(idle_time))
            }
            None => {
                let address = endpoint.record.borrow().address;
                gateway.metrics.new_endpoint_connections.inc();
                let connected = connect(address, CONNECT_TIMEOUT).await.map_err(|_| {
                    endpoint.update_health(|health| health.record_connect_failure(Instant::now()));
                    gateway.record_possible_restart(endpoint);
                    SendFailure::new(SendOutcome::NotSent, FailureCause::ConnectFailed)
                });
                (connected?, None)
            }
        };
        connection.resets_on_drop = true;
        Ok(EndpointCall {
            endpoint: endpoint.clone(),
            connection,
            decoder: None,
            is_reusable: true,
            keep_alive: DEFAULT_KEEP_ALIVE,
            idle_time,
            opened_at: Instant::now(),
            reservation: gateway.response_bytes.reserve(),
            _in_flight: in_flight,
        })
    }

    /// Sends the request. An endpoint may respond before it has read a long body; the rest of
    /// the body is then not sent. A late response to an earlier request does not end the sending. In
    /// both cases the connection is not reused.
    pub(super) async fn send<P: Protocol>(
        &mut self,
        gateway: &Gateway<P>,
        request: &AdmittedRequest,
        head: &[u8],
    ) -> Result<(), SendFailure> {
        let broken = || SendFailure::may_have_run(FailureCause::ConnectionBroken);
        for part in [head, &request.body] {
            let mut rest = part;
            while !rest.is_empty() {
                let Connection { reader, writer, input, watch, .. } = &mut self.connection;
                watch.record_send();
                tokio::select! {
                    biased;
                    sent = writer.write(rest) => match sent {
                        Ok(sent @ 1..) => rest = &rest[sent..],
                        Ok(0) | Err(_) => return Err(broken()),
                    },
                    received = read_into(reader, input) => {
                        self.is_reusable = false;
                        if received.map_err(|_| broken())? == 0 {
                            return Err(broken());
                        }
                        self.reservation.resize(self.connection.input.capacity())?;
                        if self.has_own_response(gateway, request) {
                            return Ok(());
                        }
                    }
                    _ = watch.lost(reader.as_ref()) => return Err(broken()),
                }
            }
        }
        Ok(())
    }

    /// Whether the received bytes begin the response to this request, or are no response. Late
    /// responses before it are passed over.
    fn has_own_response<P: Protocol>(
        &self,
        gateway: &Gateway<P>,
        request: &AdmittedRequest,
    ) -> bool {
        let mut input = self.connection.input.clone();
        loop {
            let head = match ResponseHead::decode(&mut input, &request.head.method) {
                Ok(Some(head)) => head,
                Ok(None) => return false,
                Err(_) => return true,
            };
            let meta = gateway.protocol.parse_response_meta(&head);
            if self.is_for_request(&meta, &request.caller.id) {
                return true;
            }
            let mut decoder = BodyDecoder::new(head.framing);
            if decoder.decode(&mut input, &mut Vec::new()).is_err() {
                return true;
            }
            if !decoder.is_done() {
                return false;
            }
        }
    }

    /// Whether a response belongs to the request with this ID. A refusal may lack the ID; every other
    /// response must have it. On a connection that had earlier requests, a refusal may be one of theirs
    /// that is sent again.
    fn is_for_request(&self, meta: &ResponseMeta, request_id: &str) -> bool {
        match &meta.request_id {
            Some(id) => **id == *request_id,
            None => meta.is_not_run && self.idle_time.is_none(),
        }
    }

    pub(super) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// How long the connection was idle before this request; `None` if it is new.
    pub(super) fn idle_time(&self) -> Option<Duration> {
        self.idle_time
    }

    /// How long a broken connection was idle before this request, if it broke as soon as it was
    /// reused.
    pub(super) fn idle_time_before_early_break(&self) -> Option<Duration> {
        let is_early = self.opened_at.elapsed() <= EARLY_BREAK_TIME;
        self.idle_time.filter(|_| is_early && self.connection.input.is_empty())
    }

    /// Reads the head of the response to this request and skips stale responses before it.
    pub(super) async fn read_head<P: Protocol>(
        &mut self,
        gateway: &Gateway<P>,
        method: &str,
        request_id: &str,
    ) -> Result<(ResponseHead, ResponseMeta), SendFailure> {
        for _ in 0..=MAX_STALE_RESPONSES {
            let head = self.read_next_head(method).await?;
            let meta = gateway.protocol.parse_response_meta(&head);
            // also in a late response to another request, and in a refusal by whoever has the
            // address now
            if meta.is_leaving
                && let Some(departure) = gateway.directory.record_departure(&self.endpoint)
            {
                gateway.metrics.announced_departures.inc();
                gateway.peers.report_departure(departure);
            }
            if head.status == 503
                && let Some(time) = meta.retry_after
            {
                gateway.directory.close_for(&self.endpoint, time, Instant::now());
                gateway.metrics.closed_endpoints.inc();
            }
            if self.is_for_request(&meta, request_id) {
                self.is_reusable &= head.keep_alive;
                if let Some(keep_alive) = meta.keep_alive {
                    self.keep_alive = keep_alive;
                }
                self.decoder = Some(BodyDecoder::new(head.framing));
                return Ok((head, meta));
            }
            self.skip_stale_response(&head, &meta).await?;
        }
        Err(SendFailure::may_have_run(FailureCause::BadAnswer))
    }

    /// Reads the head of the next response on the connection.
    async fn read_next_head(&mut self, method: &str) -> Result<ResponseHead, SendFailure> {
        let mut interim_responses = 0;
        loop {
            match ResponseHead::decode_any(&mut self.connection.input, method) {
                Ok(Some(head)) if !head.is_interim() => return Ok(head),
                Ok(Some(_)) if interim_responses < MAX_INTERIM_RESPONSES => interim_responses += 1,
                Ok(None) => {
                    self.read_more().await?;
                    self.reservation.resize(self.connection.input.capacity())?;
                }
                Err(HeadError::TooLarge) => {
                    return Err(SendFailure::may_have_run(FailureCause::TooLarge));
                }
                Ok(Some(_)) | Err(_) => {
                    return Err(SendFailure::may_have_run(FailureCause::BadAnswer));
                }
            }
        }
    }

    /// Reads and discards the rest of a late response to an earlier request.
    async fn skip_stale_response(
        &mut self,
        head: &ResponseHead,
        meta: &ResponseMeta,
    ) -> Result<(), SendFailure> {
        let bad_response = || SendFailure::may_have_run(FailureCause::BadAnswer);
        if meta.request_id.is_none() || !head.keep_alive {
            return Err(bad_response());
        }
        self.is_reusable = false;
        let mut decoder = BodyDecoder::new(head.framing);
        let mut skipped = Vec::new();
        let mut skipped_bytes = 0;
        loop {
            decoder.decode(&mut self.connection.input, &mut skipped).map_err(|_| bad_response())?;
            if decoder.is_done() {
                return Ok(());
            }
            skipped_bytes += skipped.len();
            skipped.clear();
            if skipped_bytes > MAX_STALE_BYTES {
                return Err(bad_response());
            }
            self.read_more().await?;
        }
    }

    /// Receives more bytes; fails if the endpoint closed the connection.
    async fn read_more(&mut self) -> Result<(), SendFailure> {
        match self.connection.read_more().await {
            Ok(1..) => Ok(()),
            Ok(0) | Err(_) => Err(SendFailure::may_have_run(FailureCause::ConnectionBroken)),
        }
    }

    /// Appends the next bytes of the body to `output`. Returns whether the body is complete.
    pub(super) async fn read_body(&mut self, output: &mut Vec<u8>) -> Result<bool, SendFailure> {
        let truncated = || SendFailure::may_have_run(FailureCause::Truncated);
        let decoder = self.decoder.as_mut().ok_or_else(truncated)?;
        let before = output.len();
        loop {
            decoder
                .decode(&mut self.connection.input, output)
                .map_err(|_| SendFailure::may_have_run(FailureCause::BadAnswer))?;
            if decoder.is_done() {
                return Ok(true);
            }
            if output.len() > before {
                return Ok(false);
            }
            match self.connection.read_more().await {
                Ok(1..) => {}
                Ok(0) if decoder.finish() => return Ok(true),
                Ok(0) | Err(_) => return Err(truncated()),
            }
        }
    }

    /// Reserves memory for a buffer that holds bytes of the body, in addition to the bytes that
    /// are not decoded yet.
    pub(super) fn reserve_buffer(&mut self, buffer_bytes: usize) -> Result<(), SendFailure> {
        Ok(self.reservation.resize(self.connection.input.capacity() + buffer_bytes)?)
    }

    /// Keeps the connection for another request if the response was read completely and the
    /// connection is reusable. Returns the reservation, for what was received and is not forwarded yet.
    pub(super) fn finish(mut self) -> Reservation {
        self.connection.resets_on_drop = false;
        let is_done = self.decoder.as_ref().is_some_and(BodyDecoder::is_done);
        let keep_alive = self.keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
        if is_done && self.is_reusable && self.connection.input.is_empty() {
            self.endpoint.put_idle_connection(IdleConnection {
                connection: self.connection,
                idle_since: Instant::now(),
                usable_until: Instant::now() + keep_alive,
            });
        }
        self.reservation
    }
}
