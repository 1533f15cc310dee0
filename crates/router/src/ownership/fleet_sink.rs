use {
    super::shared::Shared,
    crate::{
        membership::Membership,
        platform::{ConfirmedRead, LogError, TailSink},
    },
    log::{info, warn},
    mango_wire::{
        Offset,
        platform::LogRecord,
        records::{FleetRecord, Outage},
    },
    std::{
        sync::Arc,
        time::{Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Applies the records of the stream `fleet` to ownership and membership.
pub(crate) struct FleetSink {
    shared: Arc<Shared>,
    membership: Arc<Membership>,
    /// Start of the last confirmed read.
    last_read_started: Option<Instant>,
}

impl FleetSink {
    pub(crate) fn new(shared: Arc<Shared>, membership: Arc<Membership>) -> Self {
        Self { shared, membership, last_read_started: None }
    }

    /// Stores an outage for the controller to record if no read was confirmed for the length
    /// of the lease. The outage lasts until now and not until the start of this read: until
    /// now this host has reported to probes that it can't read the log, which may have let
    /// another host verify an outage.
    fn detect_outage(&mut self, read_started: Instant) {
        let Some(previous) = self.last_read_started.replace(read_started) else {
            return;
        };
        let unread_for = previous.elapsed();
        if unread_for < self.shared.clock.lease() {
            return;
        }
        let ended_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        let began_ms = ended_ms.saturating_sub(unread_for.as_millis() as u64);
        info!("event=log_outage_ended unread_ms={}", unread_for.as_millis());
        let mut state = self.shared.state.lock();
        // an earlier outage that is not recorded yet is merged with this one
        let began_ms = state.unrecorded_outage.as_ref().map_or(began_ms, |o| o.began_ms);
        let host_id = self.shared.host_id.clone();
        state.unrecorded_outage = Some(Outage { host_id, began_ms, ended_ms });
    }
}

impl TailSink for FleetSink {
    fn record(&mut self, record: &LogRecord) {
        let shared = &self.shared;
        match serde_json::from_str(&record.body) {
            Ok(FleetRecord::Join(join)) => self.membership.apply_join(&join, record.at_ms),
            Ok(FleetRecord::Leave(leave)) => self.membership.apply_leave(&leave, record.at_ms),
            Ok(FleetRecord::Take(take)) => {
                let mut state = shared.state.lock();
                let taken = state.fleet.apply_take(&take, record.offset, record.at_ms);
                shared.update_owned(&mut state, &take, &taken, record.offset);
                shared.publish(&state);
            }
            Ok(FleetRecord::Release(release)) => {
                let mut state = shared.state.lock();
                for resource in state.fleet.apply_release(&release, record.at_ms) {
                    if release.identity == shared.identity {
                        info!("event=resource_released resource={resource}");
                        state.owned.remove(&resource);
                        shared.metrics.released.inc();
                    }
                }
                shared.publish(&state);
            }
            Ok(FleetRecord::Outage(outage)) => {
                shared.state.lock().fleet.apply_outage(&outage, record.at_ms);
            }
            // a newer version of the router may write records of other kinds
            Err(error) => {
                warn!("event=fleet_record_ignored offset={} error=\"{error}\"", record.offset);
            }
        }
        shared.advance_read_offset(record.offset);
        shared.wake();
    }

    fn confirmed(&mut self, confirmed: ConfirmedRead) {
        self.detect_outage(confirmed.read_started);
        self.shared.clock.extend_lease(confirmed.read_started);
        self.membership.record_log_read(confirmed.read_started, self.shared.read_offset());
        let mut state = self.shared.state.lock();
        if !state.caught_up {
            state.caught_up = true;
            self.shared.publish(&state);
            self.shared.wake();
        }
    }

    fn gap(&mut self, first_offset: Offset) {
        warn!("event=fleet_records_missed first_offset={first_offset}");
        let mut state = self.shared.state.lock();
        state.fleet.reset();
        state.owned.clear();
        // must come first, because nothing is published while `caught_up` is false
        self.shared.publish(&state);
        state.caught_up = false;
        drop(state);
        self.membership.reset_registrations();
    }

    fn read_failed(&mut self, _error: &LogError) {}
}
