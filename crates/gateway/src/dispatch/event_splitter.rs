/// Cuts the bytes of an event stream into whole events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    pending: Vec<u8>,
}

/// Whole events that follow each other.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct WholeEvents {
    pub(super) bytes: Vec<u8>,
    /// Id of the last event that has one.
    pub(super) last_id: Option<u64>,
}

impl EventSplitter {
    /// Bytes of an event that is not whole yet.
    pub(super) fn input(&mut self) -> &mut Vec<u8> {
        &mut self.pending
    }

    pub(super) fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes the whole events received so far. Events up to `delivered` are left
    /// out: the caller has them already.
    pub(super) fn take_whole(&mut self, delivered: Option<u64>) -> WholeEvents {
        let mut events = WholeEvents::default();
        let mut used = 0;
        while let Some(length) = event_length(&self.pending[used..]) {
            let event = &self.pending[used..used + length];
            used += length;
            let id = event_id(event);
            if let (Some(id), Some(delivered)) = (id, delivered)
                && id <= delivered
            {
                continue;
            }
            events.bytes.extend_from_slice(event);
            events.last_id = id.or(events.last_id);
        }
        self.pending.drain(..used);
        events
    }
}

/// Length of the first event with its empty line.
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

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
