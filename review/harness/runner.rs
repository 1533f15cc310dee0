//! Stand-in of a runner: runs requests and writes its entry in the store.

use crate::{
    fleet::Record,
    http::{Reader, write_response},
    store::Store,
};
use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A request that a runner began to run.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub path: String,
    pub runner: String,
    pub service: String,
    pub at: Instant,
}

pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// When the process started, in Unix milliseconds.
    pub born: u128,
    pub work: Duration,
    pub is_streaming: bool,
    sequence: AtomicU64,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// What a runner does at its heartbeats when the store fails.
#[derive(Clone, Copy)]
pub struct Beats {
    pub interval: Duration,
    /// How long after the return of the store a runner has written its entry again.
    pub return_delay: Duration,
}

impl Runner {
    pub fn start(
        id: &str,
        service: &str,
        work: Duration,
        is_streaming: bool,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Arc<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis(),
            work,
            is_streaming,
            sequence: AtomicU64::new(0),
            runs: runs.clone(),
        });
        let accepting = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = accepting.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        runner
    }

    /// The entry that the runner writes in the store.
    pub fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{sequence},\"born\":{}}}",
            self.service, self.address, self.born
        )
    }

    /// Writes the entry at each heartbeat. After a time without the store, it is written
    /// `return_delay` after the return.
    pub fn beat(self: &Arc<Self>, store: &Arc<Store>, beats: Beats, record: &Arc<Record>) {
        let (runner, store, record) = (self.clone(), store.clone(), record.clone());
        thread::spawn(move || {
            loop {
                if store.is_up() {
                    let sequence = runner.sequence.fetch_add(1, Ordering::Relaxed) + 1;
                    store.beat(&runner.id, &runner.entry(0), &runner.entry(sequence));
                    thread::sleep(beats.interval);
                } else {
                    while !store.is_up() {
                        thread::sleep(Duration::from_millis(5));
                    }
                    thread::sleep(beats.return_delay);
                    record.line(&format!("runner {} writes its entry again", runner.id));
                }
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(_body) = reader.body(&head) else { return };
            let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
            if head.get("x-target-instance").is_some_and(|target| target != self.id) {
                let headers = format!("X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n");
                if write_response(&mut reader.stream, "421 Misdirected Request", &headers, b"")
                    .is_err()
                {
                    return;
                }
                continue;
            }
            self.runs.lock().expect("runs").push(Run {
                id: id.clone(),
                path: head.target().to_owned(),
                runner: self.id.clone(),
                service: self.service.clone(),
                at: Instant::now(),
            });
            thread::sleep(self.work);
            let body = format!("{} ran {id}\n", self.id);
            let headers = format!("X-Attempt-Id: {id}\r\nX-Server-Signature: {}.{id}\r\n", self.id);
            let sent = match (head.method(), self.is_streaming) {
                ("HEAD", _) => {
                    let head = format!(
                        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\r\n"
                    );
                    std::io::Write::write_all(&mut reader.stream, head.as_bytes())
                }
                (_, true) => {
                    let events = format!("id: 1\ndata: {body}\nid: 2\ndata: end\n\n");
                    let headers = format!("{headers}Content-Type: text/event-stream\r\n");
                    write_response(&mut reader.stream, "200 OK", &headers, events.as_bytes())
                }
                _ => write_response(&mut reader.stream, "200 OK", &headers, body.as_bytes()),
            };
            if sent.is_err() {
                return;
            }
        }
    }
}
