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

// Capacity of the command queue of one range.
const MAX_QUEUED_COMMANDS: usize = 16_384;
const RECORDED_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Grants claims on idempotency keys, so that a non-idempotent request runs at most
/// once. Serves the key ranges that this host owns, with one writer thread per range.
/// Dropping it ends the writers, which refuse the claims that are still undecided.
pub(crate) struct ClaimService {
    host_id: HostId,
    ranges: Vec<RangeHandle>,
    /// When hosts were declared dead, in wall-clock milliseconds since 1970.
    down_hosts: Arc<Mutex<HashMap<HostId, u64>>>,
    /// Returns the wall-clock time in milliseconds since 1970.
    now_ms: Box<dyn Fn() -> u64 + Send + Sync>,
    retention_ms: u64,
    metrics: ClaimMetrics,
}

/// Access to the writer thread of one range.
struct RangeHandle {
    commands: Sender<Command>,
    status: Arc<RangeStatus>,
}

impl RangeHandle {
    /// Returns the command if the queue is full or the writer has ended.
    fn try_send(&self, command: Command) -> Option<Command> {
        self.status.unprocessed_commands.fetch_add(1, Ordering::Relaxed);
        let error = self.commands.try_send(command).err()?;
        self.status.unprocessed_commands.fetch_sub(1, Ordering::Relaxed);
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
        for range in 0..options.range_count {
            let (sender, receiver) = bounded(MAX_QUEUED_COMMANDS);
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
                published_keys: 0,
                received_commands: 0,
                next_append: Instant::now(),
                next_outage_review: Instant::now(),
                retry_pause: options.batch_interval,
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
    /// A malformed key is answered `key_expired`; `origin` validates keys before it
    /// claims them. After `granted` the request may be sent once; after any other
    /// result it must not be sent. A claim that was answered `not_owner` or got no
    /// answer may have been recorded: it can be repeated with the same request id, at
    /// any owner, or is given up with `abandon`. An abandoned request id must not be
    /// used again.
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

    /// Records the answer to a granted request. Status 0 means that the request failed
    /// and may have run. Returns whether the report was accepted: false if this host
    /// does not serve the range or the queue is full; the report must then be sent to
    /// the owner again. The record is appended to the log later.
    pub(crate) fn record_outcome(&self, report: OutcomeReport) -> bool {
        self.send_report(report.range, Command::Outcome(report))
    }

    /// Frees the key of a request of which nothing was sent. Returns the same as
    /// `record_outcome`.
    pub(crate) fn abandon(&self, report: AbandonReport) -> bool {
        self.send_report(report.range, Command::Abandon(report))
    }

    /// Gives the running claims of a host that died an unknown outcome: repeats are
    /// answered `may_have_run`.
    pub(crate) fn host_down(&self, host: &HostId) {
        let now_ms = (self.now_ms)();
        let mut down_hosts = self.down_hosts.lock();
        down_hosts.retain(|_, down_ms| *down_ms + self.retention_ms > now_ms);
        down_hosts.insert(host.clone(), now_ms);
        drop(down_hosts);
        for handle in &self.ranges {
            // A full queue drops the command: repeats are then answered `in_progress`
            // instead of `may_have_run`; the caller gets the same verdict for both.
            let _ = handle.try_send(Command::HostDown(host.clone()));
        }
    }

    /// Ends the writers, which refuse the claims that are still undecided. An explicit
    /// stop is needed because parts of a router that can't be stopped may hold a
    /// reference to the service for longer.
    pub(crate) fn stop(&self) {
        for handle in &self.ranges {
            handle.status.stop_requested.store(true, Ordering::Release);
        }
    }

    /// Waits until all received commands are processed and their entries are in the log,
    /// before a planned handover. Returns false if the deadline passes first.
    pub(crate) fn wait_until_recorded(&self, deadline: Instant) -> bool {
        while !self.is_all_recorded() {
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(RECORDED_POLL_INTERVAL);
        }
        true
    }

    fn is_all_recorded(&self) -> bool {
        self.ranges.iter().all(|handle| {
            let status = &handle.status;
            status.unprocessed_commands.load(Ordering::Acquire) == 0
                && status.pending_entries.load(Ordering::Acquire) == 0
        })
    }

    fn send_report(&self, range: u32, command: Command) -> bool {
        self.ranges.get(range as usize).is_some_and(|handle| {
            handle.status.serving.load(Ordering::Relaxed) && handle.try_send(command).is_none()
        })
    }

    fn refuse(&self, call: ClaimCall, result: ClaimResult) {
        self.metrics.count_answer(result);
        call.answer(result);
    }
}
