use {bytes::Bytes, mango_http::ChunkSource, std::io};

/// Source of a streamed answer, of which operators get none.
pub(super) enum NoChunks {}

impl ChunkSource for NoChunks {
    fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        match *self {}
    }
}
