#![allow(dead_code, reason = "not every test file uses all helpers")]

use {
    serde_json::Value,
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

/// HTTP response.
pub(crate) struct Reply {
    pub(crate) status: u16,
    /// Status line and headers, in lower case.
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Reply {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }
}

/// Sends a request with a small body on a keep-alive connection and returns the body of
/// the response. Needs much less CPU time than a client library in an unoptimized build.
pub(crate) fn call(stream: &mut BufReader<TcpStream>, method_and_path: &str, body: &str) -> String {
    let length = body.len();
    let text =
        format!("{method_and_path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.get_mut().write_all(text.as_bytes()).expect("send the request");
    let mut length = 0;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).expect("read the response headers");
        match line.strip_prefix("content-length: ") {
            Some(value) => length = value.trim().parse().expect("content-length is a number"),
            None if line == "\r\n" => break,
            None => assert!(!line.is_empty(), "connection closed"),
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).expect("read the response body");
    String::from_utf8(body).expect("the body is UTF-8")
}

/// Sends a request on a new connection. Returns an error if the response is missing or
/// incomplete.
pub(crate) fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<Reply> {
    let mut stream = BufReader::new(open_request(address, method, path, headers, body)?);
    let mut head = String::new();
    while stream.read_line(&mut head)? > 2 {}
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or_else(|| std::io::Error::other("the response has no status line"))?;
    let head = head.to_lowercase();
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
    let mut body = String::new();
    match length {
        Some(length) => {
            let mut bytes = vec![0; length.trim().parse().expect("content-length is a number")];
            stream.read_exact(&mut bytes)?;
            body = String::from_utf8(bytes).expect("the body is UTF-8");
        }
        None => while read_chunk(&mut stream, &mut body)? {},
    }
    Ok(Reply { status, head, body })
}

/// Sends a request on a new connection and returns the connection, from which nothing has
/// been read.
pub(crate) fn open_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())?;
    Ok(stream)
}

/// Reads one chunk of a chunked body. Returns false if it was the last one.
fn read_chunk(stream: &mut impl BufRead, body: &mut String) -> std::io::Result<bool> {
    let mut size = String::new();
    stream.read_line(&mut size)?;
    let size = usize::from_str_radix(size.trim(), 16).map_err(std::io::Error::other)?;
    let mut bytes = vec![0; size + 2];
    stream.read_exact(&mut bytes)?;
    body.push_str(std::str::from_utf8(&bytes[..size]).expect("the body is UTF-8"));
    Ok(size > 0)
}

pub(crate) fn get(address: SocketAddr, path: &str) -> Reply {
    send(address, "GET", path, &[], "").expect("complete response")
}

pub(crate) fn post(address: SocketAddr, path: &str, body: &str) -> Reply {
    send(address, "POST", path, &[], body).expect("complete response")
}

/// Body of a chat request whose answer has `length` tokens.
pub(crate) fn chat_body(message: &str, length: u32, stream: bool) -> String {
    serde_json::json!({
        "messages": [{ "role": "user", "content": message }],
        "stream": stream,
        "metadata": { "length": length },
    })
    .to_string()
}

/// Sends a chat request. Returns an error if the response is missing or incomplete.
pub(crate) fn send_chat(
    address: SocketAddr,
    headers: &[(&str, &str)],
    message: &str,
    length: u32,
    stream: bool,
) -> std::io::Result<Reply> {
    send(address, "POST", "/v1/chat/completions", headers, &chat_body(message, length, stream))
}

/// Text and events of a streamed answer, which must end with `[DONE]`.
pub(crate) fn stream_text(body: &str) -> (String, Vec<Value>) {
    let events: Vec<_> = body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    let (done, events) = events.split_last().expect("the stream has events");
    assert_eq!(*done, "[DONE]");
    let events: Vec<Value> = events.iter().map(|e| serde_json::from_str(e).unwrap()).collect();
    let tokens = events.iter().map(|e| e["choices"][0]["delta"]["content"].as_str().unwrap());
    (tokens.collect(), events)
}

/// Waits until a condition holds.
pub(crate) fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(2));
    }
}
