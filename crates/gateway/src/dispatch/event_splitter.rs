/// Splits the bytes of an event stream into complete events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: Vec<u8>,
    /// Bytes of the partial event that were searched for its end.
    searched: usize,
    /// Start of the line of the partial event at which the search stopped.
    line_start: usize,
}

/// Consecutive complete events.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct CompleteEvents {
    pub(super) bytes: Vec<u8>,
    /// ID of the last event that has one.
    pub(super) last_id: Option<u64>,
}

impl EventSplitter {
    /// Buffer of the bytes that are not split yet; received bytes are appended to it.
    pub(super) fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    pub(super) fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes the complete events from the buffer. Events up to the ID `delivered` are
    /// dropped, since the caller already received them.
    pub(super) fn take_complete(&mut self, delivered: Option<u64>) -> CompleteEvents {
        let mut events = CompleteEvents::default();
        let mut consumed = 0;
        while let Some(length) = self.event_length(consumed) {
            let event = &self.buffer[consumed..consumed + length];
            consumed += length;
            let id = event_id(event);
            if let (Some(id), Some(delivered)) = (id, delivered)
                && id <= delivered
            {
                continue;
            }
            events.bytes.extend_from_slice(event);
            events.last_id = id.or(events.last_id);
        }
        self.buffer.drain(..consumed);
        events
    }

    /// Length of the complete event at `start`, including the empty line that ends it. If the
    /// event is incomplete, the next search continues where this one stopped.
    fn event_length(&mut self, start: usize) -> Option<usize> {
        let bytes = &self.buffer[start..];
        while let Some(length) = bytes[self.searched..].iter().position(|&byte| byte == b'\n') {
            let line_end = self.searched + length + 1;
            let line = &bytes[self.line_start..line_end - 1];
            let ends_event = (line.is_empty() || line == b"\r") && self.line_start > 0;
            (self.searched, self.line_start) = (line_end, line_end);
            if ends_event {
                (self.searched, self.line_start) = (0, 0);
                return Some(line_end);
            }
        }
        self.searched = bytes.len();
        None
    }
}

/// The number in the `id:` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
