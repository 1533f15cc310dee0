use {std::cell::Cell, tokio::sync::Notify};

/// Progress of a graceful stop of the process.
pub(crate) struct StopState {
    is_stopping: Cell<bool>,
    is_closing_idle: Cell<bool>,
    closing_idle: Notify,
}

impl StopState {
    pub(crate) fn new() -> StopState {
        StopState {
            is_stopping: Cell::new(false),
            is_closing_idle: Cell::new(false),
            closing_idle: Notify::new(),
        }
    }

    /// Starts the stop: readiness probes fail, and connections are closed after their next
    /// response.
    pub(crate) fn begin(&self) {
        self.is_stopping.set(true);
    }

    /// Closes callers' connections that have no request and stops accepting new ones.
    pub(crate) fn close_idle(&self) {
        self.is_closing_idle.set(true);
        self.closing_idle.notify_waiters();
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Waits until `close_idle` is called.
    pub(crate) async fn wait_for_close_idle(&self) {
        while !self.is_closing_idle.get() {
            self.closing_idle.notified().await;
        }
    }
}
