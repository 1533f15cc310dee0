use {
    crate::platform::{FaultInjector, LogCounters, Unavailable},
    mango_wire::platform::{LogRecord, ReadReply},
    parking_lot::{Condvar, Mutex},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

// Limit for the response to a read; a larger first record is still returned.
const MAX_READ_BYTES: usize = 1024 * 1024;
// Size of an encoded record without its body.
const RECORD_OVERHEAD_BYTES: usize = 64;

#[derive(Default)]
struct Stream {
    // includes expired records, which reads skip and tests inspect
    records: Vec<LogRecord>,
    appended: Arc<Condvar>,
}

/// Which responses to appends are lost.
struct LostResponses {
    // how many of the next responses are lost
    next: u32,
    probability: f64,
    random: SmallRng,
}

struct State {
    next_offset: u64,
    // first offset that has not expired
    first_offset: u64,
    streams: HashMap<String, Stream>,
    lost: LostResponses,
    counters: LogCounters,
}

/// The append-only log. One lock covers all streams, because a reader that
/// sees `next_offset` must also see every record below it.
pub(crate) struct LogStore {
    pub(crate) faults: FaultInjector,
    state: Mutex<State>,
}

impl LogStore {
    pub(crate) fn new() -> Self {
        let lost = LostResponses { next: 0, probability: 0.0, random: SmallRng::seed_from_u64(0) };
        Self {
            faults: FaultInjector::default(),
            state: Mutex::new(State {
                next_offset: 1,
                first_offset: 1,
                streams: HashMap::new(),
                lost,
                counters: LogCounters::default(),
            }),
        }
    }

    /// Appends a record and returns its offset.
    pub(crate) fn append(&self, stream: &str, body: String) -> u64 {
        let mut state = self.state.lock();
        let offset = state.next_offset;
        state.next_offset += 1;
        let stream = state.stream(stream);
        stream.records.push(LogRecord { at_ms: wall_clock_ms(), body, offset });
        stream.appended.notify_all();
        offset
    }

    /// Counts an append over HTTP and returns whether its response is lost.
    pub(crate) fn count_append(&self) -> bool {
        let mut state = self.state.lock();
        state.counters.appends += 1;
        let lost = &mut state.lost;
        let next = lost.next > 0;
        lost.next = lost.next.saturating_sub(1);
        let is_lost = next || lost.random.random_bool(lost.probability);
        state.counters.lost_responses += u64::from(is_lost);
        is_lost
    }

    pub(crate) fn count_refused(&self) {
        self.state.lock().counters.refused += 1;
    }

    /// Reads the records of a stream from an offset on. If there are none, waits for the
    /// first one until the deadline.
    pub(crate) fn read(
        &self,
        stream: &str,
        from: u64,
        deadline: Instant,
    ) -> Result<ReadReply, Unavailable> {
        let mut state = self.state.lock();
        loop {
            if !self.faults.is_available() {
                drop(state);
                self.faults.wait_until_available()?;
                state = self.state.lock();
                continue;
            }
            let first_offset = state.first_offset;
            let next_offset = state.next_offset;
            let stream = state.stream(stream);
            let records = stream.records_from(from.max(first_offset));
            if !records.is_empty() || Instant::now() >= deadline {
                state.counters.reads += 1;
                return Ok(ReadReply { first_offset, next_offset, records });
            }
            let appended = stream.appended.clone();
            appended.wait_until(&mut state, deadline);
        }
    }

    /// Wakes all long polls, so that they notice changed faults.
    pub(crate) fn wake_readers(&self) {
        for stream in self.state.lock().streams.values() {
            stream.appended.notify_all();
        }
    }

    pub(crate) fn lose_responses(&self, next: u32) {
        self.state.lock().lost.next = next;
    }

    pub(crate) fn set_response_loss(&self, probability: f64, seed: u64) {
        let mut state = self.state.lock();
        state.lost.probability = probability;
        state.lost.random = SmallRng::seed_from_u64(seed);
    }

    pub(crate) fn expire_before(&self, offset: u64) {
        let mut state = self.state.lock();
        state.first_offset = state.first_offset.max(offset.min(state.next_offset));
    }

    pub(crate) fn records(&self, stream: &str) -> Vec<LogRecord> {
        self.state.lock().streams.get(stream).map(|s| s.records.clone()).unwrap_or_default()
    }

    pub(crate) fn stream_names(&self) -> Vec<String> {
        let mut names: Vec<_> = self.state.lock().streams.keys().cloned().collect();
        names.sort();
        names
    }

    pub(crate) fn next_offset(&self) -> u64 {
        self.state.lock().next_offset
    }

    pub(crate) fn counters(&self) -> LogCounters {
        self.state.lock().counters
    }
}

impl State {
    fn stream(&mut self, name: &str) -> &mut Stream {
        if !self.streams.contains_key(name) {
            self.streams.insert(name.to_owned(), Stream::default());
        }
        self.streams.get_mut(name).expect("inserted above")
    }
}

impl Stream {
    /// Records from an offset on, as many as fit into one response.
    fn records_from(&self, offset: u64) -> Vec<LogRecord> {
        let start = self.records.partition_point(|r| r.offset < offset);
        let mut bytes = 0;
        let fits = |record: &&LogRecord| {
            let is_first = bytes == 0;
            bytes += record.body.len() + RECORD_OVERHEAD_BYTES;
            is_first || bytes <= MAX_READ_BYTES
        };
        self.records[start..].iter().take_while(fits).cloned().collect()
    }
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_millis() as u64
}
