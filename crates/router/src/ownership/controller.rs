use {
    super::{
        choices::choices,
        resource_id::ResourceId,
        shared::{OwnResource, Shared, State, seen},
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
// Bounds how many resources a join moves at once; each pauses for a handover.
const MAX_RELEASES_PER_ROUND: usize = 4;
// Keeps a record far below the log's size limit.
const MAX_TAKES_PER_RECORD: usize = 1024;
// A desired owner must stay the same for this many rounds before the current
// owner gives a resource up, so that a flapping host moves nothing.
const STABLE_ROUNDS: u32 = 5;
// The second choice takes a resource that the first leaves unowned for this
// many leases, because hosts may disagree on which host is the first.
const SECOND_CHOICE_LEASES: u32 = 3;
// Two hosts that reach the log but not each other take each other's resources
// over; this many leases must pass before a host takes one over again.
const HOLD_OFF_LEASES: u32 = 5;

/// Takes, activates, renews and releases resources, on a thread of its own.
pub(super) struct Controller<L> {
    pub(super) shared: Arc<Shared>,
    pub(super) membership: Arc<Membership>,
    pub(super) net: PeerNet,
    pub(super) log: L,
    pub(super) rebalance: Duration,
    pub(super) request: Duration,
    pub(super) renewal: Duration,
    pub(super) wake: Receiver<()>,
    pub(super) stopped: Receiver<()>,
    pub(super) progress: Progress,
}

/// What the controller remembers from round to round.
pub(super) struct Progress {
    /// An own record whose effect has not been read yet.
    outstanding: Option<Outstanding>,
    /// Since when this host has been registered and live.
    eligible_since: Option<Instant>,
    /// Own resources that another host should have, and since when.
    misplaced: HashMap<ResourceId, (Option<HostId>, Instant)>,
    /// Resources without a live owner, and since when.
    unowned: HashMap<ResourceId, Instant>,
    majority_missing: bool,
    next_renewal: Instant,
    record_outage_at: Option<Instant>,
}

struct Outstanding {
    request_id: String,
    /// Offset, or none if the answer was lost.
    offset: Option<Offset>,
    answered: Instant,
}

impl Progress {
    pub(super) fn new(renewal: Duration) -> Self {
        Self {
            outstanding: None,
            eligible_since: None,
            misplaced: HashMap::new(),
            unowned: HashMap::new(),
            majority_missing: false,
            next_renewal: Instant::now() + renewal,
            record_outage_at: None,
        }
    }
}

impl<L: RecordLog> Controller<L> {
    pub(super) fn run(mut self) {
        // events come in bursts; rounds are spaced so that each serves many
        let spacing = self.rebalance / 20;
        loop {
            match self.wake.recv_timeout(self.rebalance) {
                Ok(()) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.stopped.try_recv().is_ok() {
                return;
            }
            self.round();
            thread::sleep(spacing);
        }
    }

    fn round(&mut self) {
        let now = Instant::now();
        if !self.shared.state.lock().confirmed {
            return;
        }
        self.adopt_renewed();
        self.activate();
        // the other steps append records, which an unreadable log won't take
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

    /// Finds resources that are this process's by a renewal alone, which happens
    /// when records were missed.
    fn adopt_renewed(&self) {
        let mut state = self.shared.state.lock();
        let State { fleet, own, .. } = &mut *state;
        for (resource, owner) in fleet.owners() {
            if owner.identity == self.shared.identity && !own.contains_key(resource) {
                let adopted = OwnResource {
                    epoch: owner.epoch,
                    must_wait: true,
                    acts_from: None,
                    releasing: false,
                };
                own.insert(resource.clone(), adopted);
            }
        }
    }

    /// Lets this host act on resources that it has taken, after a majority knows
    /// of the Take and the lease of the owner before has ended.
    fn activate(&mut self) {
        let waiting: HashMap<ResourceId, u64> = {
            let state = self.shared.state.lock();
            let waits = |own: &OwnResource| own.acts_from.is_none() && own.must_wait;
            let waiting = state.own.iter().filter(|(_, own)| waits(own));
            waiting.map(|(resource, own)| (resource.clone(), own.epoch)).collect()
        };
        let Some(newest) = waiting.values().max() else {
            return;
        };
        let informed = self.notify_majority(*newest);
        if informed == self.progress.majority_missing {
            self.progress.majority_missing = !informed;
            info!("event=take_notice offset={newest} majority_informed={informed}");
        }
        if !informed {
            return;
        }
        // Every host of the majority answers from now on that it knows of the
        // Take, so no outage verified later covers the owner before.
        let lease = self.shared.clock.lease();
        let acts_from = Instant::now() + lease + lease / 10;
        let mut state = self.shared.state.lock();
        for (resource, epoch) in &waiting {
            if let Some(own) = state.own.get_mut(resource)
                && own.epoch == *epoch
            {
                own.acts_from = Some(acts_from);
            }
        }
        self.shared.publish(&state);
    }

    /// Tells the other hosts of a Take and returns whether more than half of the
    /// registered hosts, this one included, know of it.
    fn notify_majority(&self, offset: Offset) -> bool {
        let registered = self.membership.registered_hosts();
        let deadline = Instant::now() + self.shared.clock.lease() / 4;
        let own = registered.get(&self.shared.host_id) == Some(&self.shared.identity);
        let mut others: Vec<_> =
            registered.iter().filter(|(host, _)| **host != self.shared.host_id).collect();
        // the wait for a dead host should not delay the count of the others
        others.sort_by_key(|(host, _)| !self.membership.is_live(host));
        let calls: Vec<_> = others
            .into_iter()
            .map(|(host, identity)| {
                (host, identity, self.net.start_call(host, TakeNotice { offset }.into()))
            })
            .collect();
        let mut informed = usize::from(own);
        for (host, identity, call) in calls {
            // Live hosts are heard even if more than half are informed, because only
            // those that were in an outage with the owner before know of it.
            if informed > registered.len() / 2 && !self.membership.is_live(host) {
                break;
            }
            // another process of the host does not count, it may restart unnoticed
            if let Ok((answering, PeerMessage::OutageReply(reply))) = call.wait_identified(deadline)
                && *answering == **identity
                && reply.log_offset > offset
            {
                informed += 1;
                // told before this host acts, since the record of it may come later
                self.shared.note_reported_outage(reply.outage_began_ms, reply.outage_ended_ms);
            }
        }
        informed > registered.len() / 2
    }

    /// Live hosts but for those that are cut off from the log.
    fn serving_hosts(&self, now: Instant) -> Vec<HostInfo> {
        let live = self.membership.live_hosts();
        live.iter().filter(|info| !self.shared.is_cut_off(&info.host_id, now)).cloned().collect()
    }

    /// Appends an Outage record some time after an outage, so that the hosts do
    /// not all append at once, unless another host's record covers it.
    fn record_outage(&mut self, now: Instant) {
        let outage = {
            let mut state = self.shared.state.lock();
            let Some(outage) = state.unrecorded_outage.clone() else {
                self.progress.record_outage_at = None;
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
            .progress
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

    /// Gives up resources that are another host's by rank or no longer
    /// configured; all of them when draining.
    fn release_misplaced(&mut self, now: Instant) {
        let draining = self.shared.draining.load(Ordering::Acquire);
        let hosts = self.serving_hosts(now);
        let mut state = self.shared.state.lock();
        let Some(resources) = state.resources.clone() else {
            return;
        };
        let regions: HashMap<&ResourceId, &str> =
            resources.iter().map(|(resource, region)| (resource, region.as_str())).collect();
        let stable = self.rebalance * STABLE_ROUNDS;
        let State { own, .. } = &mut *state;
        let misplaced = &mut self.progress.misplaced;
        misplaced.retain(|resource, _| own.contains_key(resource));
        let mut chosen = 0;
        for (resource, own) in own.iter_mut() {
            // A resource that is not active yet is kept: its Release would let the
            // next owner start while the owner before may still be in its lease.
            if own.releasing || own.acts_from.is_none_or(|from| from > now) {
                continue;
            }
            let desired =
                regions.get(resource).and_then(|region| choices(resource, region, &hosts, 1).pop());
            let keep = match &desired {
                // no live host in the region; this one keeps serving it
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
            if draining || (due && chosen < MAX_RELEASES_PER_ROUND) {
                chosen += 1;
                own.releasing = true;
            }
        }
        let releasing = seen(state.own.iter().filter(|(_, own)| own.releasing));
        // this host stops acting before the record can take effect
        self.shared.publish(&state);
        drop(state);
        self.append_release(releasing);
    }

    fn append_release(&mut self, resources: Vec<Seen>) {
        if resources.is_empty() || !self.is_settled() {
            return;
        }
        let record = Release {
            host_id: self.shared.host_id.clone(),
            identity: self.shared.identity.clone(),
            resources,
        };
        // Released resources stay marked until the record is read back, so a lost
        // answer leads to a second Release, which has no effect.
        let result = self.append(&record.into());
        self.note_outstanding(String::new(), result);
    }

    fn take_unowned(&mut self, now: Instant) {
        let eligible =
            self.membership.is_live_identity(&self.shared.host_id, &self.shared.identity);
        if !eligible {
            self.progress.eligible_since = None;
            return;
        }
        // hosts that start together should know of each other before the first
        // one takes all resources
        let since = *self.progress.eligible_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.rebalance * 2 || !self.is_settled() {
            return;
        }
        let wanted = self.wanted(now);
        if wanted.is_empty() {
            return;
        }
        let count = wanted.len();
        let request_id = Uuid::new_v4().to_string();
        let result = self.append_take(&request_id, wanted, false);
        info!("event=take_appended resources={count} ok={}", result.is_ok());
        self.note_outstanding(request_id, result);
    }

    /// Resources without a live owner that this host should have.
    fn wanted(&mut self, now: Instant) -> Vec<Seen> {
        let hosts = self.serving_hosts(now);
        let second_after = self.shared.clock.lease() * SECOND_CHOICE_LEASES;
        let hold_off = self.shared.clock.lease() * HOLD_OFF_LEASES;
        let mut state = self.shared.state.lock();
        state.taken_over.retain(|_, at| now.saturating_duration_since(*at) < hold_off);
        let Some(resources) = &state.resources else {
            return Vec::new();
        };
        let unowned = &mut self.progress.unowned;
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
            let considered = if first_only { 1 } else { 2 };
            let chosen =
                choices(resource, region, &hosts, considered).contains(&self.shared.host_id);
            let held_off = owner.is_some() && state.taken_over.contains_key(resource);
            if chosen && !held_off && wanted.len() < MAX_TAKES_PER_RECORD {
                let epoch = owner.map_or(0, |owner| owner.epoch);
                wanted.push(Seen { resource: resource.as_str().to_owned(), epoch });
            }
        }
        wanted
    }

    /// Repeats the own Takes before the log expires them.
    fn renew(&mut self, now: Instant) {
        if now < self.progress.next_renewal {
            return;
        }
        let mut held = seen(self.shared.state.lock().own.iter().filter(|(_, own)| !own.releasing));
        while !held.is_empty() {
            let part = held.split_off(held.len().saturating_sub(MAX_TAKES_PER_RECORD));
            if self.append_take(&Uuid::new_v4().to_string(), part, true).is_err() {
                return;
            }
        }
        self.progress.next_renewal = now + self.renewal;
    }

    /// Whether the effect of the newest own record is known.
    fn is_settled(&mut self) -> bool {
        let Some(outstanding) = &self.progress.outstanding else {
            return true;
        };
        let read_back = match outstanding.offset {
            Some(offset) => self.shared.read_offset() > offset,
            None => {
                let state = self.shared.state.lock();
                let found = state.newest_own_request.as_ref() == Some(&outstanding.request_id);
                if found {
                    info!("event=lost_answer_found request={}", outstanding.request_id);
                }
                // The record may still come later. It is then valid or void by
                // the epochs that it names, and in both cases handled as read.
                found || self.shared.clock.newest_read() > outstanding.answered
            }
        };
        if read_back {
            self.progress.outstanding = None;
        }
        read_back
    }

    fn note_outstanding(&mut self, request_id: String, result: Result<Offset, LogError>) {
        let offset = match result {
            Ok(offset) => Some(offset),
            Err(LogError::Unknown(_)) => None,
            Err(LogError::NotApplied(_)) => return,
        };
        let answered = Instant::now();
        self.progress.outstanding = Some(Outstanding { request_id, offset, answered });
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
            .append(FLEET_STREAM, &body, Instant::now() + self.request)
            .inspect_err(|error| warn!("event=fleet_append_failed error=\"{error}\""))
    }
}
