use {std::cell::Cell, tokio::sync::Notify};

/// Progress of a planned stop.
pub(crate) struct StopState {
    is_stopping: Cell<bool>,
    closes_idle: Cell<bool>,
    changed: Notify,
}

impl StopState {
    pub(crate) fn new() -> StopState {
        StopState {
            is_stopping: Cell::new(false),
            closes_idle: Cell::new(false),
            changed: Notify::new(),
        }
    }

    /// Not ready any more; connections end after their next answer.
    pub(crate) fn begin(&self) {
        self.is_stopping.set(true);
    }

    /// Ends connections that have no request.
    pub(crate) fn close_idle(&self) {
        self.closes_idle.set(true);
        self.changed.notify_waiters();
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Waits until connections without a request are to end.
    pub(crate) async fn closes_idle(&self) {
        while !self.closes_idle.get() {
            self.changed.notified().await;
        }
    }
}
