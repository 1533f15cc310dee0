use {
    super::{permit::Permit, permit_reply::PermitReply},
    crate::{
        admission::AcquireResult,
        ownership::{Owner, Ownership},
        peer::{CallError, PeerNet},
        placement::LoadTable,
        router::{AdmissionOfRouter, EngineResources},
    },
    crossbeam::channel::{RecvTimeoutError, bounded},
    mango_wire::{
        ChatKey, EndpointKey, Epoch, HostId, PoolKey, TeamKey, WorkKey,
        peer::{
            Acquire, AcquireMode, CancelAcquire, ChatMoved, Grant, PassReason, PeerMessage,
            PermitInUse, Progress, Refuse, Release, ReleaseOutcome, Reregister,
        },
    },
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Interval at which a waiting request checks whether its caller has left.
const CALLER_CHECK: Duration = Duration::from_millis(50);
/// Longest wait for an answer of an owner that is asked not to queue.
const OWNER_WAIT: Duration = Duration::from_millis(250);

/// What a permit is asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitAsk {
    pub(crate) pool: PoolKey,
    pub(crate) team: TeamKey,
    pub(crate) work: WorkKey,
    pub(crate) chat: ChatKey,
    pub(crate) prompt_tokens: u32,
    pub(crate) deadline: Instant,
}

/// Why no permit was given.
#[derive(Clone, Copy, Debug)]
pub(crate) enum NoPermit {
    /// The owner's answer.
    Refused {
        reason: PassReason,
        retry_after_ms: u32,
        moved_to: Option<EndpointKey>,
    },
    /// The endpoint has no owner, or the owner did not answer.
    NoOwner,
    CallerLeft,
}

#[derive(Clone)]
struct InUse {
    team: TeamKey,
    work: WorkKey,
    long: bool,
    epoch: Epoch,
    /// Owner that knows of the permit.
    told_epoch: Epoch,
}

impl InUse {
    fn as_listed(&self, permit: u64) -> PermitInUse {
        PermitInUse { permit, epoch: self.epoch, team: self.team, work: self.work, long: self.long }
    }
}

/// Sends progress and releases to the owners, and remembers permits in use so
/// that a new owner can be told of them.
pub(crate) struct PermitReleaser {
    host_id: HostId,
    loads: Arc<LoadTable>,
    ownership: Arc<Ownership>,
    resources: Arc<EngineResources>,
    admission: Arc<AdmissionOfRouter>,
    peers: PeerNet,
    in_use: Mutex<HashMap<(EndpointKey, u64), InUse>>,
}

impl PermitReleaser {
    pub(crate) fn progress(&self, progress: Progress) {
        let Some(owner) = self.owner(progress.endpoint) else { return };
        if owner.host_id == self.host_id {
            self.admission.progress(&progress);
        } else {
            self.peers.send(&owner.host_id, PeerMessage::Progress(progress));
        }
    }

    pub(crate) fn release(&self, release: Release) {
        if release.outcome == ReleaseOutcome::Completed {
            self.loads.observe(release.endpoint, release.first_token_ms, release.gap_us);
        }
        self.in_use.lock().remove(&(release.endpoint, release.permit));
        let Some(owner) = self.owner(release.endpoint) else { return };
        if owner.host_id == self.host_id {
            self.admission.release(&self.host_id, &release);
        } else {
            self.peers.send(&owner.host_id, PeerMessage::Release(release));
        }
    }

    fn owner(&self, endpoint: EndpointKey) -> Option<Owner> {
        self.resources.with(endpoint, |resource| self.ownership.owner(resource))
    }

    /// Tells owners that took an endpoint over of all permits in use on it.
    pub(crate) fn reregister(&self) {
        let mut told: HashMap<EndpointKey, (Owner, Vec<PermitInUse>)> = HashMap::new();
        {
            let mut in_use = self.in_use.lock();
            for ((endpoint, _), used) in in_use.iter() {
                if let Some(owner) = self.owner(*endpoint)
                    && owner.epoch != used.told_epoch
                {
                    told.entry(*endpoint).or_insert((owner, Vec::new()));
                }
            }
            // the owner takes the list of an endpoint as complete
            for ((endpoint, permit), used) in in_use.iter_mut() {
                let Some((owner, permits)) = told.get_mut(endpoint) else { continue };
                used.told_epoch = owner.epoch;
                permits.push(used.as_listed(*permit));
            }
        }
        for (endpoint, (owner, permits)) in told {
            let reregister = Reregister { endpoint, permits };
            if owner.host_id == self.host_id {
                self.admission.reregister(&self.host_id, &reregister);
            } else {
                self.peers.send(&owner.host_id, PeerMessage::Reregister(reregister));
            }
        }
    }
}

/// Gets permits from the owners of endpoints.
pub(crate) struct PermitClient {
    releaser: Arc<PermitReleaser>,
    next_request: AtomicU64,
}

impl PermitClient {
    pub(crate) fn new(
        host_id: HostId,
        ownership: Arc<Ownership>,
        resources: Arc<EngineResources>,
        admission: Arc<AdmissionOfRouter>,
        peers: PeerNet,
        loads: Arc<LoadTable>,
    ) -> Self {
        let releaser = PermitReleaser {
            host_id,
            loads,
            ownership,
            resources,
            admission,
            peers,
            in_use: Mutex::default(),
        };
        Self { releaser: Arc::new(releaser), next_request: AtomicU64::new(1) }
    }

    pub(crate) fn releaser(&self) -> &Arc<PermitReleaser> {
        &self.releaser
    }

    /// Asks the endpoint's owner. `caller_left` is checked while the request waits.
    pub(crate) fn acquire(
        &self,
        ask: &PermitAsk,
        endpoint: EndpointKey,
        mode: AcquireMode,
        caller_left: &impl Fn() -> bool,
    ) -> Result<Permit, NoPermit> {
        let owner = self.releaser.owner(endpoint).ok_or(NoPermit::NoOwner)?;
        let asked_at = Instant::now();
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        let acquire = Acquire {
            request,
            endpoint,
            pool: ask.pool,
            mode,
            team: ask.team,
            work: ask.work,
            chat: ask.chat,
            prompt_tokens: ask.prompt_tokens,
            remaining_ms: ask.deadline.saturating_duration_since(asked_at).as_millis() as u32,
        };
        let wait_until = match mode {
            AcquireMode::Queue => ask.deadline,
            AcquireMode::IfWarm | AcquireMode::IfRoom => ask.deadline.min(asked_at + OWNER_WAIT),
        };
        let result = if owner.host_id == self.releaser.host_id {
            self.acquire_here(acquire, wait_until, caller_left)
        } else {
            self.acquire_there(&owner.host_id, acquire, wait_until, caller_left)
        };
        match result {
            Ok(AcquireResult::Granted(grant)) => Ok(self.permit(ask, grant)),
            Ok(AcquireResult::Refused(Refuse { reason, retry_after_ms, moved_to })) => {
                let moved_to = (moved_to != 0).then_some(moved_to);
                Err(NoPermit::Refused { reason, retry_after_ms, moved_to })
            }
            Err(none) => {
                self.cancel(&owner.host_id, CancelAcquire { request, endpoint });
                Err(none)
            }
        }
    }

    /// Tells the owner of a chat's home which engine runs the chat. A lost notice costs
    /// one cold start.
    pub(crate) fn chat_moved(&self, home: EndpointKey, chat: ChatKey, to: EndpointKey) {
        let Some(owner) = self.releaser.owner(home) else { return };
        let moved = ChatMoved { endpoint: home, chat, to };
        if owner.host_id == self.releaser.host_id {
            self.releaser.admission.chat_moved(&moved);
        } else {
            self.releaser.peers.send(&owner.host_id, PeerMessage::ChatMoved(moved));
        }
    }

    fn permit(&self, ask: &PermitAsk, grant: Grant) -> Permit {
        let in_use = InUse {
            team: ask.team,
            work: ask.work,
            long: grant.long,
            epoch: grant.epoch,
            told_epoch: grant.epoch,
        };
        self.releaser.in_use.lock().insert((grant.endpoint, grant.permit), in_use);
        // counted from the arrival of the grant: the owner allows for the way here
        let dispatch_deadline =
            Instant::now() + Duration::from_millis(u64::from(grant.dispatch_within_ms));
        Permit::new(grant, dispatch_deadline, self.releaser.clone())
    }

    fn acquire_here(
        &self,
        acquire: Acquire,
        wait_until: Instant,
        caller_left: &impl Fn() -> bool,
    ) -> Result<AcquireResult, NoPermit> {
        let (sender, receiver) = bounded(1);
        let reply = PermitReply::Local(sender);
        self.releaser.admission.acquire(&self.releaser.host_id, acquire, reply);
        loop {
            let now = Instant::now();
            match receiver.recv_deadline(wait_until.min(now + CALLER_CHECK)) {
                Ok(result) => return Ok(result),
                Err(RecvTimeoutError::Disconnected) => return Err(NoPermit::NoOwner),
                Err(RecvTimeoutError::Timeout) => check_wait(wait_until, caller_left)?,
            }
        }
    }

    fn acquire_there(
        &self,
        owner: &HostId,
        acquire: Acquire,
        wait_until: Instant,
        caller_left: &impl Fn() -> bool,
    ) -> Result<AcquireResult, NoPermit> {
        let call = self.releaser.peers.start_call(owner, PeerMessage::Acquire(acquire));
        loop {
            let now = Instant::now();
            match call.poll(wait_until.min(now + CALLER_CHECK)) {
                Ok(PeerMessage::Grant(grant)) => return Ok(AcquireResult::Granted(grant)),
                Ok(PeerMessage::Refuse(refuse)) => return Ok(AcquireResult::Refused(refuse)),
                Ok(_) => return Err(NoPermit::NoOwner),
                Err(CallError::Timeout) => check_wait(wait_until, caller_left)?,
                Err(_) => return Err(NoPermit::NoOwner),
            }
        }
    }

    fn cancel(&self, owner: &HostId, cancel: CancelAcquire) {
        if *owner == self.releaser.host_id {
            self.releaser.admission.cancel(&self.releaser.host_id, &cancel);
        } else {
            self.releaser.peers.send(owner, PeerMessage::CancelAcquire(cancel));
        }
    }
}

fn check_wait(wait_until: Instant, caller_left: &impl Fn() -> bool) -> Result<(), NoPermit> {
    if caller_left() {
        return Err(NoPermit::CallerLeft);
    }
    if Instant::now() >= wait_until {
        return Err(NoPermit::NoOwner);
    }
    Ok(())
}
