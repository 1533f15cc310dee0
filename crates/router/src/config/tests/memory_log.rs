use {
    crate::platform::{LogError, RecordLog},
    mango_wire::{
        Offset,
        platform::{LogRecord, ReadReply},
    },
    parking_lot::{Condvar, Mutex},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// In-memory log that can simulate expiry, outages and lost replies.
#[derive(Clone, Default)]
pub(crate) struct MemoryLog(Arc<(Mutex<Inner>, Condvar)>);

#[derive(Default)]
struct Inner {
    records: Vec<LogRecord>,
    next: Offset,
    first: Offset,
    down: bool,
    /// Whether appends store the record but report an unknown outcome.
    lose_answers: bool,
}

impl MemoryLog {
    pub(crate) fn set_down(&self, down: bool) {
        self.0.0.lock().down = down;
        self.0.1.notify_all();
    }

    pub(crate) fn lose_answers(&self, lose: bool) {
        self.0.0.lock().lose_answers = lose;
    }

    /// Drops all records below an offset.
    pub(crate) fn expire(&self, first: Offset) {
        let mut inner = self.0.0.lock();
        inner.first = first;
        inner.next = inner.next.max(first);
        inner.records.retain(|record| record.offset >= first);
    }

    pub(crate) fn bodies(&self) -> Vec<String> {
        self.0.0.lock().records.iter().map(|record| record.body.clone()).collect()
    }

    pub(crate) fn next_offset(&self) -> Offset {
        self.0.0.lock().next.max(1)
    }
}

impl RecordLog for MemoryLog {
    fn append(&self, _stream: &str, body: &str, _: Instant) -> Result<Offset, LogError> {
        let mut inner = self.0.0.lock();
        if inner.down {
            return Err(LogError::NotApplied("down".to_owned()));
        }
        let offset = inner.next.max(1);
        // leaves a gap, because records of other streams share the offset sequence
        inner.next = offset + 3;
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let at_ms = now.unwrap_or_default().as_millis() as u64;
        inner.records.push(LogRecord { offset, at_ms, body: body.to_owned() });
        self.0.1.notify_all();
        match inner.lose_answers {
            true => Err(LogError::Unknown("answer lost".to_owned())),
            false => Ok(offset),
        }
    }

    fn read(
        &self,
        _stream: &str,
        from: Offset,
        wait: Duration,
        _: Instant,
    ) -> Result<ReadReply, LogError> {
        let until = Instant::now() + wait;
        let mut inner = self.0.0.lock();
        loop {
            if inner.down {
                return Err(LogError::NotApplied("down".to_owned()));
            }
            // truncates replies to two records, as a size limit would
            let records: Vec<_> = inner
                .records
                .iter()
                .filter(|record| record.offset >= from)
                .take(2)
                .cloned()
                .collect();
            // the end and the records are taken together, as an append may come during the wait
            if !records.is_empty() || Instant::now() >= until {
                let (first_offset, next_offset) = (inner.first, inner.next.max(1));
                return Ok(ReadReply { records, first_offset, next_offset });
            }
            self.0.1.wait_until(&mut inner, until);
        }
    }
}
