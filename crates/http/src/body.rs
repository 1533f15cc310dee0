use {
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    std::{
        fmt, io,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
};

/// Source of a streamed response body. Called on the thread of its connection.
pub trait ChunkSource: Send {
    /// Blocks until the next chunk is available. `None` ends the body. An error
    /// closes the connection without the final chunk, so that the client does
    /// not take the body for complete.
    fn next_chunk(&mut self) -> Option<io::Result<Bytes>>;
}

/// HTTP response to one request.
pub type Response<S> = hyper::Response<ResponseBody<S>>;

/// Response body.
pub enum ResponseBody<S> {
    /// Complete body; `None` once it was passed to hyper.
    Full(Option<Bytes>),
    /// Body that is sent chunk by chunk. `flush_pending` is set after each chunk
    /// until hyper was given the chance to flush it.
    Streamed { source: S, flush_pending: bool },
}

impl<S> ResponseBody<S> {
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    pub fn streamed(source: S) -> Self {
        Self::Streamed { source, flush_pending: false }
    }
}

impl<S: ChunkSource + Unpin> Body for ResponseBody<S> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Streamed { source, flush_pending } => {
                // hyper flushes to the socket only while the body is pending, so
                // one poll after each chunk returns `Pending`
                if std::mem::take(flush_pending) {
                    context.waker().wake_by_ref();
                    return Poll::Pending;
                }
                *flush_pending = true;
                Poll::Ready(source.next_chunk().map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Streamed { .. } => SizeHint::default(),
        }
    }
}

/// Error while reading a request body.
#[derive(Debug)]
pub enum BodyError {
    /// Larger than the limit.
    TooLarge,
    /// Not received completely within the time limit.
    TimedOut,
    /// Reading from the connection failed; holds the error of hyper.
    Broken(String),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(f, "request body exceeds the limit"),
            Self::TimedOut => write!(f, "request body did not arrive in time"),
            Self::Broken(detail) => write!(f, "request body broke off: {detail}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads a complete request body of at most `max_bytes`; `timeout` limits the
/// whole read.
pub async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let read = async {
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| BodyError::Broken(e.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            if bytes.len() + data.len() > max_bytes {
                return Err(BodyError::TooLarge);
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    };
    tokio::time::timeout(timeout, read).await.unwrap_or(Err(BodyError::TimedOut))
}
