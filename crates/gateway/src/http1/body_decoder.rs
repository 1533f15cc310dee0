use super::body_framing::BodyFraming;

/// Longest chunk-size line including chunk extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Longest trailer section without its line ends, in bytes.
const MAX_TRAILER_BYTES: usize = 8_192;

/// The chunked encoding of a body is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FramingError;

/// Incremental decoder for the body of an HTTP/1 message.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
}

/// Part of the body to which the next input byte belongs. `Length` and `ChunkData` hold the
/// number of bytes that are still missing; `ChunkEnd` is the CR LF after the data of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    UntilClose,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer { read_bytes: usize },
    Done,
}

impl BodyDecoder {
    pub fn new(framing: BodyFraming) -> BodyDecoder {
        let state = match framing {
            BodyFraming::Length(0) => State::Done,
            BodyFraming::Length(length) => State::Length(length),
            BodyFraming::Chunked => State::ChunkSize,
            BodyFraming::UntilClose => State::UntilClose,
        };
        BodyDecoder { state }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Handles an orderly close of the connection by the peer. Returns whether the body is
    /// complete.
    pub fn finish(&mut self) -> bool {
        if self.state == State::UntilClose {
            self.state = State::Done;
        }
        self.is_done()
    }

    /// Decodes the received bytes of the body from `input` to `output`. An incomplete line
    /// and bytes after the body remain in `input`.
    pub fn decode(
        &mut self,
        input: &mut Vec<u8>,
        output: &mut Vec<u8>,
    ) -> Result<(), FramingError> {
        let mut used = 0;
        let result = self.decode_from(input, &mut used, output);
        input.drain(..used);
        result
    }

    fn decode_from(
        &mut self,
        input: &[u8],
        used: &mut usize,
        output: &mut Vec<u8>,
    ) -> Result<(), FramingError> {
        loop {
            let rest = &input[*used..];
            if rest.is_empty() {
                return Ok(());
            }
            match self.state {
                State::Done => return Ok(()),
                State::UntilClose => {
                    output.extend_from_slice(rest);
                    *used += rest.len();
                }
                State::Length(left) => {
                    let copied = copy_up_to(rest, left, output);
                    *used += copied;
                    let left = left - copied as u64;
                    self.state = if left == 0 { State::Done } else { State::Length(left) };
                }
                State::ChunkData(left) => {
                    let copied = copy_up_to(rest, left, output);
                    *used += copied;
                    let left = left - copied as u64;
                    self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
                }
                State::ChunkSize => {
                    let Some(line) = split_line(rest, MAX_CHUNK_LINE_BYTES)? else { return Ok(()) };
                    *used += line.len() + 2;
                    self.state = match parse_chunk_size(line)? {
                        0 => State::Trailer { read_bytes: 0 },
                        size => State::ChunkData(size),
                    };
                }
                State::ChunkEnd => {
                    let Some(line) = split_line(rest, 0)? else { return Ok(()) };
                    if !line.is_empty() {
                        return Err(FramingError);
                    }
                    *used += 2;
                    self.state = State::ChunkSize;
                }
                State::Trailer { read_bytes } => {
                    let max_bytes =
                        MAX_TRAILER_BYTES.checked_sub(read_bytes).ok_or(FramingError)?;
                    let Some(line) = split_line(rest, max_bytes)? else { return Ok(()) };
                    *used += line.len() + 2;
                    self.state = match line.len() {
                        0 => State::Done,
                        length => State::Trailer { read_bytes: read_bytes + length },
                    };
                }
            }
        }
    }
}

/// Appends at most `max_bytes` of `input` to `output`. Returns how many were appended.
fn copy_up_to(input: &[u8], max_bytes: u64, output: &mut Vec<u8>) -> usize {
    let copied = input.len().min(usize::try_from(max_bytes).unwrap_or(usize::MAX));
    output.extend_from_slice(&input[..copied]);
    copied
}

/// Returns the bytes before the next CR LF, or `None` if the line is still incomplete. Fails if
/// there are more than `max_bytes` or if a CR or LF occurs alone.
fn split_line(rest: &[u8], max_bytes: usize) -> Result<Option<&[u8]>, FramingError> {
    match rest.iter().position(|&byte| byte == b'\n' || byte == b'\r') {
        Some(at) if at > max_bytes => Err(FramingError),
        Some(at) => match &rest[at..] {
            [b'\r', b'\n', ..] => Ok(Some(&rest[..at])),
            [b'\r'] => Ok(None),
            // parsers differ in how they treat a bare CR or LF, which allows request smuggling
            _ => Err(FramingError),
        },
        None if rest.len() > max_bytes => Err(FramingError),
        None => Ok(None),
    }
}

/// Parses the hexadecimal size at the start of a chunk-size line; extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, FramingError> {
    let digits = line.split(|&byte| byte == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).or(Err(FramingError))?.trim_end_matches([' ', '\t']);
    let is_hex = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex || digits.len() > 15 {
        return Err(FramingError);
    }
    u64::from_str_radix(digits, 16).or(Err(FramingError))
}
