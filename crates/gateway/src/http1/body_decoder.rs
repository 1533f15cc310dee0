use super::body_framing::BodyFraming;

/// Longest line between chunks, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Longest trailer section, in bytes.
const MAX_TRAILER_BYTES: usize = 8_192;

/// A body's chunks do not follow the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FramingError;

/// Takes a body out of the bytes of a connection, piece by piece.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
}

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

    /// Whether the whole body was decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Tells that the peer closed its side in order. Returns whether the body is whole.
    pub fn finish(&mut self) -> bool {
        if self.state == State::UntilClose {
            self.state = State::Done;
        }
        self.is_done()
    }

    /// Moves the body's bytes from `input` to `output`; what belongs to no body
    /// stays in `input`.
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
                    let taken = take(rest, left, output);
                    *used += taken;
                    let left = left - taken as u64;
                    self.state = if left == 0 { State::Done } else { State::Length(left) };
                }
                State::ChunkData(left) => {
                    let taken = take(rest, left, output);
                    *used += taken;
                    let left = left - taken as u64;
                    self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
                }
                State::ChunkSize => {
                    let Some(line) = line(rest, MAX_CHUNK_LINE_BYTES)? else { return Ok(()) };
                    *used += line.len() + 2;
                    self.state = match chunk_size(line)? {
                        0 => State::Trailer { read_bytes: 0 },
                        size => State::ChunkData(size),
                    };
                }
                State::ChunkEnd => {
                    let Some(line) = line(rest, 0)? else { return Ok(()) };
                    if !line.is_empty() {
                        return Err(FramingError);
                    }
                    *used += 2;
                    self.state = State::ChunkSize;
                }
                State::Trailer { read_bytes } => {
                    let room = MAX_TRAILER_BYTES.checked_sub(read_bytes).ok_or(FramingError)?;
                    let Some(line) = line(rest, room)? else { return Ok(()) };
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

fn take(rest: &[u8], left: u64, output: &mut Vec<u8>) -> usize {
    let taken = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
    output.extend_from_slice(&rest[..taken]);
    taken
}

/// The bytes before the next CR LF, or nothing while the line is not whole.
fn line(rest: &[u8], max_bytes: usize) -> Result<Option<&[u8]>, FramingError> {
    match rest.iter().position(|&byte| byte == b'\n' || byte == b'\r') {
        Some(at) if at > max_bytes => Err(FramingError),
        Some(at) => match &rest[at..] {
            [b'\r', b'\n', ..] => Ok(Some(&rest[..at])),
            [b'\r'] => Ok(None),
            // a bare CR or LF is where parsers disagree
            _ => Err(FramingError),
        },
        None if rest.len() > max_bytes => Err(FramingError),
        None => Ok(None),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, FramingError> {
    let digits = line.split(|&byte| byte == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).or(Err(FramingError))?.trim_end_matches([' ', '\t']);
    let is_hex = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex || digits.len() > 15 {
        return Err(FramingError);
    }
    u64::from_str_radix(digits, 16).or(Err(FramingError))
}
