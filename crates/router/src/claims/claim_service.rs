use {
    super::{
        ClaimOptions, RangeAuthority, WallClock,
        claim_metrics::ClaimMetrics,
        command::{ClaimCall, Command},
        range_writer::{RangeStatus, RangeWriter},
    },
    crate::{metrics::Metrics, platform::RecordLog},
    crossbeam::channel::{Sender, bounded},
    mango_wire::{
        HostId,
        peer::{AbandonReport, ClaimReply, ClaimRequest, ClaimResult, OutcomeReport},
    },
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        io,
        sync::{Arc, atomic::Ordering},
        thread,
        time::{Duration, Instant},
    },
};

// Commands of one range that its writer has not taken yet.
const MAX_COMMANDS: usize = 16_384;
const SETTLE_POLL: Duration = Duration::from_millis(5);

/// At-most-once execution of non-idempotent requests: the owner's side of key ranges.
/// Dropping it ends the writers, which refuse what is undecided.
pub(crate) struct ClaimService {
    host_id: HostId,
    ranges: Vec<RangeHandle>,
    down_hosts: Arc<Mutex<HashMap<HostId, u64>>>,
    now_ms: Box<dyn Fn() -> u64 + Send + Sync>,
    retention_ms: u64,
    metrics: ClaimMetrics,
}

struct RangeHandle {
    commands: Sender<Command>,
    status: Arc<RangeStatus>,
}

impl RangeHandle {
    /// Gives the command back if the queue is full or the writer has ended.
    fn try_send(&self, command: Command) -> Option<Command> {
        self.status.unhandled.fetch_add(1, Ordering::Relaxed);
        let error = self.commands.try_send(command).err()?;
        self.status.unhandled.fetch_sub(1, Ordering::Relaxed);
        Some(error.into_inner())
    }
}

impl ClaimService {
    /// Starts one writer thread per key range. A writer serves whenever `authority`
    /// has an acting epoch for its range. Fails if a thread can't be started.
    pub(crate) fn spawn<L: RecordLog, A: RangeAuthority, C: WallClock>(
        options: ClaimOptions,
        log: Arc<L>,
        authority: Arc<A>,
        clock: Arc<C>,
        metrics: &Metrics,
    ) -> io::Result<Arc<Self>> {
        let metrics = ClaimMetrics::register(metrics);
        let down_hosts = Arc::new(Mutex::new(HashMap::new()));
        let mut ranges = Vec::new();
        for range in 0..options.ranges {
            let (sender, receiver) = bounded(MAX_COMMANDS);
            let status = Arc::new(RangeStatus::default());
            let writer = RangeWriter {
                range,
                log: log.clone(),
                authority: authority.clone(),
                clock: clock.clone(),
                options: options.clone(),
                metrics: metrics.clone(),
                commands: receiver,
                status: status.clone(),
                down_hosts: down_hosts.clone(),
                keys_shown: 0,
                commands_taken: 0,
                next_append: Instant::now(),
                next_review: Instant::now(),
                retry_pause: options.batch,
            };
            thread::Builder::new().name(format!("claims-{range}")).spawn(move || writer.run())?;
            ranges.push(RangeHandle { commands: sender, status });
        }
        let now_ms = Box::new(move || clock.now_ms());
        Ok(Arc::new(Self {
            host_id: options.host_id,
            retention_ms: options.retention_ms,
            ranges,
            down_hosts,
            now_ms,
            metrics,
        }))
    }

    /// Claims a key for a request of this host. See `claim_from`.
    pub(crate) fn claim<R>(&self, request: ClaimRequest, reply: R)
    where
        R: FnOnce(ClaimReply) + Send + 'static,
    {
        self.claim_from(&self.host_id, request, reply);
    }

    /// Claims a key for a request of `origin`. `reply` is called once, on another
    /// thread; it must not block.
    ///
    /// A malformed key is answered `key_expired`; the caller side checks it before.
    /// After `granted` the request may be sent once. All other results mean that this
    /// request was not sent. A request that was answered `not_owner` or got no answer
    /// may have been recorded: it may claim again with the same request id, at any
    /// owner, or it is given up with `abandon`. A request id that was abandoned must
    /// not be used again.
    pub(crate) fn claim_from<R>(&self, origin: &HostId, request: ClaimRequest, reply: R)
    where
        R: FnOnce(ClaimReply) + Send + 'static,
    {
        let deadline = Instant::now() + Duration::from_millis(request.remaining_ms.into());
        let range = request.range as usize;
        let call = ClaimCall { origin: origin.clone(), request, deadline, reply: Box::new(reply) };
        let Some(handle) = self.ranges.get(range) else {
            return self.refuse(call, ClaimResult::NotOwner);
        };
        if let Some(Command::Claim(call)) = handle.try_send(Command::Claim(call)) {
            self.refuse(call, ClaimResult::Unavailable);
        }
    }

    /// Records the answer to a granted request. Status 0 says that the request failed
    /// and may have run. Returns whether this host serves the range; if not, the report
    /// has to go to the owner. The record is appended later.
    pub(crate) fn record_outcome(&self, report: OutcomeReport) -> bool {
        self.report(report.range, Command::Outcome(report))
    }

    /// Frees the key of a request of which nothing was sent. Returns as `record_outcome`.
    pub(crate) fn abandon(&self, report: AbandonReport) -> bool {
        self.report(report.range, Command::Abandon(report))
    }

    /// Running claims of a host that died get no outcome: repeats are answered
    /// `may_have_run`.
    pub(crate) fn host_down(&self, host: &HostId) {
        let now_ms = (self.now_ms)();
        let mut down_hosts = self.down_hosts.lock();
        down_hosts.retain(|_, down_ms| *down_ms + self.retention_ms > now_ms);
        down_hosts.insert(host.clone(), now_ms);
        drop(down_hosts);
        for handle in &self.ranges {
            // A full queue loses the event: repeats are then answered `in_progress`,
            // which has the same verdict.
            let _ = handle.try_send(Command::HostDown(host.clone()));
        }
    }

    /// Ends the writers, which refuse what is undecided. Parts of a router that
    /// can't be stopped may hold the handle for longer.
    pub(crate) fn stop(&self) {
        for handle in &self.ranges {
            handle.status.stopped.store(true, Ordering::Release);
        }
    }

    /// Waits until everything received is on the log, before a planned handover.
    /// Returns false if the deadline passes first.
    pub(crate) fn wait_until_recorded(&self, deadline: Instant) -> bool {
        while !self.is_settled() {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(SETTLE_POLL);
        }
        true
    }

    fn is_settled(&self) -> bool {
        self.ranges.iter().all(|handle| {
            let status = &handle.status;
            status.unhandled.load(Ordering::Acquire) == 0
                && status.pending.load(Ordering::Acquire) == 0
        })
    }

    fn report(&self, range: u32, command: Command) -> bool {
        self.ranges.get(range as usize).is_some_and(|handle| {
            handle.status.serving.load(Ordering::Relaxed) && handle.try_send(command).is_none()
        })
    }

    fn refuse(&self, call: ClaimCall, result: ClaimResult) {
        self.metrics.answered(result);
        call.answer(result);
    }
}
