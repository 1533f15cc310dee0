//! As much of HTTP/1.1 as the stand-ins and the client need.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// An answer of which the whole body was read.
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| &**value)
}

/// Reads until the end of a head and returns its lines.
fn read_head(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<Vec<String>> {
    loop {
        if let Some(end) = input.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            input.drain(..end + 4);
            return Some(head.split("\r\n").map(str::to_owned).collect());
        }
        read_more(stream, input)?;
    }
}

fn read_more(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; 16_384];
    match stream.read(&mut buffer) {
        Ok(length @ 1..) => {
            input.extend_from_slice(&buffer[..length]);
            Some(())
        }
        _ => None,
    }
}

fn parse_headers(lines: &[String]) -> Vec<(String, String)> {
    lines
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect()
}

fn read_body(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
    headers: &[(String, String)],
) -> Option<Vec<u8>> {
    if find_header(headers, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let end = loop {
                match input.windows(2).position(|window| window == b"\r\n") {
                    Some(end) => break end,
                    None => read_more(stream, input)?,
                }
            };
            let size = usize::from_str_radix(std::str::from_utf8(&input[..end]).ok()?, 16).ok()?;
            while input.len() < end + 2 + size + 2 {
                read_more(stream, input)?;
            }
            body.extend_from_slice(&input[end + 2..end + 2 + size]);
            input.drain(..end + 2 + size + 2);
            if size == 0 {
                return Some(body);
            }
        }
    }
    let length =
        find_header(headers, "content-length").map_or(Some(0), |text| text.parse().ok())?;
    while input.len() < length {
        read_more(stream, input)?;
    }
    Some(input.drain(..length).collect())
}

/// Reads a request; `None` if the peer closes the connection.
pub fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<Request> {
    let lines = read_head(stream, input)?;
    let mut words = lines[0].split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = parse_headers(&lines[1..]);
    let body = read_body(stream, input, &headers)?;
    Some(Request { method, target, headers, body })
}

/// A client's connection that is kept for many requests.
#[derive(Default)]
pub struct Client {
    connection: Option<(TcpStream, Vec<u8>)>,
}

impl Client {
    /// The body of the answer to a request; empty if there is none.
    pub fn page(&mut self, address: SocketAddr, head: &str) -> Vec<u8> {
        self.exchange(address, head, b"").map(|(_, body)| body).unwrap_or_default()
    }

    /// Sends a request and reads the answer; `None` if the connection ends without a whole one.
    pub fn call(&mut self, address: SocketAddr, head: &str, body: &[u8]) -> Option<Response> {
        self.exchange(address, head, body).map(|(response, _)| response)
    }

    fn exchange(
        &mut self,
        address: SocketAddr,
        head: &str,
        body: &[u8],
    ) -> Option<(Response, Vec<u8>)> {
        let (mut stream, mut input) = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
                stream.set_nodelay(true).ok()?;
                stream.set_read_timeout(Some(Duration::from_secs(12))).ok()?;
                (stream, Vec::new())
            }
        };
        stream.write_all(&[head.as_bytes(), body].concat()).ok()?;
        let lines = read_head(&mut stream, &mut input)?;
        let status = lines[0].split(' ').nth(1)?.parse().ok()?;
        let headers = parse_headers(&lines[1..]);
        let body = read_body(&mut stream, &mut input, &headers)?;
        if find_header(&headers, "connection") != Some("close") {
            self.connection = Some((stream, input));
        }
        Some((Response { status, headers }, body))
    }
}
