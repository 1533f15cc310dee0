//! Stand-in of a plain runner: answers after a time of work, with its signature.

use {
    crate::{
        http::{Request, read_request},
        record::Record,
        store::Store,
    },
    std::{
        io::Write,
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Time between two records of a runner.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that reached a runner.
#[derive(Clone)]
pub struct Arrival {
    pub at_ms: u64,
    pub id: String,
    /// Whether the runner worked on it; another runner's requests are answered 421.
    pub has_run: bool,
}

pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    service: &'static str,
    zone: String,
    work: Duration,
    born: u64,
    sequence: AtomicU64,
    has_ended: AtomicBool,
    beats: AtomicBool,
    state: Mutex<&'static str>,
    pub arrivals: Mutex<Vec<Arrival>>,
    connections: Mutex<Vec<TcpStream>>,
    record: Record,
}

impl Runner {
    /// Starts a runner that writes its record to the store at each heartbeat.
    pub fn spawn(
        id: &str,
        service: &'static str,
        zone: &str,
        work: Duration,
        store: &Store,
        record: &Record,
    ) -> Arc<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a runner");
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            address: listener.local_addr().expect("its address"),
            service,
            zone: zone.to_owned(),
            work,
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64,
            sequence: AtomicU64::new(0),
            has_ended: AtomicBool::new(false),
            beats: AtomicBool::new(true),
            state: Mutex::new("ready"),
            arrivals: Mutex::default(),
            connections: Mutex::default(),
            record: record.clone(),
        });
        let accepting = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                accepting.connections.lock().unwrap().push(stream.try_clone().expect("a clone"));
                let runner = accepting.clone();
                thread::spawn(move || runner.serve(stream));
            }
        });
        let (beating, store) = (runner.clone(), store.clone());
        thread::spawn(move || {
            while !beating.has_ended.load(Ordering::SeqCst) {
                if beating.beats.load(Ordering::SeqCst) {
                    store.put("keyed.servers", &beating.id, &beating.next_entry());
                }
                thread::sleep(HEARTBEAT);
            }
        });
        runner
    }

    /// The next entry that the runner writes about itself.
    pub fn next_entry(&self) -> String {
        let Runner { service, address, zone, born, .. } = self;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = *self.state.lock().unwrap();
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"coldRemainingMs\":0,\
             \"born\":{born},\"seq\":{sequence}}}"
        )
    }

    /// Whether the runner goes on writing its record.
    pub fn set_beats(&self, beats: bool) {
        self.beats.store(beats, Ordering::SeqCst);
    }

    pub fn set_draining(&self) {
        *self.state.lock().unwrap() = "draining";
    }

    /// Ends the runner: its connections are closed, new ones are refused.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // wakes the thread that accepts, which then closes the listener
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().iter() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut input = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut input) {
            let id = request.header("X-Attempt-Id").unwrap_or("-").to_owned();
            let is_target = request.header("X-Target-Instance").is_none_or(|to| to == self.id);
            let at_ms = self.record.now_ms();
            self.arrivals.lock().unwrap().push(Arrival {
                at_ms,
                id: id.clone(),
                has_run: is_target,
            });
            self.record.add_at(at_ms, format!("{} gets {id} runs={is_target}", self.id));
            let answer = match is_target {
                true => self.run(&request, &id),
                false => format!(
                    "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                ),
            };
            if self.has_ended.load(Ordering::SeqCst) || stream.write_all(answer.as_bytes()).is_err()
            {
                return;
            }
        }
    }

    fn run(&self, request: &Request, id: &str) -> String {
        thread::sleep(self.work);
        let body = format!("{} {} ran {id}", request.method, self.id);
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: {}\r\n\
             Content-Length: {}\r\nKeep-Alive: timeout=5\r\n\r\n{body}",
            self.id,
            body.len()
        )
    }
}
