use {
    crate::http1::Connection,
    std::time::{Duration, Instant},
};

/// An open connection to an endpoint that carries no request.
pub(crate) struct IdleConnection {
    pub(crate) connection: Connection,
    /// When the last response on the connection ended.
    pub(crate) idle_since: Instant,
    /// The endpoint may close the connection after this time.
    pub(crate) usable_until: Instant,
}

impl IdleConnection {
    pub(crate) fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.idle_since)
    }

    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        now < self.usable_until && self.connection.is_reusable()
    }
}
