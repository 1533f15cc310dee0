use {
    super::{ranked_hosts::ranked_hosts, shared::Shared},
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

/// Checks, while this host can't read the log, whether no other host can read it either.
/// Runs on its own thread.
pub(super) struct OutageProber {
    pub(super) shared: Arc<Shared>,
    pub(super) membership: Arc<Membership>,
    pub(super) net: PeerNet,
    pub(super) stopped: Receiver<()>,
}

#[derive(Clone, Copy, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum ProbeResult {
    /// More than half of the registered hosts can't read the log.
    Outage,
    /// A host reads the log, or a record exists that this host has not read.
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
            if self.shared.clock.is_leased(now) || self.shared.state.lock().owned.is_empty() {
                last = None;
                pause = lease / 20;
                continue;
            }
            let finding = self.probe(now);
            if finding == ProbeResult::LogInUse {
                self.shared.clock.revoke_outage_extension();
                self.notify_successors();
            }
            if last != Some(finding) {
                warn!("event=log_unreadable finding={finding}");
            }
            last = Some(finding);
            // a verified outage holds for one lease, so it is verified again after half of
            // one; the jitter keeps hosts from probing each other at the same time
            let interval = if finding == ProbeResult::Outage { lease / 2 } else { lease / 5 };
            let jitter = Duration::from_micros(random_range(0..=interval.as_micros() as u64 / 5));
            pause = (interval + jitter).saturating_sub(now.elapsed()).max(lease / 20);
        }
    }

    /// Sends a probe to the hosts that rank next for the owned resources. It reports that
    /// this host can't read the log, so that they take the resources over.
    fn notify_successors(&self) {
        let hosts = self.membership.live_hosts();
        let mut successors = HashSet::new();
        {
            let state = self.shared.state.lock();
            let Some(resources) = &state.resources else {
                return;
            };
            for (resource, region) in resources.iter() {
                if state.owned.contains_key(resource) {
                    // this host and two others, as hosts may compute different ranks
                    successors.extend(ranked_hosts(resource, region, &hosts, 3));
                }
            }
        }
        successors.remove(&self.shared.host_id);
        let probe = OutageProbe { log_offset: self.shared.read_offset() };
        for host in successors {
            self.net.send(&host, probe.clone().into());
        }
    }

    /// Asks the other registered hosts whether they can read the log. If more than half of
    /// all registered hosts can't, extends the time for which this host may act.
    fn probe(&self, started: Instant) -> ProbeResult {
        let shared = &self.shared;
        let lease = shared.clock.lease();
        let recently_read = |read: Instant| started.saturating_duration_since(read) < lease;
        // heartbeats may already have reported a recent read, which saves the probe
        if self.membership.newest_log_read().is_some_and(recently_read) {
            return ProbeResult::LogInUse;
        }
        let offset = shared.read_offset();
        if shared.known_offset() > offset {
            return ProbeResult::LogInUse;
        }
        shared.metrics.probes.inc();
        let registered = self.membership.registered_hosts();
        if registered.get(&shared.host_id) != Some(&shared.identity) {
            return ProbeResult::NoMajority;
        }
        let message = OutageProbe { log_offset: offset };
        let calls: Vec<_> = registered
            .iter()
            .filter(|(host, _)| **host != shared.host_id)
            .map(|(host, identity)| (identity, self.net.start_call(host, message.clone().into())))
            .collect();
        let deadline = started + lease / 4;
        let lease_ms = lease.as_millis();
        let mut confirmations = 1;
        for (identity, call) in calls {
            let Ok((answering, PeerMessage::OutageReply(reply))) =
                call.wait_with_identity(deadline)
            else {
                continue;
            };
            if reply.log_offset > offset || u128::from(reply.log_age_ms) < lease_ms {
                return ProbeResult::LogInUse;
            }
            // a process that restarted has lost the Take notices that it acknowledged
            confirmations += usize::from(*answering == **identity);
        }
        if confirmations <= registered.len() / 2 {
            return ProbeResult::NoMajority;
        }
        // A Take notice that arrived in the meantime withdraws the extension. If one arrives
        // between this check and the extension, that is safe: its sender waits for longer
        // than a lease from now, and the next probe does not verify the outage.
        if shared.known_offset() > offset {
            return ProbeResult::LogInUse;
        }
        shared.metrics.verified_outages.inc();
        shared.clock.extend_for_outage(started);
        ProbeResult::Outage
    }
}
