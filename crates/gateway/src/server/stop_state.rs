use {
    std::{
        cell::Cell,
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::sleep_until},
};

/// Margin by which the slowest request of a route that was observed lately may be exceeded.
const SLOWEST_RUN_FACTOR: f64 = 1.25;

/// Progress of a graceful stop of the process.
pub(crate) struct StopState {
    /// When requests that are still in progress get their last response; `None` before the stop.
    requests_end_at: Cell<Option<Instant>>,
    is_closing_idle: Cell<bool>,
    changed: Notify,
}

impl StopState {
    pub(crate) fn new() -> StopState {
        StopState {
            requests_end_at: Cell::new(None),
            is_closing_idle: Cell::new(false),
            changed: Notify::new(),
        }
    }

    /// Starts the stop: readiness probes fail, and connections are closed after their next
    /// response. Requests that are in progress at `requests_end_at` are ended.
    pub(crate) fn begin(&self, requests_end_at: Instant) {
        self.requests_end_at.set(Some(requests_end_at));
        self.changed.notify_waiters();
    }

    /// Closes callers' connections that have no request and stops accepting new ones.
    pub(crate) fn close_idle(&self) {
        self.is_closing_idle.set(true);
        self.changed.notify_waiters();
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.requests_end_at.get().is_some()
    }

    /// Whether a request that arrives now ends before the process does: by its own deadline, or
    /// because it takes no longer than the slowest one of its route did lately.
    pub(crate) fn may_finish(
        &self,
        time_left: Duration,
        slowest_run: Option<Duration>,
        now: Instant,
    ) -> bool {
        let Some(end_at) = self.requests_end_at.get() else { return true };
        let expected = slowest_run.map_or(time_left, |run| run.mul_f64(SLOWEST_RUN_FACTOR));
        now + expected.min(time_left) <= end_at
    }

    /// Waits until `close_idle` is called.
    pub(crate) async fn wait_for_close_idle(&self) {
        while !self.is_closing_idle.get() {
            self.changed.notified().await;
        }
    }

    /// Waits until the requests in progress are to be ended.
    pub(crate) async fn wait_for_requests_end(&self) {
        loop {
            match self.requests_end_at.get() {
                Some(end_at) => return sleep_until(end_at.into()).await,
                None => self.changed.notified().await,
            }
        }
    }
}
