//! Stand-in of the platform's metadata store: topics of keyed records, as the page on the
//! protocol says.

use crate::http::{Reader, write_response};
use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Time for an answer, of which appending takes a part.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// How the store fails while it is down.
#[derive(Clone, Copy, PartialEq)]
pub enum Outage {
    None,
    /// Answers no call that arrives or waits.
    Silent,
    /// Answers 503.
    Busy,
}

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Topic {
    fn append(&mut self, key: &str, value: &[u8]) {
        let offset = self.records.len() as u64;
        self.records.push((key.to_owned(), value.to_vec()));
        match value.is_empty() {
            true => drop(self.newest.remove(key)),
            false => drop(self.newest.insert(key.to_owned(), (offset, value.to_vec()))),
        }
    }
}

struct State {
    topics: HashMap<String, Topic>,
    outage: Outage,
    /// When the runners' entries were written last, and what they said apart from `seq`.
    written: HashMap<String, (Instant, String)>,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    /// An entry of a runner is removed after this silence, also while the store is down.
    entry_lifetime: Option<Duration>,
}

impl Store {
    pub fn start(entry_lifetime: Option<Duration>) -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(State {
                topics: HashMap::new(),
                outage: Outage::None,
                written: HashMap::new(),
            }),
            changed: Condvar::new(),
            entry_lifetime,
        });
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        store
    }

    pub fn set_outage(&self, outage: Outage) {
        self.state.lock().expect("state").outage = outage;
        self.changed.notify_all();
    }

    pub fn is_up(&self) -> bool {
        self.state.lock().expect("state").outage == Outage::None
    }

    /// A write of the operator or of another writer.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock().expect("state");
        state.topics.entry(topic.to_owned()).or_default().append(key, value.as_bytes());
        if let Some((_, content)) = state.written.get_mut(key) {
            // the runner's next heartbeat changes the entry again
            content.clear();
        }
        drop(state);
        self.changed.notify_all();
    }

    /// A heartbeat of a runner. The entry changes when more than `seq` changes; `content` is the
    /// rest of it.
    pub fn beat(&self, id: &str, content: &str, entry: &str) {
        let mut state = self.state.lock().expect("state");
        let known = state.written.insert(id.to_owned(), (Instant::now(), content.to_owned()));
        if known.is_none_or(|(_, last)| last != content) {
            state
                .topics
                .entry("keyed.servers".to_owned())
                .or_default()
                .append(id, entry.as_bytes());
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Removes the entries of runners that were silent.
    fn expire(&self) {
        let Some(lifetime) = self.entry_lifetime else { return };
        let mut state = self.state.lock().expect("state");
        let silent: Vec<String> = state
            .written
            .iter()
            .filter(|(_, (at, _))| at.elapsed() > lifetime)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &silent {
            state.written.remove(key);
            state.topics.entry("keyed.servers".to_owned()).or_default().append(key, b"");
        }
        drop(state);
        if !silent.is_empty() {
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(&head) else { return };
            thread::sleep(ANSWER_TIME);
            let answer = self.answer(&head, &body);
            let Some((status, body)) = answer else {
                // the connection returns nothing further
                while matches!(reader.read_more(), Ok(1..)) {}
                return;
            };
            if write_response(&mut reader.stream, status, "", &body).is_err() {
                return;
            }
        }
    }

    /// The answer to a call; `None` while the store is silent.
    fn answer(&self, head: &crate::http::Head, body: &[u8]) -> Option<(&'static str, Vec<u8>)> {
        let topic = head.query("topic").unwrap_or_default().to_owned();
        let mut state = self.state.lock().expect("state");
        match state.outage {
            Outage::None => {}
            Outage::Silent => return None,
            Outage::Busy => return Some(("503 Service Unavailable", Vec::new())),
        }
        let path = head.target().split('?').next().unwrap_or_default();
        match path {
            "/mangobridge/log-append" => {
                let topic = state.topics.entry(topic).or_default();
                let first = topic.records.len();
                let mut rest = body;
                while rest.len() > 5 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let key_length = rest[4] as usize;
                    let key = String::from_utf8_lossy(&rest[5..5 + key_length]).into_owned();
                    topic.append(&key, &rest[5 + key_length..4 + length]);
                    rest = &rest[4 + length..];
                }
                let text = format!("{{\"offset\":{first},\"end\":{}}}", topic.records.len());
                drop(state);
                self.changed.notify_all();
                Some(("200 OK", text.into_bytes()))
            }
            "/mangobridge/log-newest" => {
                let topic = state.topics.entry(topic).or_default();
                let after = head.query("after").unwrap_or_default();
                let items: Vec<String> = topic
                    .newest
                    .iter()
                    .filter(|(key, _)| key.as_str() > after)
                    .map(|(key, (offset, value))| {
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(value)
                        )
                    })
                    .collect();
                let end = topic.records.len();
                let text = format!(
                    "{{\"items\":[{}],\"truncated\":false,\"end\":{end}}}",
                    items.join(",")
                );
                Some(("200 OK", text.into_bytes()))
            }
            "/mangobridge/log-read" => {
                let from: usize =
                    head.query("from").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 =
                    head.query("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    match state.outage {
                        Outage::None => {}
                        Outage::Silent => return None,
                        Outage::Busy => return Some(("503 Service Unavailable", Vec::new())),
                    }
                    let records = &state.topics.entry(topic.clone()).or_default().records;
                    let now = Instant::now();
                    if records.len() > from || now >= until {
                        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
                        bytes.extend_from_slice(&0_u64.to_be_bytes());
                        for (key, value) in records.iter().skip(from) {
                            let length = (1 + key.len() + value.len()) as u32;
                            bytes.extend_from_slice(&length.to_be_bytes());
                            bytes.push(key.len() as u8);
                            bytes.extend_from_slice(key.as_bytes());
                            bytes.extend_from_slice(value);
                        }
                        return Some(("200 OK", bytes));
                    }
                    state = self.changed.wait_timeout(state, until - now).expect("state").0;
                }
            }
            _ => Some(("404 Not Found", Vec::new())),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let value = chunk.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(value >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
