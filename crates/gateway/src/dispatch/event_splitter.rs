/// Splits the bytes of an event stream into complete events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: Vec<u8>,
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
        while let Some(length) = event_length(&self.buffer[consumed..]) {
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
}

/// Length of the first complete event, including the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    while let Some(length) = bytes[line_start..].iter().position(|&byte| byte == b'\n') {
        let line = &bytes[line_start..line_start + length];
        let line_end = line_start + length + 1;
        if (line.is_empty() || line == b"\r") && line_start > 0 {
            return Some(line_end);
        }
        line_start = line_end;
    }
    None
}

/// The number in the `id:` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
