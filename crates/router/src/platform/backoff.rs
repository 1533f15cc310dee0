use {rand::random_range, std::time::Duration};

/// Jittered, exponentially growing pauses between failed attempts.
pub(crate) struct Backoff {
    first: Duration,
    max: Duration,
    /// Upper bound of the next pause.
    limit: Duration,
}

impl Backoff {
    /// The first pause is at most `first`, no pause is longer than `max`.
    pub(crate) fn new(first: Duration, max: Duration) -> Self {
        let first = first.max(Duration::from_millis(1)).min(max.max(Duration::from_millis(1)));
        Self { first, max, limit: first }
    }

    /// Returns a random pause between half the current limit and the limit, and doubles
    /// the limit up to the maximum.
    pub(crate) fn next_pause(&mut self) -> Duration {
        let limit_us = self.limit.as_micros() as u64;
        self.limit = (self.limit * 2).min(self.max).max(self.first);
        Duration::from_micros(random_range(limit_us / 2..=limit_us))
    }

    /// Starts over after a success.
    pub(crate) fn reset(&mut self) {
        self.limit = self.first;
    }
}
