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

const FIRST_PAUSE: Duration = Duration::from_millis(20);
// An empty answer that comes much earlier than the requested wait would make
// the tail spin, so such answers are spaced by at least this.
const MIN_EMPTY_INTERVAL: Duration = Duration::from_millis(5);

/// Follows one stream of the log from its oldest kept record, by long polls on
/// a thread of its own.
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
            poll: Duration::from_millis(settings.poll_ms.into()),
            request: Duration::from_millis(settings.request_ms.into()),
            backoff: Backoff::new(
                FIRST_PAUSE,
                Duration::from_millis(settings.reconnect_max_ms.into()),
            ),
            stopped,
            sink,
            from: 0,
            started: false,
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
    poll: Duration,
    request: Duration,
    backoff: Backoff,
    stopped: Receiver<()>,
    sink: S,
    from: Offset,
    started: bool,
    /// A read whose answer may not have held all records up to its `next_offset`.
    unconfirmed: Option<ConfirmedRead>,
}

impl<L: RecordLog, S: TailSink> Follower<L, S> {
    fn run(mut self) {
        let mut failing = false;
        let mut pause = Duration::ZERO;
        while !self.pause_or_stop(pause) {
            let read_started = Instant::now();
            // a confirmation that is outstanding is fetched without waiting
            let wait = if self.unconfirmed.is_some() { Duration::ZERO } else { self.poll };
            let deadline = read_started + wait + self.request;
            match self.log.read(&self.stream, self.from, wait, deadline) {
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
                    self.fail(&error);
                    pause = self.backoff.next_pause();
                }
            }
        }
    }

    fn fail(&mut self, error: &LogError) {
        self.unconfirmed = None;
        self.sink.read_failed(error);
    }

    fn deliver(&mut self, reply: &ReadReply, read_started: Instant) {
        if self.started && reply.first_offset > self.from {
            warn!(
                "event=log_gap stream={} expected={} first={}",
                self.stream, self.from, reply.first_offset
            );
            self.unconfirmed = None;
            self.sink.gap(reply.first_offset);
        }
        self.started = true;
        self.from = self.from.max(reply.first_offset);
        for record in &reply.records {
            if record.offset < self.from {
                continue;
            }
            self.sink.record(record);
            self.from = record.offset + 1;
        }
        let current = ConfirmedRead { read_started, next_offset: reply.next_offset };
        if reply.records.is_empty() || self.from >= reply.next_offset {
            self.from = self.from.max(reply.next_offset);
            self.unconfirmed = None;
            self.sink.confirmed(current);
            return;
        }
        // The answer may have been cut short. A read is confirmed when the tail
        // has passed the offset that the log was at when it was answered.
        match self.unconfirmed {
            Some(earlier) if self.from >= earlier.next_offset => {
                self.unconfirmed = Some(current);
                self.sink.confirmed(earlier);
            }
            Some(_) => {}
            None => self.unconfirmed = Some(current),
        }
    }

    fn pause_after(&self, reply: &ReadReply, read_started: Instant, wait: Duration) -> Duration {
        if !reply.records.is_empty() || wait.is_zero() {
            return Duration::ZERO;
        }
        MIN_EMPTY_INTERVAL.min(wait).saturating_sub(read_started.elapsed())
    }

    /// Returns whether the thread is to end.
    fn pause_or_stop(&self, pause: Duration) -> bool {
        use crossbeam::channel::RecvTimeoutError::Timeout;
        !matches!(self.stopped.recv_timeout(pause), Err(Timeout))
    }
}
