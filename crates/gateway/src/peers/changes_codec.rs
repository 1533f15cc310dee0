//! Encoding of the records that a relay serves. They are compressed: records of endpoints and routes
//! resemble each other, and the hosts of a zone read them over the relay's link at the same time.

use {
    mango_wire::{CodecError, decode_bounded, encode_bounded, gossip::RelayedChanges},
    miniz_oxide::{deflate::compress_to_vec_zlib, inflate::decompress_to_vec_zlib_with_limit},
};

/// Largest response before compression, in bytes.
pub(super) const MAX_CHANGES_BYTES: usize = 8 * 1024 * 1024;
/// Compression level, from 0 to 10: a low one takes little processor time.
const COMPRESSION_LEVEL: u8 = 3;

/// Why a response of a relay cannot be read.
#[derive(Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum ChangesError {
    #[strum(to_string = "the compressed records are invalid or too large")]
    Compression,
    #[strum(to_string = "{0}")]
    Encoding(CodecError),
}

/// Encodes and compresses records; `None` if they are too large.
pub(super) fn encode(changes: &RelayedChanges) -> Option<Vec<u8>> {
    let bytes = encode_bounded(changes, MAX_CHANGES_BYTES).ok()?;
    Some(compress_to_vec_zlib(&bytes, COMPRESSION_LEVEL))
}

pub(super) fn decode(bytes: &[u8]) -> Result<RelayedChanges, ChangesError> {
    let bytes = decompress_to_vec_zlib_with_limit(bytes, MAX_CHANGES_BYTES)
        .map_err(|_| ChangesError::Compression)?;
    decode_bounded(&bytes, MAX_CHANGES_BYTES).map_err(ChangesError::Encoding)
}
