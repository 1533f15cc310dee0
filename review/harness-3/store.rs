//! Stand-in of the platform's store: logs with one partition, keyed topics, reads that wait.

use {
    crate::http::{Request, read_request},
    std::{
        collections::{BTreeMap, HashMap},
        io::Write,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Topic {
    fn append_keyed(&mut self, key: &str, value: &[u8]) {
        let offset = self.records.len() as u64;
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value);
        self.records.push(content);
        if value.is_empty() {
            self.newest.remove(key);
        } else {
            self.newest.insert(key.to_owned(), (offset, value.to_vec()));
        }
    }
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<HashMap<String, Topic>>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn spawn() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("its address");
        let store = Store { shared: Arc::default(), address };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// A write of the operator or of a runner. It is acknowledged when this returns. An empty value
    /// removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.shared.0.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().append_keyed(key, value.as_bytes());
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut input) {
            let (status, body) = self.answer(&request);
            let head =
                format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
            if stream.write_all(&[head, body].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, Vec<u8>) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let text = |name: &str| query.get(name).copied().unwrap_or("").to_owned();
        let number = |name: &str| query.get(name).and_then(|value| value.parse::<u64>().ok());
        let (lock, changed) = &*self.shared;
        match path {
            "/mangobridge/log-append" => {
                let name = text("topic");
                if name == "keyed.op" || name == "keyed.servers" {
                    return ("403 Forbidden", Vec::new());
                }
                let mut topics = lock.lock().unwrap();
                let topic = topics.entry(name.clone()).or_default();
                let offset = topic.records.len() as u64;
                if number("at").is_some_and(|at| at != offset) {
                    return ("412 Precondition Failed", format!("{{\"end\":{offset}}}").into());
                }
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    let content = &rest[4..4 + length];
                    rest = &rest[4 + length..];
                    if name.starts_with("keyed.") {
                        let (key, value) = content[1..].split_at(content[0].into());
                        topic.append_keyed(&String::from_utf8_lossy(key), value);
                    } else {
                        topic.records.push(content.to_vec());
                    }
                }
                let end = topic.records.len();
                changed.notify_all();
                ("200 OK", format!("{{\"offset\":{offset},\"end\":{end}}}").into())
            }
            "/mangobridge/log-read" => {
                let (name, from) = (text("topic"), number("from").unwrap_or(0) as usize);
                let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
                let mut topics = lock.lock().unwrap();
                loop {
                    let topic = topics.entry(name.clone()).or_default();
                    let left = until.saturating_duration_since(Instant::now());
                    if topic.records.len() > from || left.is_zero() {
                        let mut bytes = (topic.records.len() as u64).to_be_bytes().to_vec();
                        bytes.extend_from_slice(&0_u64.to_be_bytes());
                        for record in topic.records.iter().skip(from) {
                            bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
                            bytes.extend_from_slice(record);
                        }
                        return ("200 OK", bytes);
                    }
                    topics = changed.wait_timeout(topics, left).unwrap().0;
                }
            }
            "/mangobridge/log-newest" => {
                let (name, after) = (text("topic"), text("after"));
                let mut topics = lock.lock().unwrap();
                let topic = topics.entry(name).or_default();
                let items: Vec<String> = topic
                    .newest
                    .iter()
                    .filter(|(key, _)| **key > after)
                    .take(500)
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let end = topic.records.len();
                let items = items.join(",");
                let body = format!("{{\"items\":[{items}],\"truncated\":false,\"end\":{end}}}");
                ("200 OK", body.into())
            }
            _ => ("404 Not Found", Vec::new()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
