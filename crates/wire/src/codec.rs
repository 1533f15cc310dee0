use {
    crate::generated::peer::PeerFrame,
    bincode::{
        config::{Configuration, Limit, LittleEndian, Varint, standard},
        serde::{decode_from_slice, encode_to_vec},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::fmt,
};

/// Largest encoded message between routers, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

const CODEC: Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> =
    standard().with_limit::<MAX_MESSAGE_BYTES>();

/// Error of encoding or decoding a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CodecError {
    /// Message above the size limit.
    TooLarge { bytes: usize, max_bytes: usize },
    /// The input continues after the message; holds the number of remaining bytes.
    TrailingBytes(usize),
    /// The bytes are not a message of this protocol version, or a value cannot be
    /// encoded; holds the error of bincode.
    Malformed(String),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { bytes, max_bytes } => {
                write!(f, "message of {bytes} bytes, limit {max_bytes}")
            }
            Self::TrailingBytes(bytes) => write!(f, "{bytes} bytes after the message"),
            Self::Malformed(detail) => write!(f, "malformed message: {detail}"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message without its length prefix. Fails above `MAX_MESSAGE_BYTES`.
pub fn encode_message(frame: &PeerFrame) -> Result<Vec<u8>, CodecError> {
    let bytes = encode_to_vec(frame, CODEC).map_err(|e| CodecError::Malformed(e.to_string()))?;
    check_size(bytes.len(), MAX_MESSAGE_BYTES)?;
    Ok(bytes)
}

/// Decodes a message without its length prefix. Fails if bytes are left after it.
pub fn decode_message(bytes: &[u8]) -> Result<PeerFrame, CodecError> {
    check_size(bytes.len(), MAX_MESSAGE_BYTES)?;
    let (frame, read_bytes) =
        decode_from_slice(bytes, CODEC).map_err(|e| CodecError::Malformed(e.to_string()))?;
    if read_bytes != bytes.len() {
        return Err(CodecError::TrailingBytes(bytes.len() - read_bytes));
    }
    Ok(frame)
}

/// Encodes a message of any type. Fails above `max_bytes`.
pub fn encode_bounded<T: Serialize>(message: &T, max_bytes: usize) -> Result<Vec<u8>, CodecError> {
    let bytes =
        encode_to_vec(message, standard()).map_err(|e| CodecError::Malformed(e.to_string()))?;
    check_size(bytes.len(), max_bytes)?;
    Ok(bytes)
}

/// Decodes a message of up to `max_bytes`. Fails if bytes are left after it.
pub fn decode_bounded<T: DeserializeOwned>(
    bytes: &[u8],
    max_bytes: usize,
) -> Result<T, CodecError> {
    check_size(bytes.len(), max_bytes)?;
    let (message, read_bytes) =
        decode_from_slice(bytes, standard()).map_err(|e| CodecError::Malformed(e.to_string()))?;
    if read_bytes != bytes.len() {
        return Err(CodecError::TrailingBytes(bytes.len() - read_bytes));
    }
    Ok(message)
}

fn check_size(bytes: usize, max_bytes: usize) -> Result<(), CodecError> {
    if bytes > max_bytes {
        return Err(CodecError::TooLarge { bytes, max_bytes });
    }
    Ok(())
}
