use {
    super::{
        backoff::Backoff, confirmed_read::ConfirmedRead, log_error::LogError,
        record_log::RecordLog, tail_sink::TailSink,
    },
    crossbeam::channel::{Receiver, Sender, bounded},
    log::{info, warn},
    mango_wire::{Offset, platform::ReadReply, settings::PlatformSettings},
    std::{
        io, thread,
        time::{Duration, Instant},
    },
};

const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
// Least time between reads that return no records. Without it, the thread would
// spin on a log that responds much earlier than the requested wait.
const MIN_EMPTY_READ_INTERVAL: Duration = Duration::from_millis(5);

/// Follows one stream of the log from its oldest kept record, with long polls on
/// its own thread.
pub(crate) struct LogTail {
    stop: Sender<()>,
}

impl LogTail {
    /// Starts the thread. It ends on `stop` or when the handle is dropped, after
    /// the read in progress.
    pub(crate) fn spawn<L: RecordLog, S: TailSink>(
        log: L,
        stream: &str,
        settings: &PlatformSettings,
        sink: S,
    ) -> io::Result<Self> {
        let (stop, stopped) = bounded(1);
        let follower = Follower {
            log,
            stream: stream.to_owned(),
            poll_wait: Duration::from_millis(settings.poll_ms.into()),
            request_timeout: Duration::from_millis(settings.request_ms.into()),
            backoff: Backoff::new(
                INITIAL_BACKOFF,
                Duration::from_millis(settings.reconnect_max_ms.into()),
            ),
            stopped,
            sink,
            position: 0,
            first_reply_read: false,
            unconfirmed: None,
        };
        thread::Builder::new().name(format!("tail-{stream}")).spawn(move || follower.run())?;
        Ok(Self { stop })
    }

    /// Ends the thread after the read in progress.
    pub(crate) fn stop(&self) {
        // a full channel means that a stop is already requested
        let _ = self.stop.try_send(());
    }
}

struct Follower<L, S> {
    log: L,
    stream: String,
    poll_wait: Duration,
    request_timeout: Duration,
    backoff: Backoff,
    stopped: Receiver<()>,
    sink: S,
    /// Offset from which the next read starts.
    position: Offset,
    /// Whether a read has succeeded. The first one starts at offset 0, so records that
    /// expired before the oldest kept one are not reported as a gap.
    first_reply_read: bool,
    /// A read whose response may lack records below its `next_offset`.
    unconfirmed: Option<ConfirmedRead>,
}

impl<L: RecordLog, S: TailSink> Follower<L, S> {
    fn run(mut self) {
        let mut failing = false;
        let mut pause = Duration::ZERO;
        while !self.pause_or_stop(pause) {
            let read_started = Instant::now();
            // while a read is unconfirmed, the next ones return without waiting for records
            let wait = if self.unconfirmed.is_some() { Duration::ZERO } else { self.poll_wait };
            let deadline = read_started + wait + self.request_timeout;
            match self.log.read(&self.stream, self.position, wait, deadline) {
                Ok(reply) => {
                    if failing {
                        info!("event=log_tail_restored stream={}", self.stream);
                    }
                    failing = false;
                    self.backoff.reset();
                    pause = self.pause_after(&reply, read_started, wait);
                    self.deliver(&reply, read_started);
                }
                Err(error) => {
                    if !failing {
                        warn!("event=log_tail_failed stream={} error={error:?}", self.stream);
                    }
                    failing = true;
                    self.handle_failure(&error);
                    pause = self.backoff.next_pause();
                }
            }
        }
    }

    fn handle_failure(&mut self, error: &LogError) {
        self.unconfirmed = None;
        self.sink.read_failed(error);
    }

    fn deliver(&mut self, reply: &ReadReply, read_started: Instant) {
        if self.first_reply_read && reply.first_offset > self.position {
            warn!(
                "event=log_gap stream={} expected={} first={}",
                self.stream, self.position, reply.first_offset
            );
            self.unconfirmed = None;
            self.sink.gap(reply.first_offset);
        }
        self.first_reply_read = true;
        self.position = self.position.max(reply.first_offset);
        for record in &reply.records {
            if record.offset < self.position {
                continue;
            }
            self.sink.record(record);
            self.position = record.offset + 1;
        }
        let current = ConfirmedRead { read_started, next_offset: reply.next_offset };
        if reply.records.is_empty() || self.position >= reply.next_offset {
            self.position = self.position.max(reply.next_offset);
            self.unconfirmed = None;
            self.sink.confirmed(current);
            return;
        }
        // The response may have been truncated. A read is confirmed when the tail
        // has reached the `next_offset` of its response.
        match self.unconfirmed {
            Some(earlier) if self.position >= earlier.next_offset => {
                self.unconfirmed = Some(current);
                self.sink.confirmed(earlier);
            }
            Some(_) => {}
            None => self.unconfirmed = Some(current),
        }
    }

    /// Pause between a successful read and the next one.
    fn pause_after(&self, reply: &ReadReply, read_started: Instant, wait: Duration) -> Duration {
        if !reply.records.is_empty() || wait.is_zero() {
            return Duration::ZERO;
        }
        MIN_EMPTY_READ_INTERVAL.min(wait).saturating_sub(read_started.elapsed())
    }

    /// Waits for the pause. Returns whether the thread must end.
    fn pause_or_stop(&self, pause: Duration) -> bool {
        use crossbeam::channel::RecvTimeoutError::Timeout;
        !matches!(self.stopped.recv_timeout(pause), Err(Timeout))
    }
}
