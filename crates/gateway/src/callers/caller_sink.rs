use {
    super::{protocol::Protocol, refusal::Refusal},
    crate::http1::{Headers, PeerWatch, ResponseHead, allows_body},
    std::{io, io::Write, marker::PhantomData},
    tokio::{io::AsyncWriteExt, net::tcp::OwnedWriteHalf},
};

/// Bytes of a body that are sent together with the head; the rest is not copied.
const MAX_COPIED_BYTES: usize = 16_384;

/// Writes the response to one request on a caller's connection.
pub(crate) struct CallerSink<'a, P> {
    writer: &'a mut OwnedWriteHalf,
    watch: &'a PeerWatch,
    request_id: Box<str>,
    state: State,
    /// Whether the connection is closed after this response.
    closes_connection: bool,
    /// Method of the request; empty if it could not be read.
    method: Box<str>,
    protocol: PhantomData<P>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Unanswered,
    Streaming,
    Complete,
}

impl<'a, P: Protocol> CallerSink<'a, P> {
    /// `closes_connection` adds `Connection: close` to the response.
    pub(crate) fn new(
        writer: &'a mut OwnedWriteHalf,
        watch: &'a PeerWatch,
        request_id: &str,
        method: &str,
        closes_connection: bool,
    ) -> CallerSink<'a, P> {
        CallerSink {
            writer,
            watch,
            request_id: request_id.into(),
            state: State::Unanswered,
            closes_connection,
            method: method.into(),
            protocol: PhantomData,
        }
    }

    /// Whether no part of a response has been sent.
    pub(crate) fn is_unanswered(&self) -> bool {
        self.state == State::Unanswered
    }

    /// Whether the response is complete and another request may follow on the connection.
    pub(crate) fn is_connection_reusable(&self) -> bool {
        self.state == State::Complete && !self.closes_connection
    }

    /// Forwards a complete response of an endpoint.
    pub(crate) async fn send_response(
        &mut self,
        head: &ResponseHead,
        body: &[u8],
    ) -> io::Result<()> {
        let copied_bytes = body.len().min(MAX_COPIED_BYTES);
        let mut output = Vec::with_capacity(512 + copied_bytes);
        self.write_head(&mut output, head);
        self.state = State::Complete;
        if !allows_body(&self.method, head.status) {
            output.extend_from_slice(b"\r\n");
            return self.write(&output).await;
        }
        let _ = write!(output, "Content-Length: {}\r\n\r\n", body.len());
        let (copied, rest) = body.split_at(copied_bytes);
        output.extend_from_slice(copied);
        self.write(&output).await?;
        self.write(rest).await
    }

    /// Starts a streaming response: sends the head and the first events, chunked. A response without a
    /// body is complete with its head.
    pub(crate) async fn start_stream(
        &mut self,
        head: &ResponseHead,
        events: &[u8],
    ) -> io::Result<()> {
        let mut output = Vec::with_capacity(512 + events.len());
        self.write_head(&mut output, head);
        if allows_body(&self.method, head.status) {
            output.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
            write_chunk(&mut output, events);
            self.state = State::Streaming;
        } else {
            output.extend_from_slice(b"\r\n");
            self.state = State::Complete;
        }
        self.write(&output).await
    }

    /// Sends further events of a streaming response.
    pub(crate) async fn send_events(&mut self, events: &[u8]) -> io::Result<()> {
        if self.state != State::Streaming {
            return Ok(());
        }
        let mut output = Vec::with_capacity(16 + events.len());
        write_chunk(&mut output, events);
        self.write(&output).await
    }

    /// Completes a streaming response.
    pub(crate) async fn end_stream(&mut self) -> io::Result<()> {
        if self.state != State::Streaming {
            return Ok(());
        }
        self.state = State::Complete;
        self.write(b"0\r\n\r\n").await
    }

    /// Sends the router's own error response, with an RFC 9457 problem document as its body.
    pub(crate) async fn send_refusal(&mut self, refusal: &Refusal) -> io::Result<()> {
        // serialization cannot fail: a problem contains only strings and numbers
        let body = serde_json::to_vec(&refusal.to_problem(&self.request_id)).unwrap_or_default();
        let mut output = Vec::with_capacity(256 + body.len());
        let _ = write!(output, "HTTP/1.1 {} {}\r\n", refusal.status, refusal.status_text());
        if !self.request_id.is_empty() {
            let _ = write!(output, "{}: {}\r\n", P::REQUEST_ID_HEADER, self.request_id);
        }
        if let Some(delay) = refusal.retry_after {
            // not in whole seconds as in RFC 9110, since most delays are below one second
            let _ = write!(output, "Retry-After: {:.2}\r\n", delay.as_secs_f64());
        }
        let _ = write!(
            output,
            "Content-Type: application/problem+json\r\nContent-Length: {}\r\n",
            body.len()
        );
        self.write_connection_header(&mut output);
        output.extend_from_slice(b"\r\n");
        if allows_body(&self.method, refusal.status) {
            output.extend_from_slice(&body);
        }
        self.state = State::Complete;
        self.write(&output).await
    }

    /// Writes the status line and headers without `Content-Length`, `Transfer-Encoding` and
    /// the empty line.
    fn write_head(&self, output: &mut Vec<u8>, head: &ResponseHead) {
        let _ = write!(output, "HTTP/1.1 {} {}\r\n", head.status, head.reason);
        write_headers(output, &head.headers);
        self.write_connection_header(output);
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.watch.record_send();
        self.writer.write_all(bytes).await
    }

    fn write_connection_header(&self, output: &mut Vec<u8>) {
        if self.closes_connection {
            output.extend_from_slice(b"Connection: close\r\n");
        }
    }
}

fn write_headers(output: &mut Vec<u8>, headers: &Headers) {
    for header in headers.end_to_end() {
        output.extend_from_slice(header.name.as_bytes());
        output.extend_from_slice(b": ");
        output.extend_from_slice(&header.value);
        output.extend_from_slice(b"\r\n");
    }
}

/// Writes a chunk; empty data writes nothing, since an empty chunk would end the body.
fn write_chunk(output: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    let _ = write!(output, "{:x}\r\n", data.len());
    output.extend_from_slice(data);
    output.extend_from_slice(b"\r\n");
}
