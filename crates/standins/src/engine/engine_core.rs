use {
    crate::engine::{ChatRequest, EngineOptions, EngineState, Job, JobLink},
    parking_lot::{Condvar, Mutex, MutexGuard},
    std::{
        ops::Deref,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Instant,
    },
};

/// Decision on a new request.
pub(crate) enum Admission {
    Admitted(JobLink),
    Leaving,
    Full,
    /// A request of this id waits or runs.
    Duplicate,
    /// The engine crashed after the connection was accepted.
    Crashed,
}

/// Engine state shared by the connections and the scheduler thread.
pub(crate) struct EngineCore {
    pub(crate) options: EngineOptions,
    state: Mutex<EngineState>,
    wake: Condvar,
    breaks: AtomicU64,
}

impl EngineCore {
    pub(crate) fn new(options: EngineOptions) -> Self {
        Self {
            state: Mutex::new(EngineState::new(options.clone())),
            options,
            wake: Condvar::new(),
            breaks: AtomicU64::new(0),
        }
    }

    /// Paces the steps until the engine is stopped.
    pub(crate) fn run_scheduler(&self) {
        let mut state = self.state.lock();
        while !state.stopped {
            state.advance(Instant::now());
            state.wakes_at = state.next_wake();
            match state.wakes_at {
                Some(at) => {
                    self.wake.wait_until(&mut state, at);
                }
                None => self.wake.wait(&mut state),
            }
        }
    }

    pub(crate) fn read(&self) -> impl Deref<Target = EngineState> + '_ {
        self.state.lock()
    }

    /// Changes the state after all that is due, and wakes the scheduler if it
    /// has work earlier than planned.
    pub(crate) fn change<R>(&self, change: impl FnOnce(&mut EngineState, Instant) -> R) -> R {
        let mut state = self.state.lock();
        let now = Instant::now();
        state.advance(now);
        let result = change(&mut state, now);
        self.wake_if_earlier(&state);
        result
    }

    pub(crate) fn stop(&self) {
        self.state.lock().stopped = true;
        self.wake.notify_one();
    }

    pub(crate) fn admit(
        self: &Arc<Self>,
        generation: u64,
        id: String,
        chat: Option<String>,
        priority: i64,
        request: &ChatRequest,
    ) -> Admission {
        self.change(|state, now| {
            if state.generation != generation {
                return Admission::Crashed;
            }
            if state.leaving {
                state.refused_leaving.push(now);
                return Admission::Leaving;
            }
            if state.jobs.get(&id).is_some_and(|job| job.progress().end.is_none()) {
                return Admission::Duplicate;
            }
            if state.is_full() {
                state.refused_full += 1;
                return Admission::Full;
            }
            let job = Arc::new(Job::new(id, chat, request));
            let link = JobLink::new(self.clone(), job.clone());
            state.admit(job, priority, now);
            Admission::Admitted(link)
        })
    }

    /// Links a connection to a known request.
    pub(crate) fn link(self: &Arc<Self>, id: &str) -> Option<JobLink> {
        let state = self.state.lock();
        let job = state.jobs.get(id)?.clone();
        Some(JobLink::new(self.clone(), job))
    }

    /// Removes a connection from a request.
    pub(crate) fn unlink(&self, job: &Arc<Job>) {
        {
            let mut progress = job.progress.lock();
            progress.links -= 1;
            if progress.links > 0 || progress.end.is_some() {
                return;
            }
            progress.detachments += 1;
        }
        self.change(|state, now| state.detach(job, now));
    }

    /// How often connections were cut.
    pub(crate) fn breaks(&self) -> u64 {
        self.breaks.load(Ordering::SeqCst)
    }

    /// Cuts all connections that wait for an answer or a token.
    pub(crate) fn break_connections(&self) {
        self.breaks.fetch_add(1, Ordering::SeqCst);
        for job in self.state.lock().live_jobs() {
            job.wake();
        }
    }

    fn wake_if_earlier(&self, state: &MutexGuard<'_, EngineState>) {
        let next = state.next_wake();
        if next.is_some_and(|next| state.wakes_at.is_none_or(|planned| next < planned)) {
            self.wake.notify_one();
        }
    }
}
