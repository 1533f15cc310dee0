use {
    crossbeam::channel::{Receiver, Sender, TrySendError, bounded},
    flexi_logger::{DeferredNow, writers::LogWriter},
    log::Record,
    std::{
        io::{self, Write},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Maximum entries in the queue to the log thread; further lines are dropped and counted.
const QUEUE_CAPACITY: usize = 512;
/// Most bytes that are written at once: a pipe takes as many in one piece, so that lines of several
/// processes do not mix and a collector that reads in blocks gets whole lines.
const MAX_WRITE_BYTES: usize = 4_096;
/// Maximum lines per second; further lines are dropped and counted.
const MAX_LINES_PER_S: u64 = 300;
/// Pause after each write, so that the next write contains several lines.
const WRITE_PAUSE: Duration = Duration::from_millis(50);

/// Maximum wait of a flush, first for space in the queue, then for the log thread.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Entry {
    Line(String),
    /// The log thread sends on the channel when all earlier lines are written.
    Flush(Sender<()>),
}

/// Writes log lines to standard output in a separate thread, so that a slow reader of the
/// output never blocks the handling of requests.
pub(crate) struct NonBlockingWriter {
    entries: Sender<Entry>,
    dropped: Arc<AtomicU64>,
    /// Unix time, in seconds, of the second whose lines `lines_this_second` counts.
    current_second: AtomicU64,
    lines_this_second: AtomicU64,
}

impl NonBlockingWriter {
    /// Starts the log thread.
    pub(crate) fn spawn() -> io::Result<NonBlockingWriter> {
        let (entries, queue) = bounded(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_clone = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 * 1024)
            .spawn(move || write_lines(&queue, &dropped_clone))?;
        Ok(NonBlockingWriter {
            entries,
            dropped,
            current_second: AtomicU64::new(0),
            lines_this_second: AtomicU64::new(0),
        })
    }

    /// Counts a line. Returns whether the rate limit allows it.
    fn is_within_rate_limit(&self, unix_ms: u128) -> bool {
        let second = (unix_ms / 1_000) as u64;
        if self.current_second.swap(second, Ordering::Relaxed) != second {
            self.lines_this_second.store(0, Ordering::Relaxed);
        }
        self.lines_this_second.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_S
    }
}

impl LogWriter for NonBlockingWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        if !self.is_within_rate_limit(unix_ms) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let level = record.level().as_str().to_ascii_lowercase();
        // a message must stay on one line, since each line is one event
        let message = record.args().to_string().replace(['\n', '\r'], " ");
        let line = format!("ts_ms={unix_ms} level={level} {message}\n");
        if let Err(TrySendError::Full(_)) = self.entries.try_send(Entry::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until all earlier lines are written. The wait is limited, since the log thread is
    /// blocked if standard output is not read.
    fn flush(&self) -> io::Result<()> {
        let (flushed_sender, flushed) = bounded(1);
        let is_queued =
            self.entries.send_timeout(Entry::Flush(flushed_sender), FLUSH_TIMEOUT).is_ok();
        match is_queued && flushed.recv_timeout(FLUSH_TIMEOUT).is_ok() {
            true => Ok(()),
            false => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

/// Loop of the log thread: writes the queued lines until the writer is dropped.
fn write_lines(queue: &Receiver<Entry>, dropped: &AtomicU64) {
    let mut text = String::new();
    while let Ok(first) = queue.recv() {
        let mut flushes = Vec::new();
        for entry in std::iter::once(first).chain(queue.try_iter()) {
            match entry {
                Entry::Line(line) => text.push_str(&line),
                Entry::Flush(flushed_sender) => flushes.push(flushed_sender),
            }
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            text.push_str(&format!("level=warn event=log_lines_dropped count={count}\n"));
        }
        for part in parts_of_lines(&text) {
            // an error cannot be reported: standard output is the only log
            let _ = io::stdout().write_all(part.as_bytes());
        }
        text.clear();
        text.shrink_to(4_096);
        if flushes.is_empty() {
            thread::sleep(WRITE_PAUSE);
        }
        for flushed_sender in flushes {
            // sending fails if the flush has timed out
            let _ = flushed_sender.send(());
        }
    }
}

/// Splits lines into parts that are written at once: whole lines of up to `MAX_WRITE_BYTES` together, or
/// a single longer one.
pub(super) fn parts_of_lines(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let (mut start, mut end) = (0, 0);
    for line in text.split_inclusive('\n') {
        if end > start && end + line.len() - start > MAX_WRITE_BYTES {
            parts.push(&text[start..end]);
            start = end;
        }
        end += line.len();
    }
    if end > start {
        parts.push(&text[start..end]);
    }
    parts
}
