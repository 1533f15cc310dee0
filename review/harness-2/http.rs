//! HTTP/1.1 messages on a connection.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::TcpStream,
};

/// Most bytes that are read at once while a head or a chunk is expected.
const READ_AHEAD_BYTES: usize = 2_048;

/// Start line and headers of a message.
#[derive(Clone, Debug)]
pub struct Head {
    start: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn parse(bytes: &[u8]) -> Head {
        let text = String::from_utf8_lossy(bytes);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Head { start, headers }
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        header.map(|(_, value)| value.as_str())
    }

    /// The second word of the start line: the target of a request, or the status of a response.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }

    pub fn content_length(&self) -> usize {
        self.get("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    /// The id of the attempt, by which clients and runners know a request.
    pub fn attempt(&self) -> &str {
        self.get("X-Attempt-Id").unwrap_or("-")
    }
}

/// A connection with the bytes that were received and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut portion = [0; READ_AHEAD_BYTES];
        match self.stream.read(&mut portion)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            length => {
                self.buffer.extend_from_slice(&portion[..length]);
                Ok(())
            }
        }
    }

    /// Reads up to and including a separator, and returns the bytes before it.
    fn read_until(&mut self, separator: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            let at = self.buffer.windows(separator.len()).position(|bytes| bytes == separator);
            if let Some(at) = at {
                let before = self.buffer[..at].to_vec();
                self.buffer.drain(..at + separator.len());
                return Ok(before);
            }
            self.read_more()?;
        }
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        self.read_until(b"\r\n\r\n").map(|bytes| Head::parse(&bytes))
    }

    /// Reads this many bytes, and none beyond them.
    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        let kept = length.min(self.buffer.len());
        let mut bytes: Vec<u8> = self.buffer.drain(..kept).collect();
        bytes.resize(length, 0);
        self.stream.read_exact(&mut bytes[kept..])?;
        Ok(bytes)
    }

    /// The next chunk of a chunked body; empty at its end.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.read_until(b"\r\n")?;
        let line = String::from_utf8_lossy(&line);
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
        let mut chunk = self.read_exact(size + 2)?;
        chunk.truncate(size);
        Ok(chunk)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
        self.write(&[head.as_bytes(), body].concat())
    }
}
