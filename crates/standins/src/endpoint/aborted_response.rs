use {
    bytes::Bytes,
    mango_http::{ChunkSource, Response, ResponseBody},
    std::io,
};

/// Response body that closes the connection before anything is sent.
pub(crate) struct AbortedResponse;

impl AbortedResponse {
    pub(crate) fn response<S: From<Self>>() -> Response<S> {
        Response::new(ResponseBody::streamed(Self.into()))
    }

    /// Error with which a chunk source closes the connection, also in the middle of a body.
    pub(crate) fn error() -> io::Error {
        io::Error::new(io::ErrorKind::ConnectionAborted, "response aborted by the stand-in")
    }
}

impl ChunkSource for AbortedResponse {
    fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        Some(Err(Self::error()))
    }
}
