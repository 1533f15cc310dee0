//! The platform's store: keyed topics with one partition each.

use {
    crate::http::{Head, Wire},
    std::{
        collections::{BTreeMap, HashMap},
        io,
        net::TcpListener,
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Most records in the answer to a read.
const MAX_RECORDS: usize = 1_000;

#[derive(Default)]
struct Topic {
    /// Key and value of each record, encoded.
    records: Vec<Vec<u8>>,
    /// Offset and value by key.
    newest: BTreeMap<String, (usize, Vec<u8>)>,
}

#[derive(Default)]
struct Shared {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub port: u16,
}

impl Store {
    pub fn spawn() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let port = listener.local_addr()?.port();
        let store = Store { shared: Arc::default(), port };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(&mut Wire::new(stream)));
            }
        });
        Ok(store)
    }

    /// Appends a record.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.shared.topics.lock().expect("topics");
        let topic = topics.entry(topic.to_owned()).or_default();
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value);
        topic.newest.insert(key.to_owned(), (topic.records.len(), value.to_vec()));
        topic.records.push(content);
        self.shared.changed.notify_all();
    }

    fn serve(&self, wire: &mut Wire) {
        while let Ok(head) = wire.read_head() {
            let Ok(body) = wire.read_exact(head.content_length()) else { return };
            let (status, answer) = self.answer(&head, body);
            if wire.respond(status, "", &answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: Vec<u8>) -> (&'static str, Vec<u8>) {
        let (path, query) = head.second_word().split_once('?').unwrap_or_default();
        let fields: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let number = |name| fields.get(name).and_then(|text| text.parse::<usize>().ok());
        let topic = fields.get("topic").copied().unwrap_or_default();
        match path {
            "/mangobridge/log-append" => ("200 OK", self.append(topic, &body)),
            "/mangobridge/log-newest" => ("200 OK", self.newest(topic)),
            "/mangobridge/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
                ("200 OK", self.read(topic, number("from").unwrap_or(0), wait))
            }
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn append(&self, topic: &str, mut records: &[u8]) -> Vec<u8> {
        let mut offset = None;
        while let Some((length, rest)) = records.split_first_chunk::<4>() {
            let (content, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
            let (key, value) = content[1..].split_at(content[0].into());
            offset.get_or_insert(self.end(topic));
            self.put(topic, &String::from_utf8_lossy(key), value);
            records = rest;
        }
        let end = self.end(topic);
        format!("{{\"offset\":{},\"end\":{end}}}", offset.unwrap_or(end)).into_bytes()
    }

    fn end(&self, topic: &str) -> usize {
        let topics = self.shared.topics.lock().expect("topics");
        topics.get(topic).map_or(0, |topic| topic.records.len())
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let mut topics = self.shared.topics.lock().expect("topics");
        let topic = topics.entry(topic.to_owned()).or_default();
        let items: Vec<String> = topic
            .newest
            .iter()
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), topic.records.len());
        format!("{{\"items\":[{items}],\"truncated\":false,\"end\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let deadline = Instant::now() + wait;
        let mut topics = self.shared.topics.lock().expect("topics");
        loop {
            let records = &topics.entry(topic.to_owned()).or_default().records;
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut answer = (records.len() as u64).to_be_bytes().to_vec();
                answer.extend_from_slice(&0_u64.to_be_bytes());
                for content in records.iter().skip(from).take(MAX_RECORDS) {
                    answer.extend_from_slice(&(content.len() as u32).to_be_bytes());
                    answer.extend_from_slice(content);
                }
                return answer;
            }
            topics = self.shared.changed.wait_timeout(topics, left).expect("topics").0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for digit in 0..4 {
            let value = bits >> (18 - 6 * digit) & 63;
            text.push(if digit <= group.len() { DIGITS[value as usize].into() } else { '=' });
        }
    }
    text
}
