use {
    super::{permit::Permit, permit_reply::PermitReply},
    crate::{
        admission::AcquireResult,
        ownership::{Owner, Ownership},
        peer::{CallError, PeerNet},
        placement::LoadTable,
        router::{EngineResources, RouterAdmission},
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

/// Interval at which a waiting request checks whether its caller has disconnected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for the answer of an owner that must not queue the request.
const OWNER_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Parameters of the request for a permit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitParams {
    pub(crate) pool: PoolKey,
    pub(crate) team: TeamKey,
    pub(crate) work: WorkKey,
    pub(crate) chat: ChatKey,
    pub(crate) prompt_tokens: u32,
    pub(crate) deadline: Instant,
}

/// Reason why no permit was acquired.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AcquireError {
    /// The owner refused the request.
    Refused {
        reason: PassReason,
        retry_after_ms: u32,
        /// Engine that the chat ran on, according to the owner.
        moved_to: Option<EndpointKey>,
    },
    /// The endpoint has no owner, or the owner did not answer.
    NoOwner,
    /// The caller disconnected while the request waited.
    CallerLeft,
}

/// A permit that this host holds.
#[derive(Clone)]
struct UsedPermit {
    team: TeamKey,
    work: WorkKey,
    long: bool,
    /// Epoch of the owner that granted the permit.
    epoch: Epoch,
    /// Epoch of the owner that the permit was last registered with.
    registered_epoch: Epoch,
}

impl UsedPermit {
    fn to_permit_in_use(&self, permit: u64) -> PermitInUse {
        PermitInUse { permit, epoch: self.epoch, team: self.team, work: self.work, long: self.long }
    }
}

/// Sends progress reports and releases of permits to the owners of their endpoints. Stores
/// the permits in use and registers them again when an endpoint gets a new owner.
pub(crate) struct PermitReporter {
    host_id: HostId,
    loads: Arc<LoadTable>,
    ownership: Arc<Ownership>,
    resources: Arc<EngineResources>,
    admission: Arc<RouterAdmission>,
    peers: PeerNet,
    in_use: Mutex<HashMap<(EndpointKey, u64), UsedPermit>>,
}

impl PermitReporter {
    /// Sends a progress report to the endpoint's current owner.
    pub(crate) fn send_progress(&self, progress: Progress) {
        let Some(owner) = self.owner(progress.endpoint) else { return };
        if owner.host_id == self.host_id {
            self.admission.progress(&progress);
        } else {
            self.peers.send(&owner.host_id, PeerMessage::Progress(progress));
        }
    }

    /// Removes the permit and sends its release to the endpoint's current owner.
    pub(crate) fn send_release(&self, release: Release) {
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

    /// Sends each new owner of an endpoint the list of all permits in use on it.
    pub(crate) fn reregister(&self) {
        let mut reregistrations: HashMap<EndpointKey, (Owner, Vec<PermitInUse>)> = HashMap::new();
        {
            let mut in_use = self.in_use.lock();
            for ((endpoint, _), used) in in_use.iter() {
                if let Some(owner) = self.owner(*endpoint)
                    && owner.epoch != used.registered_epoch
                {
                    reregistrations.entry(*endpoint).or_insert((owner, Vec::new()));
                }
            }
            // the list must be complete: the owner frees the permits that are not on it
            for ((endpoint, permit), used) in in_use.iter_mut() {
                let Some((owner, permits)) = reregistrations.get_mut(endpoint) else { continue };
                used.registered_epoch = owner.epoch;
                permits.push(used.to_permit_in_use(*permit));
            }
        }
        for (endpoint, (owner, permits)) in reregistrations {
            let reregister = Reregister { endpoint, permits };
            if owner.host_id == self.host_id {
                self.admission.reregister(&self.host_id, &reregister);
            } else {
                self.peers.send(&owner.host_id, PeerMessage::Reregister(reregister));
            }
        }
    }
}

/// Acquires permits from the owners of endpoints. The owner of an endpoint is the one host
/// that grants permits for it.
pub(crate) struct PermitClient {
    reporter: Arc<PermitReporter>,
    /// Number of the next `Acquire`.
    next_request: AtomicU64,
}

impl PermitClient {
    pub(crate) fn new(
        host_id: HostId,
        ownership: Arc<Ownership>,
        resources: Arc<EngineResources>,
        admission: Arc<RouterAdmission>,
        peers: PeerNet,
        loads: Arc<LoadTable>,
    ) -> Self {
        let reporter = PermitReporter {
            host_id,
            loads,
            ownership,
            resources,
            admission,
            peers,
            in_use: Mutex::default(),
        };
        Self { reporter: Arc::new(reporter), next_request: AtomicU64::new(1) }
    }

    /// Returns the sender of progress reports, releases and reregistrations.
    pub(crate) fn reporter(&self) -> &Arc<PermitReporter> {
        &self.reporter
    }

    /// Requests a permit from the endpoint's owner and waits for the answer. Stops waiting
    /// when `caller_left` returns `true`, and then withdraws the request at the owner.
    pub(crate) fn acquire(
        &self,
        params: &PermitParams,
        endpoint: EndpointKey,
        mode: AcquireMode,
        caller_left: &impl Fn() -> bool,
    ) -> Result<Permit, AcquireError> {
        let owner = self.reporter.owner(endpoint).ok_or(AcquireError::NoOwner)?;
        let requested_at = Instant::now();
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        let acquire = Acquire {
            request,
            endpoint,
            pool: params.pool,
            mode,
            team: params.team,
            work: params.work,
            chat: params.chat,
            prompt_tokens: params.prompt_tokens,
            remaining_ms: params.deadline.saturating_duration_since(requested_at).as_millis()
                as u32,
        };
        let wait_until = match mode {
            AcquireMode::Queue => params.deadline,
            AcquireMode::IfWarm | AcquireMode::IfRoom => {
                params.deadline.min(requested_at + OWNER_ANSWER_TIMEOUT)
            }
        };
        let result = if owner.host_id == self.reporter.host_id {
            self.acquire_locally(acquire, wait_until, caller_left)
        } else {
            self.acquire_remotely(&owner.host_id, acquire, wait_until, caller_left)
        };
        match result {
            Ok(AcquireResult::Granted(grant)) => Ok(self.create_permit(params, grant)),
            Ok(AcquireResult::Refused(Refuse { reason, retry_after_ms, moved_to })) => {
                let moved_to = (moved_to != 0).then_some(moved_to);
                Err(AcquireError::Refused { reason, retry_after_ms, moved_to })
            }
            Err(error) => {
                self.cancel_acquire(&owner.host_id, CancelAcquire { request, endpoint });
                Err(error)
            }
        }
    }

    /// Notifies the owner of the chat's home, the engine that rendezvous hashing ranks first
    /// for the chat, which engine runs the chat now. If the message is lost, one request of
    /// the chat may start on an engine that does not have its context cached.
    pub(crate) fn send_chat_moved(&self, home: EndpointKey, chat: ChatKey, to: EndpointKey) {
        let Some(owner) = self.reporter.owner(home) else { return };
        let moved = ChatMoved { endpoint: home, chat, to };
        if owner.host_id == self.reporter.host_id {
            self.reporter.admission.chat_moved(&moved);
        } else {
            self.reporter.peers.send(&owner.host_id, PeerMessage::ChatMoved(moved));
        }
    }

    /// Stores a granted permit as in use.
    fn create_permit(&self, params: &PermitParams, grant: Grant) -> Permit {
        let in_use = UsedPermit {
            team: params.team,
            work: params.work,
            long: grant.long,
            epoch: grant.epoch,
            registered_epoch: grant.epoch,
        };
        self.reporter.in_use.lock().insert((grant.endpoint, grant.permit), in_use);
        // counted from the arrival of the grant: the owner allows for its transit time
        let dispatch_deadline =
            Instant::now() + Duration::from_millis(u64::from(grant.dispatch_within_ms));
        Permit::new(grant, dispatch_deadline, self.reporter.clone())
    }

    fn acquire_locally(
        &self,
        acquire: Acquire,
        wait_until: Instant,
        caller_left: &impl Fn() -> bool,
    ) -> Result<AcquireResult, AcquireError> {
        let (sender, receiver) = bounded(1);
        let reply = PermitReply::Local(sender);
        self.reporter.admission.acquire(&self.reporter.host_id, acquire, reply);
        loop {
            let now = Instant::now();
            match receiver.recv_deadline(wait_until.min(now + CALLER_CHECK_INTERVAL)) {
                Ok(result) => return Ok(result),
                Err(RecvTimeoutError::Disconnected) => return Err(AcquireError::NoOwner),
                Err(RecvTimeoutError::Timeout) => check_wait(wait_until, caller_left)?,
            }
        }
    }

    fn acquire_remotely(
        &self,
        owner: &HostId,
        acquire: Acquire,
        wait_until: Instant,
        caller_left: &impl Fn() -> bool,
    ) -> Result<AcquireResult, AcquireError> {
        let call = self.reporter.peers.start_call(owner, PeerMessage::Acquire(acquire));
        loop {
            let now = Instant::now();
            match call.wait_until(wait_until.min(now + CALLER_CHECK_INTERVAL)) {
                Ok(PeerMessage::Grant(grant)) => return Ok(AcquireResult::Granted(grant)),
                Ok(PeerMessage::Refuse(refuse)) => return Ok(AcquireResult::Refused(refuse)),
                Ok(_) => return Err(AcquireError::NoOwner),
                Err(CallError::Timeout) => check_wait(wait_until, caller_left)?,
                Err(_) => return Err(AcquireError::NoOwner),
            }
        }
    }

    fn cancel_acquire(&self, owner: &HostId, cancel: CancelAcquire) {
        if *owner == self.reporter.host_id {
            self.reporter.admission.cancel(&self.reporter.host_id, &cancel);
        } else {
            self.reporter.peers.send(owner, PeerMessage::CancelAcquire(cancel));
        }
    }
}

/// Fails if the caller has disconnected or the wait has ended.
fn check_wait(wait_until: Instant, caller_left: &impl Fn() -> bool) -> Result<(), AcquireError> {
    if caller_left() {
        return Err(AcquireError::CallerLeft);
    }
    if Instant::now() >= wait_until {
        return Err(AcquireError::NoOwner);
    }
    Ok(())
}
