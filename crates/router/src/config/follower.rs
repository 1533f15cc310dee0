use {
    super::{
        config_store::{ConfigStore, STREAM},
        peer_snapshot::fetch_snapshot,
        snapshot_source::SnapshotSource,
        snapshot_writer::SnapshotWriter,
    },
    crate::{logging::quoted, platform::RecordLog},
    log::info,
    mango_wire::{Offset, platform::ReadReply, settings::PlatformSettings},
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const PEER_FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the stream `config` into a store by long polling.
pub(super) struct Follower<L, S, O> {
    store: Arc<ConfigStore<L>>,
    peers: S,
    writer: SnapshotWriter<O>,
    poll_timeout: Duration,
    request_timeout: Duration,
    max_backoff: Duration,
}

impl<L: RecordLog, S: SnapshotSource, O: Fn() -> bool> Follower<L, S, O> {
    pub(super) fn new(
        store: Arc<ConfigStore<L>>,
        peers: S,
        writer: SnapshotWriter<O>,
        settings: &PlatformSettings,
    ) -> Self {
        Self {
            store,
            peers,
            writer,
            poll_timeout: millis(settings.poll_ms),
            request_timeout: millis(settings.request_ms),
            max_backoff: millis(settings.reconnect_max_ms).max(INITIAL_BACKOFF),
        }
    }

    /// Follows the stream until the store is stopped.
    pub(super) fn run(mut self) {
        let mut failures = 0;
        while !self.store.is_stopped() {
            let from = self.store.next();
            let started = Instant::now();
            let deadline = started + self.poll_timeout + self.request_timeout;
            match self.store.log().read(STREAM, from, self.poll_timeout, deadline) {
                Ok(reply) => {
                    failures = 0;
                    self.deliver(from, reply, started);
                }
                Err(e) => {
                    self.store.set_trouble(Some(format!("the log can't be read: {e}")));
                    self.adopt_from_peers();
                    thread::sleep(self.backoff(failures));
                    failures += 1;
                }
            }
        }
    }

    fn deliver(&mut self, from: Offset, reply: ReadReply, started: Instant) {
        let last = reply.records.iter().map(|record| record.offset).max();
        for record in reply.records {
            self.store.apply(record);
        }
        // a reply with records may be truncated by a size limit, so it doesn't
        // confirm the offsets after its last record
        let through = last.map_or(reply.next_offset, |offset| offset.saturating_add(1));
        self.store.confirm(from, through, reply.first_offset);
        if last.is_some() {
            return;
        }
        self.handle_tail_reached(reply.first_offset);
        // prevents a busy loop if the log replies at once instead of holding the poll
        let min_poll = self.poll_timeout / 4;
        if started.elapsed() < min_poll {
            thread::sleep(min_poll);
        }
    }

    /// Handles a read without records, which means that the end of the stream is reached.
    fn handle_tail_reached(&mut self, first_kept: Offset) {
        if self.store.is_following() {
            self.store.set_trouble(None);
            self.writer.write_if_due(&*self.store);
            return;
        }
        let state = match self.store.current().version() {
            0 => "no configuration is in force".to_owned(),
            version => format!("version {version} is still in force"),
        };
        self.store.set_trouble(Some(format!(
            "the log starts at offset {first_kept} and holds no usable snapshot; {state}"
        )));
    }

    fn adopt_from_peers(&self) {
        if self.store.current().version() > 0 {
            return;
        }
        let fetched =
            fetch_snapshot(&self.peers, Instant::now() + PEER_FETCH_TIMEOUT).and_then(|snapshot| {
                let version = snapshot.version;
                self.store.adopt_from_peer(snapshot).map(|adopted| (version, adopted))
            });
        match fetched {
            Ok((version, true)) => info!("event=config_from_peers version={version}"),
            Ok(_) => {}
            Err(detail) => info!("event=config_not_from_peers detail={}", quoted(detail)),
        }
    }

    // Exponential backoff; the jitter prevents synchronised retries of many hosts.
    fn backoff(&self, failures: u32) -> Duration {
        let max_delay = INITIAL_BACKOFF.saturating_mul(1 << failures.min(16)).min(self.max_backoff);
        max_delay.mul_f64(0.5 + 0.5 * rand::random::<f64>())
    }
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
