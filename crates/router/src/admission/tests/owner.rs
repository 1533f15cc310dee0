use {
    super::super::{AcquireResult, Admission, Authority, Reply},
    crate::{
        metrics::Metrics,
        placement::{EngineSpec, LoadTable, PoolSpec, TeamSpec, Topology, WorkSpec},
    },
    crossbeam::channel::{Receiver, Sender, unbounded},
    mango_wire::{
        EndpointKey, Epoch,
        config::WorkClass,
        peer::{
            Acquire, AcquireMode, Grant, PassReason, Progress, Refuse, Release, ReleaseOutcome,
        },
        settings::{AdmissionSettings, HealthSettings},
    },
    parking_lot::Mutex,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Key of the pool in `topology`.
pub(super) const POOL: u32 = 1;
// keys of the kinds of work in `topology`
pub(super) const NORMAL: u32 = 1;
pub(super) const URGENT: u32 = 2;
pub(super) const MAY_WAIT: u32 = 3;
pub(super) const LONG: u32 = 4;

/// Authority whose epoch and clock are set by tests. Epoch 0 means no authority.
#[derive(Clone)]
pub(super) struct TestAuthority {
    pub(super) epoch: Arc<AtomicU64>,
    pub(super) clock: Arc<Mutex<Instant>>,
    /// The only owned engine; `None` if all are owned.
    pub(super) owned_engine: Option<EndpointKey>,
}

impl TestAuthority {
    pub(super) fn new() -> Self {
        let clock = Arc::new(Mutex::new(Instant::now() + Duration::from_secs(3600)));
        Self { epoch: Arc::new(AtomicU64::new(1)), clock, owned_engine: None }
    }
}

impl Authority for TestAuthority {
    fn acting_epoch(&self, endpoint: EndpointKey) -> Option<Epoch> {
        if self.owned_engine.is_some_and(|owned_engine| owned_engine != endpoint) {
            return None;
        }
        Some(self.epoch.load(Ordering::SeqCst)).filter(|epoch| *epoch > 0)
    }

    fn now(&self) -> Instant {
        *self.clock.lock()
    }
}

/// Sends the number of a request and its result to a channel.
pub(super) struct TestReply(u64, Sender<(u64, AcquireResult)>);

impl Reply for TestReply {
    fn reply(self, result: AcquireResult) {
        self.1.send((self.0, result)).unwrap();
    }
}

/// One owner with a clock that advances only when a test moves it.
pub(super) struct Owner {
    pub(super) admission: Admission<TestAuthority, TestReply>,
    pub(super) authority: TestAuthority,
    pub(super) load_table: Arc<LoadTable>,
    sender: Sender<(u64, AcquireResult)>,
    answers: Receiver<(u64, AcquireResult)>,
    requests: AtomicU64,
}

impl Owner {
    pub(super) fn new(topology: &Topology, settings: AdmissionSettings) -> Self {
        Self::with_authority(topology, settings, TestAuthority::new())
    }

    pub(super) fn with_authority(
        topology: &Topology,
        settings: AdmissionSettings,
        authority: TestAuthority,
    ) -> Self {
        let ttl = Duration::from_millis(u64::from(settings.load_ttl_ms));
        let load_table = Arc::new(LoadTable::new(ttl, 0.3));
        let health = HealthSettings::default();
        let metrics = Metrics::new();
        let admission =
            Admission::new(&settings, &health, load_table.clone(), authority.clone(), &metrics);
        admission.set_topology(topology);
        let (sender, answers) = unbounded();
        Self { admission, authority, load_table, sender, answers, requests: AtomicU64::new(0) }
    }

    pub(super) fn advance(&self, ms: u64) {
        *self.authority.clock.lock() += Duration::from_millis(ms);
    }

    pub(super) fn now(&self) -> Instant {
        self.authority.now()
    }

    /// Sends an `Acquire` from host `a` and returns its request number.
    pub(super) fn submit(&self, acquire: Acquire) -> u64 {
        let request = self.requests.fetch_add(1, Ordering::Relaxed) + 1;
        let reply = TestReply(request, self.sender.clone());
        self.admission.acquire(&"a".to_owned(), Acquire { request, ..acquire }, reply);
        request
    }

    /// Sends an `Acquire` that must be answered at once and returns the answer.
    pub(super) fn call(&self, acquire: Acquire) -> Result<Grant, Refuse> {
        let request = self.submit(acquire);
        let (answered, result) = self.next_answer().expect("an answer");
        assert_eq!(answered, request);
        outcome(result)
    }

    /// Like `call`, for tests with several threads.
    pub(super) fn call_concurrently(&self, acquire: Acquire) -> Result<Grant, Refuse> {
        let (sender, answers) = unbounded();
        self.admission.acquire(&"a".to_owned(), acquire, TestReply(0, sender));
        outcome(answers.recv().unwrap().1)
    }

    /// Fills the engine and returns its grants.
    pub(super) fn fill(&self, endpoint: EndpointKey) -> Vec<Grant> {
        let call = || self.call(acquire(endpoint, AcquireMode::IfRoom)).ok();
        std::iter::from_fn(call).inspect(|g| self.confirm(g)).collect()
    }

    /// Confirms that the request was sent.
    pub(super) fn confirm(&self, grant: &Grant) {
        self.admission.progress(&progress(grant, 0, 0, 0));
    }

    /// Next answer that has arrived, if any.
    pub(super) fn next_answer(&self) -> Option<(u64, AcquireResult)> {
        self.answers.try_recv().ok()
    }

    pub(super) fn answers(&self) -> Vec<(u64, Result<Grant, Refuse>)> {
        self.answers.try_iter().map(|(request, result)| (request, outcome(result))).collect()
    }

    pub(super) fn release(&self, grant: &Grant) {
        self.release_with(grant, ReleaseOutcome::Completed, 0, 0, 0);
    }

    pub(super) fn release_with(
        &self,
        grant: &Grant,
        outcome: ReleaseOutcome,
        first_token_ms: u32,
        tokens: u32,
        gap_us: u32,
    ) {
        let (permit, endpoint) = (grant.permit, grant.endpoint);
        let release = Release { permit, endpoint, outcome, first_token_ms, tokens, gap_us };
        self.admission.release(&"a".to_owned(), &release);
    }

    pub(super) fn in_flight(&self, endpoint: EndpointKey) -> u32 {
        let states = self.admission.engine_states();
        states.iter().find(|s| s.endpoint == endpoint).map_or(0, |s| s.in_flight)
    }
}

pub(super) fn outcome(result: AcquireResult) -> Result<Grant, Refuse> {
    match result {
        AcquireResult::Granted(grant) => Ok(grant),
        AcquireResult::Refused(refuse) => Err(refuse),
    }
}

pub(super) fn reason(result: Result<Grant, Refuse>) -> PassReason {
    result.expect_err("a refusal").reason
}

/// Topology of engines 1..=count with weight 1 in one pool. Teams have weight 1,
/// except team 9 with weight 3.
pub(super) fn topology(count: u32, slots: u32) -> Topology {
    let engine = |key| EngineSpec { key, id: format!("engine-{key}"), slots, weight: 1.0 };
    let work = |key, class, expected_tokens| WorkSpec { key, class, expected_tokens };
    Topology {
        engines: (1..=count).map(engine).collect(),
        pools: vec![PoolSpec { key: POOL, cap_multiple: 1.25, engines: (1..=count).collect() }],
        teams: vec![TeamSpec { key: 9, weight: 3.0 }],
        works: vec![
            work(NORMAL, WorkClass::Normal, 64),
            work(URGENT, WorkClass::Urgent, 64),
            work(MAY_WAIT, WorkClass::MayWait, 64),
            work(LONG, WorkClass::Normal, 1000),
        ],
    }
}

pub(super) fn acquire(endpoint: EndpointKey, mode: AcquireMode) -> Acquire {
    Acquire {
        request: 0,
        endpoint,
        pool: POOL,
        mode,
        team: 1,
        work: NORMAL,
        chat: 0,
        prompt_tokens: 10,
        remaining_ms: 10_000,
    }
}

pub(super) fn progress(grant: &Grant, first_token_ms: u32, tokens: u32, gap_us: u32) -> Progress {
    let (permit, endpoint) = (grant.permit, grant.endpoint);
    Progress { permit, endpoint, first_token_ms, tokens, gap_us }
}
