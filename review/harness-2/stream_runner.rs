//! A model runner that reads long bodies slowly while it streams its answer.

use {
    crate::{
        http::{Head, Wire},
        record::Record,
        runner::Identity,
        socket::{is_closed, set_link},
        store::Store,
    },
    std::{
        collections::HashMap,
        io::{self, ErrorKind, Read},
        net::{Shutdown, TcpListener, TcpStream},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// What a runner reads of a body before it begins to work.
const FIRST_BODY_BYTES: usize = 4_096;
/// Receive buffer of a runner with small windows.
const RECEIVE_BUFFER_BYTES: i32 = 16_384;
/// Pause between two reads of a body.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// How often a runner that works asks whether its connection was closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How the runners of a service work.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Time of the prefill, in which a runner sends nothing.
    pub first_event: Duration,
    pub events: u64,
    pub event_pause: Duration,
    /// How fast a runner reads a body while it works; `None`: it reads the whole body before.
    pub body_bytes_per_s: Option<usize>,
}

/// When a runner worked on an attempt.
#[derive(Clone, Debug)]
pub struct Worked {
    pub runner: String,
    pub began_at: Instant,
    pub ended_at: Option<Instant>,
}

/// What the runners worked on, by the attempt, in the order in which they began.
pub type Works = Arc<Mutex<HashMap<String, Vec<Worked>>>>;

#[derive(Clone)]
struct StreamRunner {
    identity: Identity,
    pace: Pace,
    works: Works,
    record: Arc<Record>,
}

/// Starts the runners of a service.
pub fn spawn_stream_runners(
    store: &Store,
    record: &Arc<Record>,
    (service, count, slots): (&'static str, usize, u32),
    pace: Pace,
) -> io::Result<Works> {
    let works = Works::default();
    for number in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        set_link(&listener, Some(RECEIVE_BUFFER_BYTES))?;
        let port = listener.local_addr()?.port();
        let identity = Identity { id: format!("{service}-{number}"), service, slots, port };
        identity.register(store);
        let runner = StreamRunner { identity, pace, works: works.clone(), record: record.clone() };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = runner.clone();
                thread::spawn(move || runner.serve(&mut Wire::new(stream)));
            }
        });
    }
    Ok(works)
}

impl StreamRunner {
    fn serve(&self, wire: &mut Wire) {
        while let Ok(head) = wire.read_head() {
            if self.serve_request(&head, wire).is_err() {
                break;
            }
        }
        let _ = wire.stream.shutdown(Shutdown::Both);
    }

    /// Works on a request while its body is read.
    fn serve_request(&self, head: &Head, wire: &mut Wire) -> io::Result<()> {
        let length = head.content_length();
        let first = match self.pace.body_bytes_per_s {
            Some(_) => length.min(FIRST_BODY_BYTES),
            None => length,
        };
        wire.read_exact(first)?;
        if !self.identity.is_target(head) {
            wire.respond("421 Misdirected Request", "", b"")?;
            return Err(ErrorKind::Other.into());
        }
        let body = wire.stream.try_clone()?;
        let bytes_per_s = self.pace.body_bytes_per_s.unwrap_or(usize::MAX);
        let rest = thread::spawn(move || read_slowly(body, length - first, bytes_per_s));
        let worked = self.work(head, wire);
        if worked.is_err() {
            // ends the thread that reads the body
            let _ = wire.stream.shutdown(Shutdown::Both);
        }
        let read = rest.join().unwrap_or_else(|_| Err(ErrorKind::Other.into()));
        worked.and(read)
    }

    /// Records when the work on a request begins and ends.
    fn work(&self, head: &Head, wire: &mut Wire) -> io::Result<()> {
        let (id, attempt) = (&self.identity.id, head.attempt());
        self.record.write(&format!("run runner={id} id={attempt}"));
        let index = {
            let mut works = self.works.lock().expect("works");
            let works = works.entry(attempt.to_owned()).or_default();
            works.push(Worked { runner: id.clone(), began_at: Instant::now(), ended_at: None });
            works.len() - 1
        };
        let result = self.stream(head, wire);
        let mut works = self.works.lock().expect("works");
        if let Some(worked) = works.get_mut(attempt).and_then(|works| works.get_mut(index)) {
            worked.ended_at = Some(Instant::now());
        }
        let end = if result.is_ok() { "complete" } else { "dropped" };
        self.record.write(&format!("work_ended runner={id} id={attempt} {end}"));
        result
    }

    /// Streams the events after `Last-Event-Id`. Fails as soon as the connection is closed.
    fn stream(&self, head: &Head, wire: &mut Wire) -> io::Result<()> {
        pause(&wire.stream, self.pace.first_event)?;
        let signature = self.identity.signature(head);
        let head_text = format!(
            "HTTP/1.1 200 OK\r\n{signature}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        wire.write(head_text.as_bytes())?;
        let last: u64 = head.get("Last-Event-Id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for number in last + 1..=self.pace.events {
            let event = format!("id: {number}\ndata: token {number}\n\n");
            wire.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            pause(&wire.stream, self.pace.event_pause)?;
        }
        wire.write(b"0\r\n\r\n")
    }
}

/// Waits; fails as soon as the connection is closed.
fn pause(stream: &TcpStream, time: Duration) -> io::Result<()> {
    let until = Instant::now() + time;
    loop {
        if is_closed(stream) {
            return Err(ErrorKind::ConnectionReset.into());
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(());
        }
        thread::sleep(left.min(CLOSE_CHECK_INTERVAL));
    }
}

fn read_slowly(mut stream: TcpStream, mut length: usize, bytes_per_s: usize) -> io::Result<()> {
    while length > 0 {
        thread::sleep(READ_PAUSE);
        let mut portion = vec![0; length.min(bytes_per_s / 10)];
        stream.read_exact(&mut portion)?;
        length -= portion.len();
    }
    Ok(())
}
