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

const FIRST_PAUSE: Duration = Duration::from_millis(20);
const PEERS_WAIT: Duration = Duration::from_secs(10);

/// Reads the stream `config` by long polls into a store.
pub(super) struct Follower<L, S, O> {
    store: Arc<ConfigStore<L>>,
    peers: S,
    writer: SnapshotWriter<O>,
    poll: Duration,
    request: Duration,
    pause_max: Duration,
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
            poll: millis(settings.poll_ms),
            request: millis(settings.request_ms),
            pause_max: millis(settings.reconnect_max_ms).max(FIRST_PAUSE),
        }
    }

    /// Follows the stream until the store is stopped.
    pub(super) fn run(mut self) {
        let mut failures = 0;
        while !self.store.is_stopped() {
            let from = self.store.next();
            let started = Instant::now();
            let deadline = started + self.poll + self.request;
            match self.store.log().read(STREAM, from, self.poll, deadline) {
                Ok(reply) => {
                    failures = 0;
                    self.deliver(from, reply, started);
                }
                Err(e) => {
                    self.store.set_trouble(Some(format!("the log can't be read: {e}")));
                    self.ask_peers();
                    thread::sleep(self.pause(failures));
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
        // a read with records may be cut short by a size limit, so it says
        // nothing about the offsets after them
        let through = last.map_or(reply.next_offset, |offset| offset.saturating_add(1));
        self.store.confirm(from, through, reply.first_offset);
        if last.is_some() {
            return;
        }
        self.at_tail(reply.first_offset);
        // keeps a log that does not hold long polls from being read in a tight loop
        let short = self.poll / 4;
        if started.elapsed() < short {
            thread::sleep(short);
        }
    }

    fn at_tail(&mut self, first_kept: Offset) {
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

    fn ask_peers(&self) {
        if self.store.current().version() > 0 {
            return;
        }
        let fetched =
            fetch_snapshot(&self.peers, Instant::now() + PEERS_WAIT).and_then(|snapshot| {
                let version = snapshot.version;
                self.store.adopt_from_peer(snapshot).map(|adopted| (version, adopted))
            });
        match fetched {
            Ok((version, true)) => info!("event=config_from_peers version={version}"),
            Ok(_) => {}
            Err(detail) => info!("event=config_not_from_peers detail={}", quoted(detail)),
        }
    }

    // Doubles up to the limit; the jitter keeps a fleet from retrying in step.
    fn pause(&self, failures: u32) -> Duration {
        let longest = FIRST_PAUSE.saturating_mul(1 << failures.min(16)).min(self.pause_max);
        longest.mul_f64(0.5 + 0.5 * rand::random::<f64>())
    }
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
