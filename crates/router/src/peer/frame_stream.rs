use {
    super::{link_error::LinkError, message_kind::MessageKind, peer_metrics::PeerMetrics},
    bytes::{Buf, Bytes, BytesMut},
    h2::{RecvStream, SendStream},
    mango_wire::{CodecError, MAX_MESSAGE_BYTES, decode_message, peer::PeerFrame},
    std::{future::poll_fn, time::Duration},
    tokio::time::timeout,
};

pub(crate) const LENGTH_PREFIX_BYTES: usize = 4;
// A peer that accepts no data for this long blocks all messages to it. Its link
// is closed, which fails the waiting calls.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads length-prefixed messages from one direction of a link.
pub(crate) struct FrameReader {
    stream: RecvStream,
    buffer: BytesMut,
    metrics: PeerMetrics,
}

impl FrameReader {
    pub(crate) fn new(stream: RecvStream, metrics: PeerMetrics) -> Self {
        Self { stream, buffer: BytesMut::new(), metrics }
    }

    /// Reads the next message. `Closed` means that the peer ended the stream
    /// between two messages.
    pub(crate) async fn next(&mut self) -> Result<PeerFrame, LinkError> {
        loop {
            if let Some(frame) = self.decode_buffered()? {
                return Ok(frame);
            }
            let Some(data) = self.stream.data().await else {
                let mid_message = !self.buffer.is_empty();
                return Err(if mid_message { LinkError::Truncated } else { LinkError::Closed });
            };
            let data = data?;
            self.stream.flow_control().release_capacity(data.len())?;
            self.buffer.extend_from_slice(&data);
        }
    }

    /// Removes the first message from the buffer. `None` means that it is incomplete.
    fn decode_buffered(&mut self) -> Result<Option<PeerFrame>, LinkError> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let body_bytes = u32::from_be_bytes(*prefix) as usize;
        if body_bytes > MAX_MESSAGE_BYTES {
            return Err(
                CodecError::TooLarge { bytes: body_bytes, max_bytes: MAX_MESSAGE_BYTES }.into()
            );
        }
        if self.buffer.len() < LENGTH_PREFIX_BYTES + body_bytes {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_PREFIX_BYTES);
        let frame = decode_message(&self.buffer.split_to(body_bytes))?;
        self.metrics
            .count_received(MessageKind::from(&frame.message), LENGTH_PREFIX_BYTES + body_bytes);
        Ok(Some(frame))
    }
}

/// Writes encoded messages to one direction of a link.
pub(crate) struct FrameWriter {
    stream: SendStream<Bytes>,
}

impl FrameWriter {
    pub(crate) fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream }
    }

    /// Writes bytes within the peer's flow-control window. Fails if the peer
    /// accepts no data for `STALL_TIMEOUT`.
    pub(crate) async fn write(&mut self, mut bytes: Bytes) -> Result<(), LinkError> {
        while !bytes.is_empty() {
            self.stream.reserve_capacity(bytes.len());
            // capacity left from an earlier reservation is available without a wait
            let capacity = match self.stream.capacity() {
                0 => self.wait_for_capacity().await?,
                capacity => capacity,
            };
            let part = bytes.split_to(capacity.min(bytes.len()));
            self.stream.send_data(part, false)?;
        }
        Ok(())
    }

    async fn wait_for_capacity(&mut self) -> Result<usize, LinkError> {
        let capacity = poll_fn(|cx| self.stream.poll_capacity(cx));
        match timeout(STALL_TIMEOUT, capacity).await {
            Err(_) => Err(LinkError::Stalled),
            Ok(None) => Err(LinkError::Closed),
            Ok(Some(result)) => Ok(result?),
        }
    }
}
