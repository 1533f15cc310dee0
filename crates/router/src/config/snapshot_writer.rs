use {
    super::{
        config_store::{ConfigStore, STREAM},
        snapshot_parts::snapshot_records,
    },
    crate::{logging::quoted, platform::RecordLog},
    log::{info, warn},
    mango_wire::settings::PlatformSettings,
    std::time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Appends snapshots to the log while this host owns the resource `config`. The
/// interval is a third of the log's retention, so that the log always retains at
/// least two.
pub(super) struct SnapshotWriter<O> {
    owns_config: O,
    interval: Duration,
    append_timeout: Duration,
    last_attempt: Option<Instant>,
}

impl<O: Fn() -> bool> SnapshotWriter<O> {
    pub(super) fn new(owns_config: O, settings: &PlatformSettings) -> Self {
        Self {
            owns_config,
            interval: Duration::from_millis(settings.retention_ms / 3),
            append_timeout: Duration::from_millis(u64::from(settings.request_ms)),
            last_attempt: None,
        }
    }

    /// Writes a snapshot if one is due and this host owns `config`.
    pub(super) fn write_if_due<L: RecordLog>(&mut self, store: &ConfigStore<L>) {
        if !self.is_due(store) || !(self.owns_config)() {
            return;
        }
        self.last_attempt = Some(Instant::now());
        match self.write(store) {
            Ok((version, parts)) => {
                store.metrics().snapshots_written.inc();
                info!("event=config_snapshot_written version={version} parts={parts}");
            }
            Err(detail) => {
                store.metrics().snapshot_failures.inc();
                warn!("event=config_snapshot_failed detail={}", quoted(detail));
            }
        }
    }

    fn is_due<L: RecordLog>(&self, store: &ConfigStore<L>) -> bool {
        // limits retries to one per tenth of the interval if an append fails or
        // the clocks of this host and the log differ by more than the interval
        if self.last_attempt.is_some_and(|at| at.elapsed() < self.interval / 10) {
            return false;
        }
        let Some(seen_at_ms) = store.snapshot_seen_at_ms() else { return true };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let age = now.saturating_sub(Duration::from_millis(seen_at_ms));
        age >= self.interval
    }

    fn write<L: RecordLog>(&self, store: &ConfigStore<L>) -> Result<(u64, usize), String> {
        let Some((next, config)) = store.position() else {
            return Err(
                "records between the configuration and the log position are missing".to_owned()
            );
        };
        let covered_offset = next.saturating_sub(1);
        let records = snapshot_records(&config, covered_offset, store.max_record_bytes())?;
        for body in &records {
            let deadline = Instant::now() + self.append_timeout;
            store.log().append(STREAM, body, deadline).map_err(|e| e.to_string())?;
        }
        Ok((config.version(), records.len()))
    }
}
