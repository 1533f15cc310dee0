use {
    super::{
        RangeAuthority, WallClock,
        claim_metrics::ClaimMetrics,
        claim_options::ClaimOptions,
        command::{ClaimCall, Command},
        range_ownership::RangeOwnership,
        range_state::RangeState,
    },
    crate::platform::{LogError, RecordLog},
    crossbeam::channel::{Receiver, RecvTimeoutError, TryRecvError},
    mango_wire::{Epoch, HostId, peer::ClaimResult, platform::LogRecord},
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

// Bounds the delay until an expired call or the end of the ownership is noticed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
// Bounds the delay until a new ownership is noticed. Longer than `POLL_INTERVAL`,
// because most hosts own few or no ranges.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
const OUTAGE_REVIEW_INTERVAL: Duration = Duration::from_secs(1);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// State shared between a range writer and the claim service.
#[derive(Default)]
pub(crate) struct RangeStatus {
    /// Whether this host serves the range.
    pub(crate) serving: AtomicBool,
    /// Commands that were sent and are not reflected in `pending_entries` yet.
    pub(crate) unprocessed_commands: AtomicUsize,
    /// Entries that have not been read back from the log yet.
    pub(crate) pending_entries: AtomicUsize,
    /// Makes the writer end.
    pub(crate) stop_requested: AtomicBool,
}

/// Serves one key range in a thread of its own. It is the only writer of the range's
/// stream while this host owns the range.
pub(crate) struct RangeWriter<L, A, C> {
    pub(crate) range: u32,
    pub(crate) log: Arc<L>,
    pub(crate) authority: Arc<A>,
    pub(crate) clock: Arc<C>,
    pub(crate) options: ClaimOptions,
    pub(crate) metrics: ClaimMetrics,
    pub(crate) commands: Receiver<Command>,
    pub(crate) status: Arc<RangeStatus>,
    /// When hosts were declared dead, in wall-clock milliseconds since 1970.
    pub(crate) down_hosts: Arc<Mutex<HashMap<HostId, u64>>>,
    /// Keys of this range that are counted in the metric `claim_keys_held`.
    pub(crate) published_keys: usize,
    /// Commands received since the status was published last.
    pub(crate) received_commands: usize,
    pub(crate) next_append: Instant,
    pub(crate) next_outage_review: Instant,
    pub(crate) retry_pause: Duration,
}

/// The claim service has been stopped or dropped.
struct Stopped;

impl<L: RecordLog, A: RangeAuthority, C: WallClock> RangeWriter<L, A, C> {
    /// Serves the range whenever this host owns it, until the claim service is stopped or
    /// dropped.
    pub(crate) fn run(mut self) {
        let mut ownership = None;
        while self.step(&mut ownership).is_ok() {
            self.publish_status(ownership.as_ref());
        }
        if let Some(ownership) = &mut ownership {
            ownership.refuse_all();
        }
        self.publish_status(None);
    }

    /// Starts, serves, suspends or ends the ownership, depending on the epoch under which
    /// this host may act, if any.
    fn step(&mut self, current: &mut Option<RangeOwnership>) -> Result<(), Stopped> {
        let acting = self.acting_epoch();
        if let Some(ownership) = current
            && acting.is_some_and(|epoch| epoch != ownership.epoch())
        {
            ownership.refuse_all();
            *current = None;
        }
        match (acting, current.as_mut()) {
            (Some(epoch), None) => {
                *current = self.start_ownership(epoch)?;
                Ok(())
            }
            (Some(_), Some(ownership)) if !ownership.is_superseded() => self.serve(ownership),
            (_, ownership) => self.idle(ownership),
        }
    }

    /// Refuses claims while the range may not be served. Outcomes and abandonments are
    /// queued in case this host may act under the same epoch again.
    fn idle(&mut self, mut ownership: Option<&mut RangeOwnership>) -> Result<(), Stopped> {
        if let Some(ownership) = &mut ownership {
            ownership.refuse_all();
        }
        for command in self.receive(IDLE_POLL_INTERVAL)? {
            match (command, &mut ownership) {
                (Command::Claim(call), _) => self.refuse(call, ClaimResult::NotOwner),
                (command, Some(ownership)) => ownership.handle(command),
                (_, None) => {}
            }
        }
        Ok(())
    }

    /// Replays the stream, appends the `Fence`, which makes later records of predecessors
    /// void, and reads it back. Returns `None` if this host may not act under the epoch any
    /// more.
    fn start_ownership(&mut self, epoch: Epoch) -> Result<Option<RangeOwnership>, Stopped> {
        let acting_since_ms = self.clock.now_ms();
        let mut state = RangeState::new();
        state.expire_keys_before(self.options.expired_before_ms(acting_since_ms));
        while let Err(e) = self.replay(&mut state) {
            self.log_failure("claim_replay_failed", &e);
            self.retry_pause = self.next_retry_pause();
            if !self.wait_before_retry(epoch)? {
                return Ok(None);
            }
        }
        let outages = self.authority.outages();
        let mut ownership = RangeOwnership::new(
            epoch,
            acting_since_ms,
            state,
            &outages,
            &self.options,
            &self.metrics,
        );
        while ownership.first_unconfirmed().is_some() && !ownership.is_superseded() {
            if !self.commit(&mut ownership) && !self.wait_before_retry(epoch)? {
                return Ok(None);
            }
        }
        for (host, down_ms) in self.down_hosts.lock().iter() {
            ownership.host_down(host, *down_ms);
        }
        let uncertain_before_ms = ownership.state().uncertain_before_ms();
        log::info!(
            "event=claim_range_started range={} epoch={epoch} keys={} uncertain_before_ms={uncertain_before_ms}",
            self.range,
            ownership.state().keys_held(),
        );
        Ok(Some(ownership))
    }

    /// Waits before the next attempt to start the ownership and refuses claims meanwhile.
    /// Returns whether this host may still act under the epoch.
    fn wait_before_retry(&mut self, epoch: Epoch) -> Result<bool, Stopped> {
        let until = Instant::now() + self.retry_pause;
        while Instant::now() < until {
            for command in self.receive(POLL_INTERVAL)? {
                if let Command::Claim(call) = command {
                    self.refuse(call, ClaimResult::Unavailable);
                }
            }
        }
        Ok(self.acting_epoch() == Some(epoch))
    }

    fn replay(&self, state: &mut RangeState) -> Result<(), LogError> {
        loop {
            let records = self.read(state.next_offset())?;
            if records.is_empty() {
                return Ok(());
            }
            for record in records {
                match serde_json::from_str(&record.body) {
                    Ok(batch) => {
                        state.apply(record.offset, &batch);
                    }
                    Err(e) => {
                        let offset = record.offset;
                        log::warn!("event=claim_record_malformed offset={offset} error={e:?}");
                        state.skip(offset);
                    }
                }
            }
        }
    }

    /// Answers claims after they are in the log, or from memory in a verified outage.
    fn serve(&mut self, ownership: &mut RangeOwnership) -> Result<(), Stopped> {
        if self.authority.in_verified_outage() {
            return self.serve_from_memory(ownership);
        }
        ownership.leave_memory_mode(self.clock.now_ms());
        let commands = self.receive(self.receive_timeout(ownership))?;
        ownership.expire_keys(self.clock.now_ms());
        for command in commands {
            ownership.handle(command);
        }
        self.review_outages_if_due(ownership);
        ownership.expire_calls(Instant::now());
        if Instant::now() < self.next_append {
            return Ok(());
        }
        if ownership.first_unconfirmed().is_none() {
            ownership.build_batch();
        }
        if ownership.first_unconfirmed().is_some() && self.acting_epoch() == Some(ownership.epoch())
        {
            self.commit(ownership);
        }
        Ok(())
    }

    /// Answers each claim at once while the outage stays verified and this host may act
    /// under its epoch. No requests are sent to the log, because one that hangs would delay
    /// the answers.
    fn serve_from_memory(&mut self, ownership: &mut RangeOwnership) -> Result<(), Stopped> {
        let commands = self.receive(POLL_INTERVAL)?;
        ownership.expire_keys(self.clock.now_ms());
        let mut commands = commands.into_iter();
        while self.may_grant_from_memory(ownership) {
            ownership.enter_memory_mode();
            let Some(command) = commands.next() else {
                ownership.expire_calls(Instant::now());
                return Ok(());
            };
            ownership.handle(command);
        }
        for command in commands {
            match command {
                Command::Claim(call) => self.refuse(call, ClaimResult::NotOwner),
                command => ownership.handle(command),
            }
        }
        Ok(())
    }

    fn may_grant_from_memory(&self, ownership: &RangeOwnership) -> bool {
        self.authority.in_verified_outage() && self.acting_epoch() == Some(ownership.epoch())
    }

    /// Appends the first unconfirmed batch to the log. Returns whether it was read
    /// back; if not, the same batch is tried again at `next_append`.
    fn commit(&mut self, ownership: &mut RangeOwnership) -> bool {
        let Some(unconfirmed) = ownership.first_unconfirmed() else {
            return true;
        };
        let batch_id = unconfirmed.batch.batch_id.clone();
        let started = Instant::now();
        let result = self.append_and_read_back(ownership);
        self.metrics.append_seconds.observe(started.elapsed().as_secs_f64());
        if let Err(e) = &result {
            self.log_failure("claim_append_failed", e);
        }
        let confirmed = ownership.first_unconfirmed().is_none_or(|u| u.batch.batch_id != batch_id);
        self.retry_pause =
            if confirmed { self.options.batch_interval } else { self.next_retry_pause() };
        self.next_append = started + self.retry_pause;
        confirmed
    }

    /// Returns after the first failed request to the log, since each one may take the
    /// whole request timeout while the log hangs.
    fn append_and_read_back(&self, ownership: &mut RangeOwnership) -> Result<(), LogError> {
        if ownership.first_unconfirmed().is_some_and(|u| u.append_attempted) {
            // the append may have taken effect although no answer was received
            self.read_new_records(ownership)?;
        }
        let Some(unconfirmed) = ownership.first_unconfirmed() else {
            return Ok(());
        };
        if !unconfirmed.append_attempted {
            self.metrics.batch_entries.observe(unconfirmed.batch.entries.len() as f64);
        }
        let body = unconfirmed.body.clone();
        ownership.mark_append_attempted();
        self.log.append(&self.stream(), &body, Instant::now() + self.options.request_timeout)?;
        self.read_new_records(ownership)
    }

    /// Twice the last pause, within the limits.
    fn next_retry_pause(&self) -> Duration {
        (self.retry_pause * 2).min(MAX_RETRY_PAUSE).max(self.options.batch_interval)
    }

    /// Reads and applies all records up to the end of the stream. Waiting calls are
    /// refused once this host may no longer act under its epoch.
    fn read_new_records(&self, ownership: &mut RangeOwnership) -> Result<(), LogError> {
        loop {
            let records = self.read(ownership.state().next_offset())?;
            if records.is_empty() {
                return Ok(());
            }
            for record in &records {
                if self.acting_epoch() != Some(ownership.epoch()) {
                    ownership.refuse_all();
                }
                ownership.apply_record(record);
            }
        }
    }

    fn read(&self, from: u64) -> Result<Vec<LogRecord>, LogError> {
        let deadline = Instant::now() + self.options.request_timeout;
        self.log.read(&self.stream(), from, Duration::ZERO, deadline).map(|reply| reply.records)
    }

    fn review_outages_if_due(&mut self, ownership: &mut RangeOwnership) {
        if Instant::now() < self.next_outage_review || ownership.first_unconfirmed().is_some() {
            return;
        }
        self.next_outage_review = Instant::now() + OUTAGE_REVIEW_INTERVAL;
        ownership.review_outages(&self.authority.outages(), self.clock.now_ms());
    }

    /// Waits up to `wait` for a command and receives all that are queued.
    fn receive(&mut self, wait: Duration) -> Result<Vec<Command>, Stopped> {
        if self.status.stop_requested.load(Ordering::Acquire) {
            return Err(Stopped);
        }
        let mut commands = match self.commands.recv_timeout(wait) {
            Ok(command) => vec![command],
            Err(RecvTimeoutError::Timeout) => return Ok(Vec::new()),
            Err(RecvTimeoutError::Disconnected) => return Err(Stopped),
        };
        commands.extend(self.commands.try_iter());
        self.received_commands += commands.len();
        Ok(commands)
    }

    fn receive_timeout(&self, ownership: &RangeOwnership) -> Duration {
        if !ownership.has_queued_entries() && ownership.first_unconfirmed().is_none() {
            return POLL_INTERVAL;
        }
        self.next_append.saturating_duration_since(Instant::now()).min(POLL_INTERVAL)
    }

    /// Updates the shared status and the metrics.
    fn publish_status(&mut self, ownership: Option<&RangeOwnership>) {
        let serving =
            ownership.is_some_and(|o| self.acting_epoch() == Some(o.epoch()) && !o.is_superseded());
        if self.status.serving.swap(serving, Ordering::Relaxed) != serving {
            self.metrics.ranges_served.inc_by(if serving { 1 } else { -1 });
        }
        self.status
            .pending_entries
            .store(ownership.map_or(0, RangeOwnership::pending_entries), Ordering::Release);
        let received = std::mem::take(&mut self.received_commands);
        self.status.unprocessed_commands.fetch_sub(received, Ordering::Release);
        let keys = ownership.map_or(0, |o| o.state().keys_held());
        self.metrics.keys_held.inc_by(keys as i64 - self.published_keys as i64);
        self.published_keys = keys;
    }

    fn refuse(&self, call: ClaimCall, result: ClaimResult) {
        self.metrics.count_answer(result);
        call.answer(result);
    }

    fn log_failure(&self, event: &str, error: &LogError) {
        log::warn!("event={event} range={} error={error:?}", self.range);
    }

    fn acting_epoch(&self) -> Option<Epoch> {
        self.authority.acting_epoch(self.range)
    }

    fn stream(&self) -> String {
        format!("claims-{}", self.range)
    }
}
