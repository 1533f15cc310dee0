use {crate::http1::Connection, std::time::Instant};

/// Open connection to an endpoint without a request.
pub(crate) struct IdleConnection {
    pub(crate) connection: Connection,
    /// The endpoint may close the connection after this time.
    pub(crate) usable_until: Instant,
}

impl IdleConnection {
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        now < self.usable_until && self.connection.is_clean()
    }
}
