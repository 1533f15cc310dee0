use {
    crate::{
        engine::{
            CacheEventLog, EngineClock, EngineOptions, Execution, Job, JobEnd, LoadHistory,
            LoadSnapshot, OrderState, PrefixCache, ReceivedOrder,
        },
        load::TrackedEngine,
    },
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

// Weight of the newest sample in the exponential moving averages of a load report.
const MEAN_ALPHA: f64 = 0.2;

/// Job in a slot.
struct Running {
    job: Arc<Job>,
    prefill_end_ms: f64,
    last_token: Option<Instant>,
    // index in `executions`
    execution: usize,
}

/// A decode step, or the time until the first prefill ends if no job can decode.
#[derive(Clone, Copy)]
struct Step {
    start_ms: f64,
    end_ms: f64,
    decodes: bool,
}

/// Job without connections, which is cancelled at the deadline unless it is resumed.
struct Abandoned {
    deadline: Instant,
    job: Arc<Job>,
    // count in the job's progress; a higher one at the deadline means that the job was
    // resumed and then lost its connection again
    abandonments: u64,
}

/// Scheduler, queue and cache of one engine. Times in `_ms` are times of its
/// `EngineClock`.
pub(crate) struct EngineState {
    options: EngineOptions,
    tracked: Option<TrackedEngine>,
    /// Number of crashes and restarts so far. A handler with a lower number belongs to
    /// an earlier start, which has crashed.
    pub(crate) generation: u64,
    pub(crate) identity: String,
    /// Whether new requests are refused while those in flight continue.
    pub(crate) leaving: bool,
    pub(crate) stopped: bool,
    /// When the scheduler thread wakes without a notification; `None` if it does not.
    pub(crate) wakes_at: Option<Instant>,
    pub(crate) clock: EngineClock,
    /// Waiting, running and recently ended jobs by request id.
    pub(crate) jobs: HashMap<String, Arc<Job>>,
    // by priority, the lowest value first, then in the order of admission
    waiting: BTreeMap<(i64, u64), Arc<Job>>,
    admissions: u64,
    running: Vec<Running>,
    step: Option<Step>,
    abandoned: VecDeque<Abandoned>,
    // recently ended jobs with the time of their end
    ended: VecDeque<(Instant, Arc<Job>)>,
    pub(crate) cache: PrefixCache,
    pub(crate) orders: OrderState,
    pub(crate) received_orders: Vec<ReceivedOrder>,
    pub(crate) load: LoadHistory,
    // moving averages of the time to the first token and of the time between tokens;
    // real time, unlike other times in `_ms`
    first_token_ms: f64,
    gap_ms: f64,
    pub(crate) executions: Vec<Execution>,
    pub(crate) refused_leaving: Vec<Instant>,
    pub(crate) refused_full: u64,
    pub(crate) weight_store_url: Option<String>,
}

impl EngineState {
    pub(crate) fn new(options: EngineOptions) -> Self {
        let tracker = options.tracker.as_ref();
        let tracked = tracker.map(|t| t.register(&options.name, options.weight));
        let mut state = Self {
            tracked,
            generation: 0,
            identity: new_identity(),
            leaving: false,
            stopped: false,
            wakes_at: None,
            clock: EngineClock::new(options.time_scale),
            jobs: HashMap::new(),
            waiting: BTreeMap::new(),
            admissions: 0,
            running: Vec::new(),
            step: None,
            abandoned: VecDeque::new(),
            ended: VecDeque::new(),
            cache: new_cache(&options, 0),
            orders: OrderState::new(options.checks_fencing),
            received_orders: Vec::new(),
            load: LoadHistory::new(Duration::from_millis(options.load_lag_ms)),
            first_token_ms: 0.0,
            gap_ms: 0.0,
            executions: Vec::new(),
            refused_leaving: Vec::new(),
            refused_full: 0,
            weight_store_url: None,
            options,
        };
        state.record_load(Instant::now());
        state
    }

    /// Cancels all jobs and resets the state, except the records of executions, orders
    /// and refusals.
    pub(crate) fn crash(&mut self, now: Instant) {
        for job in self.live_jobs() {
            self.end(&job, JobEnd::Cancelled, now);
        }
        self.generation += 1;
        self.jobs.clear();
        self.abandoned.clear();
        self.ended.clear();
        self.step = None;
        self.cache = new_cache(&self.options, self.generation);
        self.orders = OrderState::new(self.options.checks_fencing);
        self.load = LoadHistory::new(Duration::from_millis(self.options.load_lag_ms));
        (self.first_token_ms, self.gap_ms) = (0.0, 0.0);
    }

    /// Starts the engine with a new identity after a crash.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.generation += 1;
        self.identity = new_identity();
        self.leaving = false;
        self.record_load(now);
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.running.len() >= self.options.slots && self.waiting.len() >= self.options.queue_limit
    }

    pub(crate) fn live_jobs(&self) -> Vec<Arc<Job>> {
        let running = self.running.iter().map(|r| &r.job);
        running.chain(self.waiting.values()).cloned().collect()
    }

    /// Time at which the scheduler has work next.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        let step = self.step.map(|s| self.clock.instant(s.end_ms));
        let abandoned = self.abandoned.front().map(|a| a.deadline);
        step.into_iter().chain(abandoned).min()
    }

    /// Executes the steps, cancellations and expiries up to `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        let now_ms = self.clock.time_ms(now);
        while let Some(step) = self.step.take_if(|step| step.end_ms <= now_ms) {
            if step.decodes {
                self.decode(step.start_ms, now);
            }
            self.fill_slots(step.end_ms, now);
            self.plan_step(step.end_ms);
        }
        self.cancel_abandoned(now);
        self.remove_ended(now);
    }

    /// Adds a job to the queue and, if one is free, to a slot.
    pub(crate) fn admit(&mut self, job: Arc<Job>, priority: i64, now: Instant) {
        if let Some(tracked) = &self.tracked {
            tracked.start();
        }
        self.jobs.insert(job.id.clone(), job.clone());
        self.admissions += 1;
        self.waiting.insert((priority, self.admissions), job);
        self.schedule(now);
    }

    /// Cancels a job, which frees its slot at once. Returns whether it had started, or
    /// `None` if it had already ended.
    pub(crate) fn cancel(&mut self, job: &Arc<Job>, now: Instant) -> Option<bool> {
        let started = self.end(job, JobEnd::Cancelled, now)?;
        self.schedule(now);
        Some(started)
    }

    /// Moves a waiting job in the queue; a running one is not affected.
    pub(crate) fn set_priority(&mut self, job: &Arc<Job>, priority: i64) {
        if let Some(key) = self.waiting_key(job) {
            self.waiting.remove(&key);
            self.waiting.insert((priority, key.1), job.clone());
        }
    }

    /// Schedules the cancellation of a job that lost its last connection.
    pub(crate) fn abandon(&mut self, job: &Arc<Job>, now: Instant) {
        let abandonments = job.progress().abandonments;
        let deadline = now + Duration::from_millis(self.options.resume_grace_ms);
        self.abandoned.push_back(Abandoned { deadline, job: job.clone(), abandonments });
    }

    pub(crate) fn snapshot(&self) -> LoadSnapshot {
        LoadSnapshot {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            leaving: self.leaving,
            first_token_ms: self.first_token_ms,
            gap_ms: self.gap_ms,
        }
    }

    pub(crate) fn record_load(&mut self, now: Instant) {
        let snapshot = self.snapshot();
        self.load.push(snapshot, now);
    }

    /// Fills free slots, and plans the next step unless a decode step is in progress.
    fn schedule(&mut self, now: Instant) {
        let now_ms = self.clock.time_ms(now);
        self.fill_slots(now_ms, now);
        if self.step.is_none_or(|step| !step.decodes) {
            self.plan_step(now_ms);
        }
        self.record_load(now);
    }

    fn fill_slots(&mut self, at_ms: f64, now: Instant) {
        while self.running.len() < self.options.slots {
            let Some((_, job)) = self.waiting.pop_first() else { return };
            self.start(job, at_ms, now);
        }
    }

    fn start(&mut self, job: Arc<Job>, at_ms: f64, now: Instant) {
        let cached = job.chat.as_ref().map_or(0, |chat| self.cache.touch(chat));
        let cached_tokens = cached.min(job.prompt_tokens);
        job.progress.lock().cached_tokens = cached_tokens;
        let uncached = f64::from(job.prompt_tokens - cached_tokens);
        self.executions.push(Execution {
            request_id: job.id.clone(),
            chat: job.chat.clone(),
            identity: self.identity.clone(),
            admitted: job.admitted,
            started: now,
            ended: None,
            prompt_tokens: job.prompt_tokens,
            cached_tokens,
            tokens: 0,
            cancelled: false,
        });
        self.running.push(Running {
            job,
            prefill_end_ms: at_ms + uncached * self.options.prefill_us_per_token / 1e3,
            last_token: None,
            execution: self.executions.len() - 1,
        });
    }

    fn plan_step(&mut self, start_ms: f64) {
        let decodes = self.running.iter().any(|r| r.prefill_end_ms <= start_ms);
        let end_ms = if decodes {
            let others = self.running.len() as f64 - 1.0;
            start_ms + self.options.step_ms * (1.0 + self.options.batch_slope * others)
        } else {
            self.running.iter().map(|r| r.prefill_end_ms).fold(f64::INFINITY, f64::min)
        };
        self.step = (!self.running.is_empty()).then_some(Step { start_ms, end_ms, decodes });
    }

    /// Generates a token for each job whose prefill had ended at the start of the step.
    fn decode(&mut self, start_ms: f64, now: Instant) {
        let mut finished = Vec::new();
        for running in self.running.iter_mut().filter(|r| r.prefill_end_ms <= start_ms) {
            match running.last_token.replace(now) {
                None => {
                    let waited = now.duration_since(running.job.admitted);
                    update_mean(&mut self.first_token_ms, waited);
                }
                Some(last) => update_mean(&mut self.gap_ms, now.duration_since(last)),
            }
            if running.job.add_token() >= running.job.length {
                finished.push(running.job.clone());
            }
        }
        for job in finished {
            self.end(&job, JobEnd::Finished, now);
        }
        self.record_load(now);
    }

    /// Ends a job. Returns whether it was running, or `None` if it had already ended.
    fn end(&mut self, job: &Arc<Job>, end: JobEnd, now: Instant) -> Option<bool> {
        let slot = self.running.iter().position(|r| Arc::ptr_eq(&r.job, job));
        match slot {
            Some(slot) => self.end_running(slot, end, now),
            None => {
                let key = self.waiting_key(job)?;
                self.waiting.remove(&key);
            }
        }
        job.end(end);
        if let Some(tracked) = &self.tracked {
            tracked.end();
        }
        self.ended.push_back((now, job.clone()));
        Some(slot.is_some())
    }

    fn end_running(&mut self, slot: usize, end: JobEnd, now: Instant) {
        let running = self.running.swap_remove(slot);
        let job = &running.job;
        let tokens = job.progress().generated - job.first_index;
        let execution = &mut self.executions[running.execution];
        execution.ended = Some(now);
        execution.tokens = tokens;
        execution.cancelled = end == JobEnd::Cancelled;
        if let Some(chat) = job.chat.as_ref().filter(|_| tokens > 0) {
            self.cache.put(chat, job.prompt_tokens + tokens);
        }
    }

    fn cancel_abandoned(&mut self, now: Instant) {
        while self.abandoned.front().is_some_and(|a| a.deadline <= now) {
            let Some(Abandoned { job, abandonments, .. }) = self.abandoned.pop_front() else {
                return;
            };
            let progress = job.progress();
            if progress.connections == 0 && progress.abandonments == abandonments {
                self.cancel(&job, now);
            }
        }
    }

    /// Removes ended jobs that can no longer be resumed.
    fn remove_ended(&mut self, now: Instant) {
        let keep = Duration::from_millis(self.options.keep_ended_ms);
        while self.ended.front().is_some_and(|(at, _)| *at + keep <= now) {
            let Some((_, job)) = self.ended.pop_front() else { return };
            // a later request may have reused the id
            if self.jobs.get(&job.id).is_some_and(|known| Arc::ptr_eq(known, &job)) {
                self.jobs.remove(&job.id);
            }
        }
    }

    fn waiting_key(&self, job: &Arc<Job>) -> Option<(i64, u64)> {
        self.waiting.iter().find(|(_, w)| Arc::ptr_eq(w, job)).map(|(key, _)| *key)
    }
}

fn new_identity() -> String {
    uuid::Uuid::new_v4().to_string()
}

fn new_cache(options: &EngineOptions, generation: u64) -> PrefixCache {
    let delay = Duration::from_millis(options.cache_event_delay_ms);
    let seed = options.seed.wrapping_add(generation);
    let events = CacheEventLog::new(delay, options.cache_event_loss, seed);
    PrefixCache::new(options.cache_tokens, events)
}

/// Updates an exponential moving average; the first sample replaces the initial 0.
fn update_mean(mean: &mut f64, sample: Duration) {
    let sample = sample.as_secs_f64() * 1e3;
    *mean = if *mean == 0.0 { sample } else { *mean + MEAN_ALPHA * (sample - *mean) };
}
