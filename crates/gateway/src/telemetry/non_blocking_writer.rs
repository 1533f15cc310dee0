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

/// Lines that wait for the writing thread; further ones are dropped and counted.
const QUEUE_LINES: usize = 512;
/// Lines per second beyond which lines are dropped and counted.
const MAX_LINES_PER_S: u64 = 300;
/// Pause after each write, in which lines collect for the next one.
const WRITE_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for the writing thread when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Entry {
    Line(String),
    /// Answered once all earlier lines are written.
    Flush(Sender<()>),
}

/// Writes log lines to standard output from a thread of its own, so that the
/// request path never waits for a reader.
pub(crate) struct NonBlockingWriter {
    entries: Sender<Entry>,
    dropped: Arc<AtomicU64>,
    second: AtomicU64,
    lines_this_second: AtomicU64,
}

impl NonBlockingWriter {
    pub(crate) fn spawn() -> io::Result<NonBlockingWriter> {
        let (entries, queue) = bounded(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 * 1024)
            .spawn(move || write_lines(&queue, &counter))?;
        Ok(NonBlockingWriter {
            entries,
            dropped,
            second: AtomicU64::new(0),
            lines_this_second: AtomicU64::new(0),
        })
    }

    fn is_within_budget(&self, unix_ms: u128) -> bool {
        let second = (unix_ms / 1_000) as u64;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines_this_second.store(0, Ordering::Relaxed);
        }
        self.lines_this_second.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_S
    }
}

impl LogWriter for NonBlockingWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        if !self.is_within_budget(unix_ms) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let level = record.level().as_str().to_ascii_lowercase();
        // a line break in a message must not start a new event
        let message = record.args().to_string().replace(['\n', '\r'], " ");
        let line = format!("ts_ms={unix_ms} level={level} {message}\n");
        if let Err(TrySendError::Full(_)) = self.entries.try_send(Entry::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits for earlier lines, but not for long: nobody may be reading them.
    fn flush(&self) -> io::Result<()> {
        let (done, is_done) = bounded(1);
        let is_queued = self.entries.send_timeout(Entry::Flush(done), FLUSH_TIMEOUT).is_ok();
        match is_queued && is_done.recv_timeout(FLUSH_TIMEOUT).is_ok() {
            true => Ok(()),
            false => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

fn write_lines(queue: &Receiver<Entry>, dropped: &AtomicU64) {
    let mut text = String::new();
    while let Ok(first) = queue.recv() {
        let mut flushes = Vec::new();
        for entry in std::iter::once(first).chain(queue.try_iter()) {
            match entry {
                Entry::Line(line) => text.push_str(&line),
                Entry::Flush(done) => flushes.push(done),
            }
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            text.push_str(&format!("level=warn event=log_lines_dropped count={count}\n"));
        }
        // without a reader there is nobody to tell
        let _ = io::stdout().write_all(text.as_bytes());
        text.clear();
        text.shrink_to(4_096);
        if flushes.is_empty() {
            thread::sleep(WRITE_PAUSE);
        }
        for done in flushes {
            // whoever asked may have given up waiting
            let _ = done.send(());
        }
    }
}
