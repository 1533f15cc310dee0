//! The part of HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub struct Head {
    /// Request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    /// A value of the target's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Bytes of a connection that are not parsed yet.
pub struct Reader {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; 0 at the end.
    pub fn read_more(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16_384];
        let length = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { first_line, headers }));
            }
            if self.read_more()? == 0 {
                return Ok(None);
            }
        }
    }

    pub fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.read_more()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads the body of a message with a length or in chunks.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
        {
            let mut body = Vec::new();
            loop {
                while find(&self.buffer, b"\r\n").is_none() {
                    if self.read_more()? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                let end = find(&self.buffer, b"\r\n").unwrap_or(0);
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                let size = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::other("bad chunk"))?;
                let chunk = self.take(size + 2)?;
                body.extend_from_slice(&chunk[..size]);
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        let length = head.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        self.take(length)
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let mut output =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
            .into_bytes();
    output.extend_from_slice(body);
    stream.write_all(&output)
}

/// Connects within a second and sends a request; returns the connection for the answer.
pub fn send(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Reader> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    Ok(Reader::new(stream))
}

/// One request on a new connection; the status and the body of the answer.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<(Head, Vec<u8>)> {
    let mut reader = send(address, request, limit)?;
    let head = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = reader.body(&head)?;
    Ok((head, body))
}

/// One request on a connection that is kept open; a new one is opened if there is none.
pub fn call_on(
    connection: &mut Option<Reader>,
    address: SocketAddr,
    request: &[u8],
    limit: Duration,
) -> io::Result<(Head, Vec<u8>)> {
    // taken out, so that a connection that fails is not used again
    let mut reader = match connection.take() {
        Some(mut reader) => {
            reader.stream.write_all(request)?;
            reader
        }
        None => send(address, request, limit)?,
    };
    let head = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = reader.body(&head)?;
    if !head.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        *connection = Some(reader);
    }
    Ok((head, body))
}
