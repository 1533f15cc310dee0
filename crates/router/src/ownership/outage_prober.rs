use {
    super::{choices::choices, shared::Shared},
    crate::{membership::Membership, peer::PeerNet},
    crossbeam::channel::{Receiver, RecvTimeoutError},
    log::warn,
    mango_wire::peer::{OutageProbe, PeerMessage},
    rand::random_range,
    std::{
        collections::HashSet,
        sync::Arc,
        time::{Duration, Instant},
    },
    strum::Display,
};

/// Finds out, when this host can't read the log, whether nobody can, on a
/// thread of its own.
pub(super) struct OutageProber {
    pub(super) shared: Arc<Shared>,
    pub(super) membership: Arc<Membership>,
    pub(super) net: PeerNet,
    pub(super) stopped: Receiver<()>,
}

#[derive(Clone, Copy, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum Finding {
    /// More than half of the registered hosts can't read the log.
    Outage,
    /// A host reads the log, or knows of a record that this host has not read.
    LogInUse,
    /// Too few hosts answered.
    NoMajority,
}

impl OutageProber {
    pub(super) fn run(self) {
        let lease = self.shared.clock.lease();
        let mut pause = lease / 20;
        let mut last = None;
        while let Err(RecvTimeoutError::Timeout) = self.stopped.recv_timeout(pause) {
            let now = Instant::now();
            if self.shared.clock.is_leased(now) || self.shared.state.lock().own.is_empty() {
                last = None;
                pause = lease / 20;
                continue;
            }
            let finding = self.probe(now);
            if finding == Finding::LogInUse {
                self.shared.clock.revoke_outage();
                self.tell_successors();
            }
            if last != Some(finding) {
                warn!("event=log_unreadable finding={finding}");
            }
            last = Some(finding);
            // a verified outage lasts one lease and is confirmed again in time;
            // the jitter keeps hosts from probing each other all at once
            let interval = if finding == Finding::Outage { lease / 2 } else { lease / 5 };
            let jitter = Duration::from_micros(random_range(0..=interval.as_micros() as u64 / 5));
            pause = (interval + jitter).saturating_sub(now.elapsed()).max(lease / 20);
        }
    }

    /// Lets the hosts that are next in rank for the own resources know that this
    /// host can't read the log, so that they take them over.
    fn tell_successors(&self) {
        let hosts = self.membership.live_hosts();
        let mut successors = HashSet::new();
        {
            let state = self.shared.state.lock();
            let Some(resources) = &state.resources else {
                return;
            };
            for (resource, region) in resources.iter() {
                if state.own.contains_key(resource) {
                    // two others, as they may rank each other differently
                    successors.extend(choices(resource, region, &hosts, 3));
                }
            }
        }
        successors.remove(&self.shared.host_id);
        let probe = OutageProbe { log_offset: self.shared.read_offset() };
        for host in successors {
            self.net.send(&host, probe.clone().into());
        }
    }

    fn probe(&self, started: Instant) -> Finding {
        let shared = &self.shared;
        let lease = shared.clock.lease();
        let recently_read = |read: Instant| started.saturating_duration_since(read) < lease;
        // heartbeats tell at no cost that somebody reads the log
        if self.membership.newest_log_read().is_some_and(recently_read) {
            return Finding::LogInUse;
        }
        let offset = shared.read_offset();
        if shared.known_offset() > offset {
            return Finding::LogInUse;
        }
        shared.metrics.probes.inc();
        let registered = self.membership.registered_hosts();
        if registered.get(&shared.host_id) != Some(&shared.identity) {
            return Finding::NoMajority;
        }
        let message = OutageProbe { log_offset: offset };
        let calls: Vec<_> = registered
            .iter()
            .filter(|(host, _)| **host != shared.host_id)
            .map(|(host, identity)| (identity, self.net.start_call(host, message.clone().into())))
            .collect();
        let deadline = started + lease / 4;
        let lease_ms = lease.as_millis();
        let mut agreeing = 1;
        for (identity, call) in calls {
            let Ok((answering, PeerMessage::OutageReply(reply))) = call.wait_identified(deadline)
            else {
                continue;
            };
            if reply.log_offset > offset || u128::from(reply.log_age_ms) < lease_ms {
                return Finding::LogInUse;
            }
            // a process that restarted has lost the notices that it acknowledged
            agreeing += usize::from(*answering == **identity);
        }
        if agreeing <= registered.len() / 2 {
            return Finding::NoMajority;
        }
        // A notice that came meanwhile revokes the outage. Its sender waits for
        // longer than a lease from now, so setting the deadline after it is safe,
        // and the next probe does not verify the outage.
        if shared.known_offset() > offset {
            return Finding::LogInUse;
        }
        shared.metrics.verified_outages.inc();
        shared.clock.verify_outage(started);
        Finding::Outage
    }
}
