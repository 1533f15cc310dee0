use {
    super::{log_error::LogError, record_log::RecordLog},
    mango_wire::{
        Offset,
        platform::{LogRecord, ReadReply},
    },
    parking_lot::{Condvar, Mutex},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// In-memory log for tests. Each client can be made to fail, to be slow or to lose
/// the response to an append.
#[derive(Clone, Default)]
pub(crate) struct MemoryLog {
    store: Arc<Store>,
    faults: Arc<Faults>,
}

#[derive(Default)]
struct Store {
    records: Mutex<Vec<(String, LogRecord)>>,
    changed: Condvar,
    down: AtomicBool,
}

#[derive(Default)]
struct Faults {
    disconnected: AtomicBool,
    read_only: AtomicBool,
    lose_answer: AtomicBool,
    read_delay_ms: AtomicU64,
}

impl MemoryLog {
    /// Returns another client of the same log.
    pub(crate) fn client(&self) -> Self {
        Self { store: self.store.clone(), faults: Arc::default() }
    }

    /// Makes all calls of all clients fail.
    pub(crate) fn set_down(&self, down: bool) {
        self.store.down.store(down, Ordering::SeqCst);
        self.store.changed.notify_all();
    }

    /// Makes all calls of this client fail.
    pub(crate) fn set_disconnected(&self, disconnected: bool) {
        self.faults.disconnected.store(disconnected, Ordering::SeqCst);
        self.store.changed.notify_all();
    }

    /// Makes all appends of this client fail.
    pub(crate) fn set_read_only(&self, read_only: bool) {
        self.faults.read_only.store(read_only, Ordering::SeqCst);
    }

    /// Makes this client's next append take effect but return an unknown result.
    pub(crate) fn lose_next_answer(&self) {
        self.faults.lose_answer.store(true, Ordering::SeqCst);
    }

    /// Delays the replies to this client's reads that contain records.
    pub(crate) fn delay_reads(&self, delay: Duration) {
        self.faults.read_delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Whether the append after `lose_next_answer` has taken place.
    pub(crate) fn answer_was_lost(&self) -> bool {
        !self.faults.lose_answer.load(Ordering::SeqCst)
    }

    /// Bodies of a stream's records.
    pub(crate) fn bodies(&self, stream: &str) -> Vec<String> {
        self.records(stream).into_iter().map(|record| record.body).collect()
    }

    /// Records of a stream.
    pub(crate) fn records(&self, stream: &str) -> Vec<LogRecord> {
        let records = self.store.records.lock();
        records.iter().filter(|(s, _)| s == stream).map(|(_, r)| r.clone()).collect()
    }

    fn check_reachable(&self) -> Result<(), LogError> {
        let fails = self.store.down.load(Ordering::SeqCst)
            || self.faults.disconnected.load(Ordering::SeqCst);
        if fails { Err(LogError::NotApplied("unreachable".to_owned())) } else { Ok(()) }
    }
}

impl RecordLog for MemoryLog {
    fn append(&self, stream: &str, body: &str, _deadline: Instant) -> Result<Offset, LogError> {
        self.check_reachable()?;
        if self.faults.read_only.load(Ordering::SeqCst) {
            return Err(LogError::NotApplied("read only".to_owned()));
        }
        let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let mut records = self.store.records.lock();
        let offset = records.len() as u64 + 1;
        records.push((stream.to_owned(), LogRecord { offset, at_ms, body: body.to_owned() }));
        self.store.changed.notify_all();
        if self.faults.lose_answer.swap(false, Ordering::SeqCst) {
            return Err(LogError::Unknown("answer lost".to_owned()));
        }
        Ok(offset)
    }

    fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
        _deadline: Instant,
    ) -> Result<ReadReply, LogError> {
        let until = Instant::now() + wait;
        let mut records = self.store.records.lock();
        loop {
            self.check_reachable()?;
            let found: Vec<LogRecord> = records
                .iter()
                .filter(|(s, record)| s == stream && record.offset >= from)
                .map(|(_, record)| record.clone())
                .take(16) // fewer than a test appends, so that replies are truncated
                .collect();
            if !found.is_empty() || Instant::now() >= until {
                let next_offset = records.len() as u64 + 1;
                drop(records);
                if !found.is_empty() {
                    let delay_ms = self.faults.read_delay_ms.load(Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(delay_ms));
                }
                return Ok(ReadReply { first_offset: 1, next_offset, records: found });
            }
            self.store.changed.wait_until(&mut records, until);
        }
    }
}
