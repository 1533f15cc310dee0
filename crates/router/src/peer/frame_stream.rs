use {
    super::{link_error::LinkError, message_kind::MessageKind, peer_metrics::PeerMetrics},
    bytes::{Buf, Bytes, BytesMut},
    h2::{RecvStream, SendStream},
    mango_wire::{DecodeError, MAX_MESSAGE_BYTES, decode_message, peer::PeerFrame},
    std::{future::poll_fn, time::Duration},
    tokio::time::timeout,
};

pub(crate) const LENGTH_BYTES: usize = 4;
// A peer that takes no data for this long holds up all messages to it; its
// link is closed so that callers learn of it.
const STALL: Duration = Duration::from_secs(5);

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
            if let Some(frame) = self.take_buffered()? {
                return Ok(frame);
            }
            let Some(data) = self.stream.data().await else {
                let within = !self.buffer.is_empty();
                return Err(if within { LinkError::Truncated } else { LinkError::Closed });
            };
            let data = data?;
            self.stream.flow_control().release_capacity(data.len())?;
            self.buffer.extend_from_slice(&data);
        }
    }

    fn take_buffered(&mut self) -> Result<Option<PeerFrame>, LinkError> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let bytes = u32::from_be_bytes(*prefix) as usize;
        if bytes > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLarge(bytes).into());
        }
        if self.buffer.len() < LENGTH_BYTES + bytes {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let frame = decode_message(&self.buffer.split_to(bytes))?;
        self.metrics.count_received(MessageKind::from(&frame.message), LENGTH_BYTES + bytes);
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

    /// Writes bytes within the peer's flow-control window. Fails when the peer
    /// takes no data for 5 s.
    pub(crate) async fn write(&mut self, mut bytes: Bytes) -> Result<(), LinkError> {
        while !bytes.is_empty() {
            self.stream.reserve_capacity(bytes.len());
            // capacity that is left from an earlier reservation needs no wait
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
        match timeout(STALL, capacity).await {
            Err(_) => Err(LinkError::Stalled),
            Ok(None) => Err(LinkError::Closed),
            Ok(Some(result)) => Ok(result?),
        }
    }
}
