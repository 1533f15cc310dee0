use {
    crate::engine::{ChatRequest, EngineOptions, EngineState, Job, JobConnection},
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
    Admitted(JobConnection),
    Leaving,
    Full,
    /// A request with this id is waiting or running.
    Duplicate,
    /// The engine crashed after the connection was accepted.
    Crashed,
}

/// Engine state shared by the connections and the scheduler thread.
pub(crate) struct EngineCore {
    pub(crate) options: EngineOptions,
    state: Mutex<EngineState>,
    /// Wakes the scheduler thread.
    wake: Condvar,
    /// How often `break_connections` was called.
    break_count: AtomicU64,
}

impl EngineCore {
    pub(crate) fn new(options: EngineOptions) -> Self {
        Self {
            state: Mutex::new(EngineState::new(options.clone())),
            options,
            wake: Condvar::new(),
            break_count: AtomicU64::new(0),
        }
    }

    /// Runs each step at its time until the engine is stopped.
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

    /// Locks the state without advancing it to the present.
    pub(crate) fn read(&self) -> impl Deref<Target = EngineState> + '_ {
        self.state.lock()
    }

    /// Advances the state to the present, applies `change`, and wakes the scheduler if
    /// it has work earlier than planned.
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

    /// Decides on a request that arrived at the handler with this `generation`.
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
            let connection = JobConnection::new(self.clone(), job.clone());
            state.admit(job, priority, now);
            Admission::Admitted(connection)
        })
    }

    /// Connects to a job that is waiting, running or kept after its end.
    pub(crate) fn connect(self: &Arc<Self>, id: &str) -> Option<JobConnection> {
        let state = self.state.lock();
        let job = state.jobs.get(id)?.clone();
        Some(JobConnection::new(self.clone(), job))
    }

    /// Removes a connection from a job, and schedules the cancellation of the job if that
    /// was its last one.
    pub(crate) fn disconnect(&self, job: &Arc<Job>) {
        {
            let mut progress = job.progress.lock();
            progress.connections -= 1;
            if progress.connections > 0 || progress.end.is_some() {
                return;
            }
            progress.abandonments += 1;
        }
        self.change(|state, now| state.abandon(job, now));
    }

    /// How often `break_connections` was called.
    pub(crate) fn break_count(&self) -> u64 {
        self.break_count.load(Ordering::SeqCst)
    }

    /// Closes all connections that wait for tokens or for the end of a job.
    pub(crate) fn break_connections(&self) {
        self.break_count.fetch_add(1, Ordering::SeqCst);
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
