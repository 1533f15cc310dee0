use {
    super::{
        ranked_hosts::ranked_hosts,
        resource_id::ResourceId,
        shared::{OwnedResource, Shared, State, resource_epochs},
    },
    crate::{
        membership::{HostInfo, Membership},
        peer::PeerNet,
        platform::{LogError, RecordLog},
    },
    crossbeam::channel::{Receiver, RecvTimeoutError},
    log::{info, warn},
    mango_wire::{
        HostId, Offset,
        peer::{PeerMessage, TakeNotice},
        records::{FleetRecord, Release, Seen, Take},
    },
    rand::random_range,
    std::{
        collections::HashMap,
        sync::{Arc, atomic::Ordering},
        thread,
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

pub(super) const FLEET_STREAM: &str = "fleet";
// Limits how many resources move at once after a host has joined, since a resource is not
// served during its handover.
const MAX_RELEASES_PER_ROUND: usize = 4;
// Keeps a record well below the log's size limit.
const MAX_RESOURCES_PER_TAKE: usize = 1024;
// The desired owner must stay the same for this many rounds before the current owner
// releases a resource, so that a flapping host moves no resources.
const STABLE_ROUNDS: u32 = 5;
// The host ranked second takes a resource that has been unowned for this many leases,
// because hosts may disagree on which host is ranked first.
const SECOND_CHOICE_LEASES: u32 = 3;
// A host does not take a resource over again for this many leases. Without this limit, two
// hosts that reach the log but not each other take it from each other in turn.
const HOLD_OFF_LEASES: u32 = 5;

/// Takes, activates, renews and releases resources by appending `Take` and `Release` records
/// to the stream `fleet`. If several hosts take a resource at the same time, the one whose
/// record is first in the log becomes the owner. Runs on its own thread.
pub(super) struct Controller<L> {
    pub(super) shared: Arc<Shared>,
    pub(super) membership: Arc<Membership>,
    pub(super) net: PeerNet,
    pub(super) log: L,
    pub(super) rebalance_interval: Duration,
    pub(super) request_timeout: Duration,
    pub(super) renewal_interval: Duration,
    /// Signals that a round should start before the interval has passed.
    pub(super) wake: Receiver<()>,
    /// Signals that the thread should end.
    pub(super) stopped: Receiver<()>,
    pub(super) round_state: RoundState,
}

/// State that the controller keeps from one round to the next.
pub(super) struct RoundState {
    /// Record of this host that the tail has not read back yet.
    pending_append: Option<PendingAppend>,
    /// When this host became registered and live.
    eligible_since: Option<Instant>,
    /// Owned resources that this host should not own, with the desired owner, if any, and
    /// since when that is the desired owner.
    misplaced: HashMap<ResourceId, (Option<HostId>, Instant)>,
    /// Resources without a live owner, and when that was first seen.
    unowned: HashMap<ResourceId, Instant>,
    /// Whether the last Take notice did not reach a majority.
    majority_unreached: bool,
    next_renewal: Instant,
    /// When the finished outage is due to be recorded.
    record_outage_at: Option<Instant>,
}

struct PendingAppend {
    /// Request id of a Take; empty for a Release.
    request_id: String,
    /// Offset of the record; `None` if the log's answer was lost.
    offset: Option<Offset>,
    /// When the append returned.
    answered: Instant,
}

impl RoundState {
    pub(super) fn new(renewal_interval: Duration) -> Self {
        Self {
            pending_append: None,
            eligible_since: None,
            misplaced: HashMap::new(),
            unowned: HashMap::new(),
            majority_unreached: false,
            next_renewal: Instant::now() + renewal_interval,
            record_outage_at: None,
        }
    }
}

impl<L: RecordLog> Controller<L> {
    pub(super) fn run(mut self) {
        // wake-ups come in bursts; the pause after a round lets the next one handle many
        let spacing = self.rebalance_interval / 20;
        loop {
            match self.wake.recv_timeout(self.rebalance_interval) {
                Ok(()) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.stopped.try_recv().is_ok() {
                return;
            }
            self.run_round();
            thread::sleep(spacing);
        }
    }

    fn run_round(&mut self) {
        let now = Instant::now();
        if !self.shared.state.lock().caught_up {
            return;
        }
        self.adopt_renewed();
        self.activate();
        // the other steps append records, which fails while the log is unreachable
        if !self.shared.clock.is_leased(now) {
            return;
        }
        self.record_outage(now);
        self.release_misplaced(now);
        if self.shared.draining.load(Ordering::Acquire) {
            return;
        }
        self.take_unowned(now);
        self.renew(now);
    }

    /// Adds the resources that the log assigns to this process but that are missing from
    /// the owned ones. That happens when the Take was missed and only a renewal was read.
    fn adopt_renewed(&self) {
        let mut state = self.shared.state.lock();
        let State { fleet, owned, .. } = &mut *state;
        for (resource, owner) in fleet.owners() {
            if owner.identity == self.shared.identity && !owned.contains_key(resource) {
                let adopted = OwnedResource {
                    epoch: owner.epoch,
                    awaits_lease_end: true,
                    acts_from: None,
                    releasing: false,
                };
                owned.insert(resource.clone(), adopted);
            }
        }
    }

    /// Sets the time from which this host may act on resources that it has taken: when a
    /// majority has acknowledged the Take and the previous owner's lease has ended.
    fn activate(&mut self) {
        let waiting: HashMap<ResourceId, u64> = {
            let state = self.shared.state.lock();
            let waits = |owned: &OwnedResource| owned.acts_from.is_none() && owned.awaits_lease_end;
            let waiting = state.owned.iter().filter(|(_, owned)| waits(owned));
            waiting.map(|(resource, owned)| (resource.clone(), owned.epoch)).collect()
        };
        let Some(newest) = waiting.values().max() else {
            return;
        };
        let informed = self.notify_majority(*newest);
        if informed == self.round_state.majority_unreached {
            self.round_state.majority_unreached = !informed;
            info!("event=take_notice offset={newest} majority_informed={informed}");
        }
        if !informed {
            return;
        }
        // Every host of the majority reports the Take in its answers to probes from now on,
        // so the previous owner can't verify an outage any more.
        let lease = self.shared.clock.lease();
        let acts_from = Instant::now() + lease + lease / 10;
        let mut state = self.shared.state.lock();
        for (resource, epoch) in &waiting {
            if let Some(owned) = state.owned.get_mut(resource)
                && owned.epoch == *epoch
            {
                owned.acts_from = Some(acts_from);
            }
        }
        self.shared.publish(&state);
    }

    /// Notifies the other hosts of a Take and returns whether more than half of the
    /// registered hosts, including this one, have acknowledged it.
    fn notify_majority(&self, offset: Offset) -> bool {
        let registered = self.membership.registered_hosts();
        let deadline = Instant::now() + self.shared.clock.lease() / 4;
        let is_registered = registered.get(&self.shared.host_id) == Some(&self.shared.identity);
        let mut others: Vec<_> =
            registered.iter().filter(|(host, _)| **host != self.shared.host_id).collect();
        // live hosts first, so that the wait for a dead host does not delay their answers
        others.sort_by_key(|(host, _)| !self.membership.is_live(host));
        let calls: Vec<_> = others
            .into_iter()
            .map(|(host, identity)| {
                (host, identity, self.net.start_call(host, TakeNotice { offset }.into()))
            })
            .collect();
        let mut informed = usize::from(is_registered);
        for (host, identity, call) in calls {
            // The answers of all live hosts are read even after a majority, because only
            // the hosts that were in an outage with the previous owner report that outage.
            if informed > registered.len() / 2 && !self.membership.is_live(host) {
                break;
            }
            // a process other than the registered one does not count, because its restart
            // would go unnoticed
            if let Ok((answering, PeerMessage::OutageReply(reply))) =
                call.wait_with_identity(deadline)
                && *answering == **identity
                && reply.log_offset > offset
            {
                informed += 1;
                // must be known before this host acts; its record may be read only later
                self.shared.record_reported_outage(reply.outage_began_ms, reply.outage_ended_ms);
            }
        }
        informed > registered.len() / 2
    }

    /// Live hosts except those that can't reach the log.
    fn owner_candidates(&self, now: Instant) -> Vec<HostInfo> {
        let live = self.membership.live_hosts();
        live.iter()
            .filter(|info| !self.shared.is_partitioned_from_log(&info.host_id, now))
            .cloned()
            .collect()
    }

    /// Appends an Outage record for the last outage of this host, unless a record of another
    /// host covers it. A random delay of up to a lease keeps the hosts from all appending at
    /// the same time.
    fn record_outage(&mut self, now: Instant) {
        let outage = {
            let mut state = self.shared.state.lock();
            let Some(outage) = state.unrecorded_outage.clone() else {
                self.round_state.record_outage_at = None;
                return;
            };
            let covered = state.fleet.newest_outage().is_some_and(|known| {
                known.began_ms <= outage.began_ms && known.ended_ms >= outage.ended_ms
            });
            if covered {
                state.unrecorded_outage = None;
                return;
            }
            outage
        };
        let lease_us = self.shared.clock.lease().as_micros() as u64;
        let at = *self
            .round_state
            .record_outage_at
            .get_or_insert_with(|| now + Duration::from_micros(random_range(0..=lease_us)));
        if now < at {
            return;
        }
        if self.append(&outage.clone().into()).is_err() {
            return;
        }
        let mut state = self.shared.state.lock();
        if state.unrecorded_outage.as_ref().is_some_and(|o| o.ended_ms == outage.ended_ms) {
            state.unrecorded_outage = None;
        }
    }

    /// Releases the resources that another host should own or that are not configured any
    /// more, or all resources when draining.
    fn release_misplaced(&mut self, now: Instant) {
        let draining = self.shared.draining.load(Ordering::Acquire);
        let hosts = self.owner_candidates(now);
        let mut state = self.shared.state.lock();
        let Some(resources) = state.resources.clone() else {
            return;
        };
        let regions: HashMap<&ResourceId, &str> =
            resources.iter().map(|(resource, region)| (resource, region.as_str())).collect();
        let stable = self.rebalance_interval * STABLE_ROUNDS;
        let State { owned, .. } = &mut *state;
        let misplaced = &mut self.round_state.misplaced;
        misplaced.retain(|resource, _| owned.contains_key(resource));
        let mut release_count = 0;
        for (resource, owned) in owned.iter_mut() {
            // A resource that is not active yet is kept: after its Release the next owner
            // would act at once, although the previous owner's lease may not have ended.
            if owned.releasing || owned.acts_from.is_none_or(|from| from > now) {
                continue;
            }
            let desired = regions
                .get(resource)
                .and_then(|region| ranked_hosts(resource, region, &hosts, 1).pop());
            let keep = match &desired {
                // the region has no live host, so this host keeps the resource if it is
                // still configured
                None => regions.contains_key(resource),
                Some(host) => {
                    *host == self.shared.host_id || self.membership.is_marked_leaving(host)
                }
            };
            if keep && !draining {
                misplaced.remove(resource);
                continue;
            }
            let (target, since) =
                misplaced.entry(resource.clone()).or_insert_with(|| (desired.clone(), now));
            if *target != desired {
                (*target, *since) = (desired, now);
            }
            let due = now.saturating_duration_since(*since) >= stable;
            if draining || (due && release_count < MAX_RELEASES_PER_ROUND) {
                release_count += 1;
                owned.releasing = true;
            }
        }
        let releasing = resource_epochs(state.owned.iter().filter(|(_, owned)| owned.releasing));
        // this host must stop acting before the Release takes effect
        self.shared.publish(&state);
        drop(state);
        self.append_release(releasing);
    }

    /// Appends a Release unless an earlier append is pending.
    fn append_release(&mut self, resources: Vec<Seen>) {
        if resources.is_empty() || !self.is_append_resolved() {
            return;
        }
        let record = Release {
            host_id: self.shared.host_id.clone(),
            identity: self.shared.identity.clone(),
            resources,
        };
        // The resources stay marked as releasing until the record is read back, so a lost
        // answer leads to a second Release, which has no effect.
        let result = self.append(&record.into());
        self.set_pending_append(String::new(), result);
    }

    /// Appends a Take of the unowned resources that this host should own.
    fn take_unowned(&mut self, now: Instant) {
        let eligible =
            self.membership.is_live_identity(&self.shared.host_id, &self.shared.identity);
        if !eligible {
            self.round_state.eligible_since = None;
            return;
        }
        // hosts that start at the same time need time to discover each other, else the
        // first one takes all resources
        let since = *self.round_state.eligible_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.rebalance_interval * 2
            || !self.is_append_resolved()
        {
            return;
        }
        let wanted = self.resources_to_take(now);
        if wanted.is_empty() {
            return;
        }
        let count = wanted.len();
        let request_id = Uuid::new_v4().to_string();
        let result = self.append_take(&request_id, wanted, false);
        info!("event=take_appended resources={count} ok={}", result.is_ok());
        self.set_pending_append(request_id, result);
    }

    /// Returns the resources without a live owner that this host should own.
    fn resources_to_take(&mut self, now: Instant) -> Vec<Seen> {
        let hosts = self.owner_candidates(now);
        let second_after = self.shared.clock.lease() * SECOND_CHOICE_LEASES;
        let hold_off = self.shared.clock.lease() * HOLD_OFF_LEASES;
        let mut state = self.shared.state.lock();
        state.taken_over_at.retain(|_, at| now.saturating_duration_since(*at) < hold_off);
        let Some(resources) = &state.resources else {
            return Vec::new();
        };
        let unowned = &mut self.round_state.unowned;
        if unowned.len() > resources.len() {
            unowned.clear();
        }
        let mut wanted = Vec::new();
        for (resource, region) in resources.iter() {
            let owner = state.fleet.owner(resource);
            if owner.is_some_and(|owner| {
                owner.identity == self.shared.identity
                    || self.membership.is_live_identity(&owner.host_id, &owner.identity)
                        && hosts.iter().any(|info| info.host_id == owner.host_id)
            }) {
                unowned.remove(resource);
                continue;
            }
            let since = *unowned.entry(resource.clone()).or_insert(now);
            let first_only = now.saturating_duration_since(since) < second_after;
            let max_rank = if first_only { 1 } else { 2 };
            let is_ranked =
                ranked_hosts(resource, region, &hosts, max_rank).contains(&self.shared.host_id);
            let held_off = owner.is_some() && state.taken_over_at.contains_key(resource);
            if is_ranked && !held_off && wanted.len() < MAX_RESOURCES_PER_TAKE {
                let epoch = owner.map_or(0, |owner| owner.epoch);
                wanted.push(Seen { resource: resource.as_str().to_owned(), epoch });
            }
        }
        wanted
    }

    /// Appends renewals of the owned resources before the log expires their Takes.
    fn renew(&mut self, now: Instant) {
        if now < self.round_state.next_renewal {
            return;
        }
        let mut held = resource_epochs(
            self.shared.state.lock().owned.iter().filter(|(_, owned)| !owned.releasing),
        );
        while !held.is_empty() {
            let chunk = held.split_off(held.len().saturating_sub(MAX_RESOURCES_PER_TAKE));
            if self.append_take(&Uuid::new_v4().to_string(), chunk, true).is_err() {
                return;
            }
        }
        self.round_state.next_renewal = now + self.renewal_interval;
    }

    /// Whether the effect of this host's last append is known. Clears the pending append
    /// if it is.
    fn is_append_resolved(&mut self) -> bool {
        let Some(pending_append) = &self.round_state.pending_append else {
            return true;
        };
        let resolved = match pending_append.offset {
            Some(offset) => self.shared.read_offset() > offset,
            None => {
                let state = self.shared.state.lock();
                let found = state.latest_take_request.as_ref() == Some(&pending_append.request_id);
                if found {
                    info!("event=lost_answer_found request={}", pending_append.request_id);
                }
                // The record may still appear later. The epochs that it names then decide
                // whether it is valid, as for any other record.
                found || self.shared.clock.last_confirmed_read() > pending_append.answered
            }
        };
        if resolved {
            self.round_state.pending_append = None;
        }
        resolved
    }

    /// Keeps an append as pending unless it certainly had no effect.
    fn set_pending_append(&mut self, request_id: String, result: Result<Offset, LogError>) {
        let offset = match result {
            Ok(offset) => Some(offset),
            Err(LogError::Unknown(_)) => None,
            Err(LogError::NotApplied(_)) => return,
        };
        let answered = Instant::now();
        self.round_state.pending_append = Some(PendingAppend { request_id, offset, answered });
    }

    fn append_take(
        &self,
        request_id: &str,
        resources: Vec<Seen>,
        renew: bool,
    ) -> Result<Offset, LogError> {
        let take = Take {
            request_id: request_id.to_owned(),
            host_id: self.shared.host_id.clone(),
            identity: self.shared.identity.clone(),
            resources,
            renew,
        };
        self.append(&take.into())
    }

    fn append(&self, record: &FleetRecord) -> Result<Offset, LogError> {
        let body = serde_json::to_string(record)
            .map_err(|error| LogError::NotApplied(error.to_string()))?;
        self.log
            .append(FLEET_STREAM, &body, Instant::now() + self.request_timeout)
            .inspect_err(|error| warn!("event=fleet_append_failed error=\"{error}\""))
    }
}
