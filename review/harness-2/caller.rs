//! Requests of clients.

use {
    crate::{
        config::{API_KEY, HOST_NAME},
        http::Wire,
        record::Record,
    },
    std::{
        io::{self, ErrorKind},
        net::TcpStream,
        time::{Duration, Instant},
    },
};

/// Bytes of a request.
pub fn request(
    method: &str,
    path: &str,
    attempt: &str,
    deadline: Duration,
    body: &[u8],
) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Model: m\r\nX-Token-Usage: 1460,80\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Bearer {API_KEY}\r\nContent-Length: {}\r\n\r\n",
        deadline.as_millis(),
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A whole answer with this status.
    Complete(u16),
    /// The answer began, and the connection ended before the rest.
    CutOff,
    /// The connection ended without an answer.
    NoAnswer,
    LeftAtDeadline,
}

impl Outcome {
    /// The outcome of a connection that failed before the answer was whole.
    pub fn of_failure(error: &io::Error, has_begun: bool) -> Outcome {
        match error.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => Outcome::LeftAtDeadline,
            _ if has_begun => Outcome::CutOff,
            _ => Outcome::NoAnswer,
        }
    }

    /// Whether the connection was closed without a whole answer.
    pub fn is_lost(self) -> bool {
        matches!(self, Outcome::CutOff | Outcome::NoAnswer)
    }
}

/// Numbers of outcomes, for the summary.
pub fn count(outcomes: &[Outcome]) -> String {
    let mut sorted = outcomes.to_vec();
    sorted.sort();
    let groups = sorted.chunk_by(|a, b| a == b);
    groups.map(|group| format!("{:?}: {}", group[0], group.len())).collect::<Vec<_>>().join(", ")
}

/// Sends a request on a connection of its own and reads the stream that answers it.
pub fn call_stream(
    port: u16,
    record: &Record,
    (path, attempt): (&str, &str),
    deadline: Duration,
    body: &[u8],
) -> Outcome {
    let started_at = Instant::now();
    let (mut has_begun, mut events) = (false, 0);
    let result = receive_stream(port, record, (path, attempt), deadline, body, |chunk| {
        has_begun = true;
        events += chunk.windows(4).filter(|bytes| bytes == b"id: ").count();
    });
    let outcome = result.unwrap_or_else(|error| Outcome::of_failure(&error, has_begun));
    let after_ms = started_at.elapsed().as_millis();
    record.write(&format!(
        "ended id={attempt} outcome={outcome:?} events={events} after_ms={after_ms}"
    ));
    outcome
}

fn receive_stream(
    port: u16,
    record: &Record,
    (path, attempt): (&str, &str),
    deadline: Duration,
    body: &[u8],
    mut on_chunk: impl FnMut(&[u8]),
) -> io::Result<Outcome> {
    let ends_at = Instant::now() + deadline;
    let mut wire = Wire::new(TcpStream::connect(("127.0.0.1", port))?);
    record.write(&format!("sent id={attempt} bytes={}", body.len()));
    wire.write(&request("POST", path, attempt, deadline, body))?;
    let left = || {
        let left = ends_at.saturating_duration_since(Instant::now());
        Some(left.max(Duration::from_millis(1)))
    };
    wire.stream.set_read_timeout(left())?;
    let head = wire.read_head()?;
    if head.status() != 200 {
        return Ok(Outcome::Complete(head.status()));
    }
    loop {
        wire.stream.set_read_timeout(left())?;
        let chunk = wire.read_chunk()?;
        if chunk.is_empty() {
            return Ok(Outcome::Complete(200));
        }
        on_chunk(&chunk);
    }
}
