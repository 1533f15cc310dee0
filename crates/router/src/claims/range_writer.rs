use {
    super::{
        RangeAuthority, WallClock,
        claim_metrics::ClaimMetrics,
        claim_options::ClaimOptions,
        command::{ClaimCall, Command},
        range_state::RangeState,
        term::Term,
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

// Bounds how late the end of a call's time or of the ownership is noticed.
const TICK: Duration = Duration::from_millis(10);
// Bounds how late a new ownership is noticed; most hosts own few or no ranges.
const IDLE_TICK: Duration = Duration::from_millis(50);
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What a writer shows to its handle.
#[derive(Default)]
pub(crate) struct RangeStatus {
    pub(crate) serving: AtomicBool,
    /// Commands sent whose effect `pending` does not show yet.
    pub(crate) unhandled: AtomicUsize,
    /// Entries that are not confirmed on the log.
    pub(crate) pending: AtomicUsize,
    /// Ends the writer.
    pub(crate) stopped: AtomicBool,
}

/// The only writer of the stream of one key range while this host owns it.
pub(crate) struct RangeWriter<L, A, C> {
    pub(crate) range: u32,
    pub(crate) log: Arc<L>,
    pub(crate) authority: Arc<A>,
    pub(crate) clock: Arc<C>,
    pub(crate) options: ClaimOptions,
    pub(crate) metrics: ClaimMetrics,
    pub(crate) commands: Receiver<Command>,
    pub(crate) status: Arc<RangeStatus>,
    /// Wall-clock times at which hosts were declared dead.
    pub(crate) down_hosts: Arc<Mutex<HashMap<HostId, u64>>>,
    pub(crate) keys_shown: usize,
    pub(crate) commands_taken: usize,
    pub(crate) next_append: Instant,
    pub(crate) next_review: Instant,
    pub(crate) retry_pause: Duration,
}

/// The handle has been stopped or dropped.
struct Closed;

impl<L: RecordLog, A: RangeAuthority, C: WallClock> RangeWriter<L, A, C> {
    /// Serves the range whenever this host owns it, until the handle is dropped.
    pub(crate) fn run(mut self) {
        let mut term = None;
        while self.step(&mut term).is_ok() {
            self.show(term.as_ref());
        }
        if let Some(term) = &mut term {
            term.refuse_all();
        }
        self.show(None);
    }

    fn step(&mut self, slot: &mut Option<Term>) -> Result<(), Closed> {
        let acting = self.acting_epoch();
        if let Some(term) = slot
            && acting.is_some_and(|epoch| epoch != term.epoch())
        {
            term.refuse_all();
            *slot = None;
        }
        match (acting, slot.as_mut()) {
            (Some(epoch), None) => {
                *slot = self.start(epoch)?;
                Ok(())
            }
            (Some(_), Some(term)) if !term.is_superseded() => self.serve(term),
            (_, term) => self.idle(term),
        }
    }

    /// Refuses claims while the range may not be served. Outcomes and abandonments are
    /// kept for the case that the same epoch may act again.
    fn idle(&mut self, mut term: Option<&mut Term>) -> Result<(), Closed> {
        if let Some(term) = &mut term {
            term.refuse_all();
        }
        for command in self.receive(IDLE_TICK)? {
            match (command, &mut term) {
                (Command::Claim(call), _) => self.refuse(call, ClaimResult::NotOwner),
                (command, Some(term)) => term.handle(command),
                (_, None) => {}
            }
        }
        Ok(())
    }

    /// Replays the stream, appends the `Fence` and reads it back.
    fn start(&mut self, epoch: Epoch) -> Result<Option<Term>, Closed> {
        let acting_since_ms = self.clock.now_ms();
        let mut state = RangeState::new();
        state.expire(self.options.expired_before_ms(acting_since_ms));
        while let Err(e) = self.replay(&mut state) {
            self.log_failed("claim_replay_failed", &e);
            self.retry_pause = self.longer_pause();
            if !self.wait_to_start(epoch)? {
                return Ok(None);
            }
        }
        let outages = self.authority.outages();
        let mut term =
            Term::new(epoch, acting_since_ms, state, &outages, &self.options, &self.metrics);
        while term.unconfirmed().is_some() && !term.is_superseded() {
            if !self.commit(&mut term) && !self.wait_to_start(epoch)? {
                return Ok(None);
            }
        }
        for (host, down_ms) in self.down_hosts.lock().iter() {
            term.host_down(host, *down_ms);
        }
        let uncertain_before_ms = term.state().uncertain_before_ms();
        log::info!(
            "event=claim_range_started range={} epoch={epoch} keys={} uncertain_before_ms={uncertain_before_ms}",
            self.range,
            term.state().keys_held(),
        );
        Ok(Some(term))
    }

    /// Pauses between attempts to start. Returns whether the epoch still holds.
    fn wait_to_start(&mut self, epoch: Epoch) -> Result<bool, Closed> {
        let until = Instant::now() + self.retry_pause;
        while Instant::now() < until {
            for command in self.receive(TICK)? {
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

    fn serve(&mut self, term: &mut Term) -> Result<(), Closed> {
        if self.authority.in_verified_outage() {
            return self.serve_from_memory(term);
        }
        term.leave_memory(self.clock.now_ms());
        let commands = self.receive(self.time_to_append(term))?;
        term.expire_keys(self.clock.now_ms());
        for command in commands {
            term.handle(command);
        }
        self.review(term);
        term.expire_calls(Instant::now());
        if Instant::now() < self.next_append {
            return Ok(());
        }
        if term.unconfirmed().is_none() {
            term.cut_batch();
        }
        if term.unconfirmed().is_some() && self.acting_epoch() == Some(term.epoch()) {
            self.commit(term);
        }
        Ok(())
    }

    /// Answers each claim at once while the outage stays verified and the epoch acts.
    /// The log is not called, because a call that hangs would delay the answers.
    fn serve_from_memory(&mut self, term: &mut Term) -> Result<(), Closed> {
        let commands = self.receive(TICK)?;
        term.expire_keys(self.clock.now_ms());
        let mut commands = commands.into_iter();
        while self.may_grant_from_memory(term) {
            term.enter_memory();
            let Some(command) = commands.next() else {
                term.expire_calls(Instant::now());
                return Ok(());
            };
            term.handle(command);
        }
        for command in commands {
            match command {
                Command::Claim(call) => self.refuse(call, ClaimResult::NotOwner),
                command => term.handle(command),
            }
        }
        Ok(())
    }

    fn may_grant_from_memory(&self, term: &Term) -> bool {
        self.authority.in_verified_outage() && self.acting_epoch() == Some(term.epoch())
    }

    /// Gets the first unconfirmed batch onto the log. Returns whether it was read
    /// back; otherwise the same batch is tried again after `next_append`.
    fn commit(&mut self, term: &mut Term) -> bool {
        let Some(unconfirmed) = term.unconfirmed() else {
            return true;
        };
        let batch_id = unconfirmed.batch.batch_id.clone();
        let started = Instant::now();
        let result = self.append_and_read(term);
        self.metrics.append_seconds.observe(started.elapsed().as_secs_f64());
        if let Err(e) = &result {
            self.log_failed("claim_append_failed", e);
        }
        let confirmed = term.unconfirmed().is_none_or(|u| u.batch.batch_id != batch_id);
        self.retry_pause = if confirmed { self.options.batch } else { self.longer_pause() };
        self.next_append = started + self.retry_pause;
        confirmed
    }

    /// Makes at most one call that fails, since each failure may take the whole
    /// request time while the log hangs.
    fn append_and_read(&self, term: &mut Term) -> Result<(), LogError> {
        if term.unconfirmed().is_some_and(|u| u.attempted) {
            // the append may have taken effect although its answer was lost
            self.catch_up(term)?;
        }
        let Some(unconfirmed) = term.unconfirmed() else {
            return Ok(());
        };
        if !unconfirmed.attempted {
            self.metrics.batch_entries.observe(unconfirmed.batch.entries.len() as f64);
        }
        let body = unconfirmed.body.clone();
        term.mark_attempted();
        self.log.append(&self.stream(), &body, Instant::now() + self.options.request)?;
        self.catch_up(term)
    }

    fn longer_pause(&self) -> Duration {
        (self.retry_pause * 2).min(MAX_RETRY_PAUSE).max(self.options.batch)
    }

    /// Reads up to the tail. Calls are refused instead of being decided once the epoch
    /// no longer acts.
    fn catch_up(&self, term: &mut Term) -> Result<(), LogError> {
        loop {
            let records = self.read(term.state().next_offset())?;
            if records.is_empty() {
                return Ok(());
            }
            for record in &records {
                if self.acting_epoch() != Some(term.epoch()) {
                    term.refuse_all();
                }
                term.read(record);
            }
        }
    }

    fn read(&self, from: u64) -> Result<Vec<LogRecord>, LogError> {
        let deadline = Instant::now() + self.options.request;
        self.log.read(&self.stream(), from, Duration::ZERO, deadline).map(|reply| reply.records)
    }

    fn review(&mut self, term: &mut Term) {
        if Instant::now() < self.next_review || term.unconfirmed().is_some() {
            return;
        }
        self.next_review = Instant::now() + REVIEW_INTERVAL;
        term.review_outages(&self.authority.outages(), self.clock.now_ms());
    }

    /// Waits up to `wait` for a command and takes all that have arrived.
    fn receive(&mut self, wait: Duration) -> Result<Vec<Command>, Closed> {
        if self.status.stopped.load(Ordering::Acquire) {
            return Err(Closed);
        }
        let mut commands = match self.commands.recv_timeout(wait) {
            Ok(command) => vec![command],
            Err(RecvTimeoutError::Timeout) => return Ok(Vec::new()),
            Err(RecvTimeoutError::Disconnected) => return Err(Closed),
        };
        commands.extend(self.commands.try_iter());
        self.commands_taken += commands.len();
        Ok(commands)
    }

    fn time_to_append(&self, term: &Term) -> Duration {
        if !term.has_queued() && term.unconfirmed().is_none() {
            return TICK;
        }
        self.next_append.saturating_duration_since(Instant::now()).min(TICK)
    }

    fn show(&mut self, term: Option<&Term>) {
        let serving =
            term.is_some_and(|t| self.acting_epoch() == Some(t.epoch()) && !t.is_superseded());
        if self.status.serving.swap(serving, Ordering::Relaxed) != serving {
            self.metrics.ranges_served.inc_by(if serving { 1 } else { -1 });
        }
        self.status.pending.store(term.map_or(0, Term::pending), Ordering::Release);
        let taken = std::mem::take(&mut self.commands_taken);
        self.status.unhandled.fetch_sub(taken, Ordering::Release);
        let keys = term.map_or(0, |t| t.state().keys_held());
        self.metrics.keys_held.inc_by(keys as i64 - self.keys_shown as i64);
        self.keys_shown = keys;
    }

    fn refuse(&self, call: ClaimCall, result: ClaimResult) {
        self.metrics.answered(result);
        call.answer(result);
    }

    fn log_failed(&self, event: &str, error: &LogError) {
        log::warn!("event={event} range={} error={error:?}", self.range);
    }

    fn acting_epoch(&self) -> Option<Epoch> {
        self.authority.acting_epoch(self.range)
    }

    fn stream(&self) -> String {
        format!("claims-{}", self.range)
    }
}
